package boottime

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeMachine simulates a machine that can be suspended. Its monotonic clock stops during a suspension.
type fakeMachine struct {
	monotonic time.Duration
	suspended time.Duration
	start     time.Time
	bootCalls int
	bootFails bool
}

func (m *fakeMachine) now() time.Time { return m.start.Add(m.monotonic) }

func (m *fakeMachine) boot() (time.Duration, error) {
	m.bootCalls++
	if m.bootFails {
		return 0, errors.New("no such clock")
	}
	return time.Hour + m.monotonic + m.suspended, nil
}

func newFakeMachine() *fakeMachine { return &fakeMachine{start: time.Now()} }

func TestClockIncludesSuspension(t *testing.T) {
	m := newFakeMachine()
	c := newClock(m.now, m.boot)
	t0 := c.Now()
	m.monotonic += time.Second
	require.Equal(t, time.Second, c.Since(t0))
	m.suspended += 4 * time.Second
	m.monotonic += checkInterval
	require.Equal(t, 5*time.Second+checkInterval, c.Since(t0))
	require.Equal(t, -5*time.Second-checkInterval, c.Until(t0))
	m.suspended += 3 * time.Second
	m.monotonic += checkInterval
	require.Equal(t, 8*time.Second+2*checkInterval, c.Since(t0), "a second suspension is added")
	m.monotonic += time.Second
	require.Equal(t, 9*time.Second+2*checkInterval, c.Since(t0), "each suspension is added only once")
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
	require.LessOrEqual(t, m.bootCalls, 1+int(time.Second/checkInterval), "each check is a system call")
}

func TestClockSkewBelowMinimumIsNotSuspension(t *testing.T) {
	m := newFakeMachine()
	c := newClock(m.now, m.boot)
	m.monotonic, m.suspended = time.Second, minSuspension/2
	require.Equal(t, m.now(), c.Now())
}

func TestClockFallsBackToMonotonicClock(t *testing.T) {
	m := newFakeMachine()
	m.bootFails = true
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
