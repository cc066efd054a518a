// Package boottime gives a process the time, with the time for which its machine was suspended.
//
// The steady clock that package time compares by stands still while a machine is suspended. A process that takes its ages
// from it takes everything for younger than it is from then on, for good: how long ago a version was named, a peer was
// heard, a server asked for rest. The clock of this package goes on (CLOCK_BOOTTIME of Linux).
//
// Timers stand still with the machine, and go off late by as long as it was suspended.
//
// # Usage
//
//	clock := boottime.NewClock()
//	...
//	age := clock.Since(heard)
package boottime

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is how often at most is asked whether the machine was suspended: the time is asked for many times for
	// each request, and each question is a system call.
	checkInterval = 50 * time.Millisecond
	// minSuspension is the shortest time that counts: two clocks are not read at the same moment.
	minSuspension = 10 * time.Millisecond
)

// Clock is a clockwork.Clock that counts the time for which the machine was suspended. It is safe for concurrent use.
type Clock struct {
	clockwork.Clock

	// now is the time of package time, boot the time since the machine started.
	now  func() time.Time
	boot func() (time.Duration, error)
	// start is when the clock was made, and bootAtStart what boot said then.
	start       time.Time
	bootAtStart time.Duration

	mu sync.Mutex
	// lastCheck is when boot was last asked, by now.
	lastCheck time.Time
	// suspended is for how long the machine was suspended since the clock was made.
	suspended time.Duration
}

// NewClock returns the clock of this machine.
func NewClock() *Clock { return newClock(time.Now, bootTime) }

func newClock(now func() time.Time, boot func() (time.Duration, error)) *Clock {
	c := &Clock{Clock: clockwork.NewRealClock(), now: now, boot: boot, start: now()}
	c.lastCheck = c.start
	began, err := boot()
	if err != nil {
		// The machine has no such clock: the steady one is the best there is.
		c.boot = nil
	}
	c.bootAtStart = began
	return c
}

// bootTime is how long ago the machine started, with the time for which it was suspended.
func bootTime() (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

// Now returns the time. Times of this clock compare by how long they lie apart, however the time of day is set.
func (c *Clock) Now() time.Time {
	now := c.now()
	suspended := c.suspendedFor(now)
	if suspended == 0 {
		return now
	}
	// The time of day has counted the suspension already, so it can't be added to it once more.
	return c.start.Add(now.Sub(c.start) + suspended)
}

// Since returns for how long a time of this clock is past.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns how long it is to a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// suspendedFor returns for how long the machine was suspended, as of the last check.
func (c *Clock) suspendedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.boot == nil || now.Sub(c.lastCheck) < checkInterval {
		return c.suspended
	}
	c.lastCheck = now
	boot, err := c.boot()
	if err != nil {
		return c.suspended
	}
	// The steady clock is read again, as the process may have waited for its turn since now.
	if ahead := boot - c.bootAtStart - c.now().Sub(c.start); ahead >= c.suspended+minSuspension {
		c.suspended = ahead
	}
	return c.suspended
}
