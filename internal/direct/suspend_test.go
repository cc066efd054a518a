package direct_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// machineClock is the clock of a machine that may be suspended. The time advances during the suspension, but timers
// do not.
type machineClock struct {
	clockwork.Clock
	suspended atomic.Int64
}

func (c *machineClock) Now() time.Time {
	return c.Clock.Now().Add(time.Duration(c.suspended.Load()))
}

func (c *machineClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *machineClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// cmdSuspend simulates that the machine of a process was suspended for a duration and has just resumed:
// suspend entry-1 1h.
func (w *testDeployment) cmdSuspend(args []string) error {
	duration, err := time.ParseDuration(args[1])
	w.clocks[args[0]].suspended.Add(int64(duration))
	return err
}

// cmdStopAfter stops a process in a planned stop and checks that the stop takes at least a duration:
// stop-after entry-1 3s.
func (w *testDeployment) cmdStopAfter(args []string) error {
	minimum, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	started := time.Now()
	process := w.processes[args[0]]
	delete(w.processes, args[0])
	if err := process.Stop(context.Background()); err != nil {
		return err
	}
	if duration := time.Since(started); duration < minimum {
		return fmt.Errorf("%s stopped after %s, want at least %s", args[0], duration, minimum)
	}
	return nil
}
