package boottime

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeMachine is one that may be suspended: the steady clock stands then.
type fakeMachine struct {
	monotonic time.Duration
	suspended time.Duration
	start     time.Time
	bootCalls int
	broken    bool
}

func (m *fakeMachine) now() time.Time { return m.start.Add(m.monotonic) }

func (m *fakeMachine) boot() (time.Duration, error) {
	m.bootCalls++
	if m.broken {
		return 0, errors.New("no such clock")
	}
	return time.Hour + m.monotonic + m.suspended, nil
}

func newFakeMachine() *fakeMachine { return &fakeMachine{start: time.Now()} }

func TestClockIncludesSuspension(t *testing.T) {
	m := newFakeMachine()
	c := newClock(m.now, m.boot)
	heard := c.Now()
	m.monotonic += time.Second
	require.Equal(t, time.Second, c.Since(heard))
	m.suspended += 4 * time.Second
	m.monotonic += checkInterval
	require.Equal(t, 5*time.Second+checkInterval, c.Since(heard))
	require.Equal(t, -5*time.Second-checkInterval, c.Until(heard))
	m.suspended += 3 * time.Second
	m.monotonic += checkInterval
	require.Equal(t, 8*time.Second+2*checkInterval, c.Since(heard), "a second one counts too")
	m.monotonic += time.Second
	require.Equal(t, 9*time.Second+2*checkInterval, c.Since(heard), "no more than once")
}

func TestWallClockIncludesSuspensionOnce(t *testing.T) {
	m := newFakeMachine()
	c := newClock(m.now, m.boot)
	m.suspended, m.monotonic = 4*time.Second, time.Second
	require.Equal(t, m.start.Add(5*time.Second).UnixMilli(), c.Now().UnixMilli())
}

func TestClockEqualsMonotonicClockWithoutSuspension(t *testing.T) {
	m := newFakeMachine()
	c := newClock(m.now, m.boot)
	for range 1000 {
		m.monotonic += time.Millisecond
		require.Equal(t, m.now(), c.Now())
	}
	require.LessOrEqual(t, m.bootCalls, 1+int(time.Second/checkInterval), "asking is a system call")
}

func TestClockSkewBelowMinimumIsNotSuspension(t *testing.T) {
	m := newFakeMachine()
	c := newClock(m.now, m.boot)
	m.monotonic, m.suspended = time.Second, minSuspension/2
	require.Equal(t, m.now(), c.Now())
}

func TestClockFallsBackToMonotonicClock(t *testing.T) {
	m := newFakeMachine()
	m.broken = true
	c := newClock(m.now, m.boot)
	m.monotonic += time.Second
	require.Equal(t, m.now(), c.Now())
}

func TestSystemClockAdvances(t *testing.T) {
	c := NewClock()
	before := c.Now()
	c.Sleep(time.Millisecond)
	require.True(t, c.Now().After(before))
	require.NotNil(t, c.boot)
}
