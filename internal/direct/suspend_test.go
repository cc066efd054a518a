package direct_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// machineClock is the clock of a machine that may be suspended: it goes on meanwhile, and timers do not.
type machineClock struct {
	clockwork.Clock
	suspended atomic.Int64
}

func (c *machineClock) Now() time.Time {
	return c.Clock.Now().Add(time.Duration(c.suspended.Load()))
}

func (c *machineClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *machineClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// cmdSuspend lets a process wake on a machine that was suspended for a time: suspend entry-1 1h.
func (w *testDeployment) cmdSuspend(args []string) error {
	lasted, err := time.ParseDuration(args[1])
	w.clocks[args[0]].suspended.Add(int64(lasted))
	return err
}

// cmdStopAfter ends a process in a planned stop, which must last for a time at least: stays entry-1 3s.
func (w *testDeployment) cmdStopAfter(args []string) error {
	least, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	began := time.Now()
	process := w.processes[args[0]]
	delete(w.processes, args[0])
	if err := process.Stop(context.Background()); err != nil {
		return err
	}
	if lasted := time.Since(began); lasted < least {
		return fmt.Errorf("%s ended after %s, want %s at least", args[0], lasted, least)
	}
	return nil
}
