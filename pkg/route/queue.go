package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// lateReserve is what must be left of a queued request's time for an answer
	// to be worth starting, as a part of the usual time that one takes.
	lateReserve = 0.5
	// retryLeast is the shortest time after which a caller is told to return.
	retryLeast = 100 * time.Millisecond
	// holdPart is the part of its time for which a request that was refused before
	// waits for a place or a server: a second refusal is final, and with less than
	// half of its time held nothing is lost by waiting.
	holdPart = 0.48
	// leaveReserve is how long before a caller leaves its request must have started.
	leaveReserve = 300 * time.Millisecond
	// spareShare is the part of the places that is there for requests which come back,
	// beside those that come first, once a service has recovered.
	spareShare = 0.3
)

// BusyError reports that the request could not start in time.
type BusyError struct {
	// Waiting is how many requests were queued before it.
	Waiting int
	// RetryAfter is when there should be room.
	RetryAfter time.Duration
}

// Error says how many requests wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d requests wait, room in about %v", e.Waiting, e.RetryAfter)
}

// waitingAsk is a request in the queue.
type waitingAsk struct {
	ask   *Ask
	grant chan *Reservation
}

// hold queues a request until a time. It unlocks the dispatcher.
func (d *Dispatcher) hold(ctx context.Context, ask *Ask, latest time.Time, now func() time.Time) (*Reservation, error) {
	w := &waitingAsk{ask: ask, grant: make(chan *Reservation, 1)}
	d.enqueue(w)
	d.mu.Unlock()
	return d.wait(ctx, w, latest, now)
}

// isWorthWaiting reports whether a request is likely to get a place in time.
func (d *Dispatcher) isWorthWaiting(ask *Ask, latest, now time.Time) bool {
	return d.anyEligible(now) && !now.Add(d.expected(ask, now)).After(latest)
}

// refusal says why a request is not let in.
func (d *Dispatcher) refusal(ask *Ask, now time.Time) error {
	if !d.anyEligible(now) {
		return ErrNoServer
	}
	return d.busy(ask, now)
}

// latest is when a request must have started to be worth waiting for: in time for its
// objective, or, if it was refused before, before it has waited for too long.
func (d *Dispatcher) latest(ask *Ask, now time.Time) time.Time {
	if !ask.Returning {
		return ask.startBy
	}
	held := time.Duration(holdPart * float64(ask.Deadline.Sub(now)))
	if ask.Patience > 0 {
		held = min(held, ask.Patience-leaveReserve)
	}
	if latest := now.Add(held); latest.After(ask.startBy) {
		return latest
	}
	return ask.startBy
}

// wait returns the place that is granted. A request that can no longer be
// answered in its time is refused.
func (d *Dispatcher) wait(ctx context.Context, w *waitingAsk, last time.Time, now func() time.Time) (*Reservation, error) {
	if end := w.ask.Deadline.Add(-time.Duration(lateReserve * float64(d.usualTime()))); end.Before(last) {
		last = end
	}
	timer := time.NewTimer(last.Sub(now()))
	defer timer.Stop()
	var problem error
	select {
	case place := <-w.grant:
		return place, nil
	case <-ctx.Done():
		problem = ctx.Err()
	case <-timer.C:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at := slices.Index(d.queue, w)
	if at < 0 {
		// It was granted in the meantime.
		place := <-w.grant
		if ctx.Err() == nil {
			return place, nil
		}
		d.release(place, now())
		return nil, problem
	}
	d.queue = slices.Delete(d.queue, at, at+1)
	if problem == nil {
		problem = d.busy(w.ask, now())
	}
	return nil, problem
}

func (d *Dispatcher) usualTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usual
}

// busy says when a refused request should come back. Those that are refused for the
// first time get the spare places one after the other: told the same short time, they
// would come back together and be refused for good.
func (d *Dispatcher) busy(ask *Ask, now time.Time) error {
	longest := max(retryLeast, ask.Deadline.Sub(now)/3)
	back := now.Add(max(retryLeast, d.expected(ask, now)))
	if d.promised.After(back) {
		back = d.promised
	}
	wait := min(back.Sub(now), longest)
	if !ask.Returning && !ask.Once {
		d.promised = now.Add(wait + time.Duration(float64(d.interval())/spareShare))
	}
	jitter := time.Duration(rand.Int64N(int64(retryLeast)))
	return &BusyError{Waiting: len(d.queue), RetryAfter: min(wait+jitter, longest)}
}

// isFirst reports whether a request goes before all that wait.
func (d *Dispatcher) isFirst(ask *Ask, now time.Time) bool {
	return !slices.ContainsFunc(d.queue, func(w *waitingAsk) bool { return isAhead(w.ask, ask, now) })
}

// before orders the queue: the more urgent first, then those that must start
// earlier.
func before(a, b *Ask) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.startBy.Before(b.startBy)
}

func (d *Dispatcher) enqueue(w *waitingAsk) {
	at := len(d.queue)
	for at > 0 && before(w.ask, d.queue[at-1].ask) {
		at--
	}
	d.queue = slices.Insert(d.queue, at, w)
}

// expected returns how long a request waits for its place. Those who are late already
// do not go before one who is not.
func (d *Dispatcher) expected(ask *Ask, now time.Time) time.Duration {
	ahead := 0
	for _, w := range d.queue {
		if isAhead(w.ask, ask, now) {
			ahead++
		}
	}
	return time.Duration(ahead+1) * d.interval()
}

// isAhead reports whether a waiting request gets a place before another one.
func isAhead(waiting, ask *Ask, now time.Time) bool {
	if late := waiting.startBy.Before(now); late != ask.startBy.Before(now) {
		return !late
	}
	return !before(ask, waiting)
}

// interval is how long after each other places become free for this box.
func (d *Dispatcher) interval() time.Duration {
	places := 0
	for _, b := range d.order {
		places += d.limit(b)
	}
	share := max(1, float64(places)/float64(d.boxes))
	return time.Duration(float64(d.usual) / share)
}
