// Package boottime provides a clock that includes the time during which the machine was suspended.
//
// The standard library's package time measures durations with the monotonic clock, which stops while the machine is
// suspended. After a suspension, ages measured with it are too short by the length of the suspension: the time since a
// version was published, since a peer's last heartbeat, or since a server requested a backoff. The clock of this
// package keeps running (CLOCK_BOOTTIME on Linux).
//
// Its timers stop during a suspension and fire late by its length.
//
// # Usage
//
//	clock := boottime.NewClock()
//	received := clock.Now()
//	...
//	age := clock.Since(received)
package boottime

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the minimum time between two checks for a suspension. Now is called many times per request, and
	// each check is a system call.
	checkInterval = 50 * time.Millisecond
	// minSuspension is the smallest increase of the suspended time that counts. Smaller differences arise because the
	// two clocks are not read at the same instant.
	minSuspension = 10 * time.Millisecond
)

// Clock is a clockwork.Clock whose times include suspensions of the machine. It is safe for concurrent use.
type Clock struct {
	clockwork.Clock

	// now returns the time according to package time. boot returns the time since the machine started, suspensions
	// included; it is nil if the machine has no such clock.
	now  func() time.Time
	boot func() (time.Duration, error)
	// start is when the Clock was created, and bootAtStart the value of boot at that time.
	start       time.Time
	bootAtStart time.Duration

	mu sync.Mutex
	// lastCheck is the time, according to now, of the last check for a suspension.
	lastCheck time.Time
	// suspended is how long the machine was suspended since start, as of lastCheck.
	suspended time.Duration
}

// NewClock returns the clock of this machine.
func NewClock() *Clock { return newClock(time.Now, bootTime) }

func newClock(now func() time.Time, boot func() (time.Duration, error)) *Clock {
	c := &Clock{Clock: clockwork.NewRealClock(), now: now, boot: boot, start: now()}
	c.lastCheck = c.start
	sinceBoot, err := boot()
	if err != nil {
		// Without a boot-time clock, fall back to the monotonic clock, which omits suspensions.
		c.boot = nil
	}
	c.bootAtStart = sinceBoot
	return c
}

// bootTime returns the time since the machine started, suspensions included.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns the current time. The difference between two times of this clock is the time that elapsed between them,
// even if the wall clock was set in the meantime.
func (c *Clock) Now() time.Time {
	now := c.now()
	suspended := c.suspendedFor(now)
	if suspended == 0 {
		return now
	}
	// The wall clock reading of now already includes the suspension, so now.Add(suspended) would count it twice.
	return c.start.Add(now.Sub(c.start) + suspended)
}

// Since returns the time elapsed since t, which must be a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t, which must be a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// suspendedFor returns how long the machine was suspended since the Clock was created. It checks for a new suspension
// if the last check is at least checkInterval old.
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
	// Read the monotonic clock again, as the process may not have been scheduled since now was read.
	if ahead := boot - c.bootAtStart - c.now().Sub(c.start); ahead >= c.suspended+minSuspension {
		c.suspended = ahead
	}
	return c.suspended
}
