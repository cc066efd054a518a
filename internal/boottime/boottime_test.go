package boottime

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// machine is one that may be suspended: the steady clock stands then.
type machine struct {
	steady    time.Duration
	suspended time.Duration
	began     time.Time
	asked     int
	broken    bool
}

func (m *machine) now() time.Time { return m.began.Add(m.steady) }

func (m *machine) boot() (time.Duration, error) {
	m.asked++
	if m.broken {
		return 0, errors.New("no such clock")
	}
	return time.Hour + m.steady + m.suspended, nil
}

func newMachine() *machine { return &machine{began: time.Now()} }

func TestTheTimeOfASuspensionCounts(t *testing.T) {
	m := newMachine()
	c := newClock(m.now, m.boot)
	heard := c.Now()
	m.steady += time.Second
	require.Equal(t, time.Second, c.Since(heard))
	m.suspended += 4 * time.Second
	m.steady += checkInterval
	require.Equal(t, 5*time.Second+checkInterval, c.Since(heard))
	require.Equal(t, -5*time.Second-checkInterval, c.Until(heard))
	m.suspended += 3 * time.Second
	m.steady += checkInterval
	require.Equal(t, 8*time.Second+2*checkInterval, c.Since(heard), "a second one counts too")
	m.steady += time.Second
	require.Equal(t, 9*time.Second+2*checkInterval, c.Since(heard), "no more than once")
}

func TestTheTimeOfDayCountsASuspensionOnce(t *testing.T) {
	m := newMachine()
	c := newClock(m.now, m.boot)
	m.suspended, m.steady = 4*time.Second, time.Second
	require.Equal(t, m.began.Add(5*time.Second).UnixMilli(), c.Now().UnixMilli())
}

func TestAMachineThatWasNotSuspendedHasTheTimeOfItsSteadyClock(t *testing.T) {
	m := newMachine()
	c := newClock(m.now, m.boot)
	for range 1000 {
		m.steady += time.Millisecond
		require.Equal(t, m.now(), c.Now())
	}
	require.LessOrEqual(t, m.asked, 1+int(time.Second/checkInterval), "asking is a system call")
}

func TestTwoClocksThatAreNotReadAtOnceAreNoSuspension(t *testing.T) {
	m := newMachine()
	c := newClock(m.now, m.boot)
	m.steady, m.suspended = time.Second, suspendedLeast/2
	require.Equal(t, m.now(), c.Now())
}

func TestAMachineWithoutThatClockHasTheSteadyOne(t *testing.T) {
	m := newMachine()
	m.broken = true
	c := newClock(m.now, m.boot)
	m.steady += time.Second
	require.Equal(t, m.now(), c.Now())
}

func TestTheClockOfThisMachineGoesOn(t *testing.T) {
	c := NewClock()
	before := c.Now()
	c.Sleep(time.Millisecond)
	require.True(t, c.Now().After(before))
	require.NotNil(t, c.boot)
}
