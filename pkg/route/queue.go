package route

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// lateReserveRatio is what must be left of a queued request's time for an answer
	// to be worth starting, as a part of the usual time that one takes.
	lateReserveRatio = 0.5
	// callerTimeoutReserve is how long before a caller leaves its request must have started.
	callerTimeoutReserve = 300 * time.Millisecond
	// reviewInterval is how often the chances of a waiting request are estimated anew.
	reviewInterval = 100 * time.Millisecond
)

// BusyError reports that the request could not start in time, and what that was decided by.
type BusyError struct {
	// Waiting is how many requests were queued here, PeerWaiting how many late ones at
	// other entry boxes.
	Waiting, PeerWaiting int
	// Late is set if the request could not meet its objective any more; Left is how long a
	// start would still have been of use.
	Late     bool
	TimeLeft time.Duration
	// Slots is how many places there were, Needed how many of them those need who come
	// first, Beginning how many answers were to begin.
	Slots             int
	NewRequestSlots   float64
	AwaitingFirstByte int
	// BackingOff is how many servers have asked this box for rest.
	BackingOff int
	// Limited is the number of eligible servers if all of them have a rate limit; 0 otherwise.
	Limited int
	// RetryAfter is when there should be room.
	RetryAfter time.Duration
}

// Error says how many requests wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d requests wait for %d places, room in about %v", e.Waiting, e.Slots, e.RetryAfter)
}

// RetryAfter returns when a refused caller should come back: when there should be room,
// or, where no server could run the request, as late as callers may be told to.
func RetryAfter(refusal error, left time.Duration) time.Duration {
	var busy *BusyError
	if errors.As(refusal, &busy) {
		return busy.RetryAfter
	}
	return max(minRetryAfter, left/maxRetryAfterDivisor)
}

// QueuedRequest is a request that waits for a place.
type QueuedRequest struct {
	req *SlotRequest
	// onGranted is called with the place; the dispatcher is locked meanwhile.
	onGranted func(*Reservation)
}

// Submit decides about a request. It gets a place at once, or waits until granted is
// called, or is refused. One that waits has to be reviewed by the time that Review
// tells, at first within reviewInterval. Errors are a *BusyError or wrap ErrNoServer.
func (d *Dispatcher) Submit(ask *SlotRequest, granted func(*Reservation), now time.Time) (*Reservation, *QueuedRequest, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ask.startBy = d.startBy(ask, now)
	if !ask.Retry && !ask.Resuming && !ask.NoWait {
		d.arrivals.add(now)
		d.slack += time.Duration(ttfbSmoothing * float64(ask.startBy.Sub(now)-d.slack))
	}
	if len(d.queue) == 0 || d.ahead(ask, now) == 0 {
		if place := d.choose(ask, nil, now); place != nil {
			return place, nil, nil
		}
	}
	if ask.NoWait || !d.isWorthQueueing(ask, now) {
		return nil, nil, d.rejection(ask, now)
	}
	w := &QueuedRequest{req: ask, onGranted: granted}
	d.enqueue(w)
	return nil, w, nil
}

// startBy returns when a request must start to meet its objective, as far as answers took
// to begin lately. One that comes for the first time is in time when it comes: otherwise
// a box that has seen answers begin late would send none that could show it better.
func (d *Dispatcher) startBy(ask *SlotRequest, now time.Time) time.Time {
	startBy := ask.Objective.Add(-d.ttfb - d.ttfbDeviation - ask.Prefill)
	if !ask.Retry && startBy.Before(now) && ask.Objective.After(now) {
		return now
	}
	return startBy
}

// Review estimates anew whether a waiting request will get a place in time, and refuses
// it if not. It returns when to ask again; ok is false if it waits no longer.
func (d *Dispatcher) Review(w *QueuedRequest, now time.Time) (again time.Time, ok bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grant(nil, now)
	at := slices.Index(d.queue, w)
	if at < 0 {
		return time.Time{}, false, nil
	}
	if !d.isWorthQueueing(w.req, now) {
		d.dequeue(at)
		return time.Time{}, false, d.rejection(w.req, now)
	}
	again = now.Add(reviewInterval)
	if startBy := w.req.startBy; startBy.After(now) && startBy.Before(again) {
		again = startBy
	}
	return again, true, nil
}

// Cancel takes a request out of the queue whose caller has left; false if it has been
// granted a place or refused meanwhile.
func (d *Dispatcher) Cancel(w *QueuedRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := slices.Index(d.queue, w)
	if at < 0 {
		return false
	}
	d.dequeue(at)
	return true
}

// Acquire returns a place, waiting for one while the request can still start in
// time. Errors are a *BusyError, wrap ErrNoServer, or are the context's.
func (d *Dispatcher) Acquire(ctx context.Context, ask *SlotRequest, clock clockwork.Clock) (*Reservation, error) {
	granted := make(chan *Reservation, 1)
	place, w, err := d.Submit(ask, func(place *Reservation) { granted <- place }, clock.Now())
	if w == nil {
		return place, err
	}
	again, waits, err := d.Review(w, clock.Now())
	for waits {
		timer := clock.NewTimer(clock.Until(again))
		select {
		case place = <-granted:
			timer.Stop()
			return place, nil
		case <-ctx.Done():
			timer.Stop()
			if !d.Cancel(w) {
				(<-granted).Release(ResultAbandoned, clock.Now())
			}
			return nil, ctx.Err()
		case <-timer.Chan():
			again, waits, err = d.Review(w, clock.Now())
		}
	}
	if err != nil {
		return nil, err
	}
	return <-granted, nil
}

// rejection says why a request is not let in.
func (d *Dispatcher) rejection(ask *SlotRequest, now time.Time) error {
	if !d.anyEligible(now) && d.backingOff(now).servers == 0 {
		return ErrNoServer
	}
	return d.busyError(ask, now)
}

// busyError says when a refused request should come back: when those are served that wait and
// those that were told to come back before. Told the same time, they would come back
// together and be refused for good.
func (d *Dispatcher) busyError(ask *SlotRequest, now time.Time) error {
	longest := max(minRetryAfter, ask.Deadline.Sub(now)/maxRetryAfterDivisor)
	wait := longest
	if room, ok := d.lateForecast(now).timeToStart(float64(d.scheduledRetries.count(now)*d.boxes + d.lateAtAllBoxes(now) + 1)); ok {
		wait = min(longest, max(minRetryAfter, room))
	}
	comes, resting := wait, d.backingOff(now)
	if rested, ok := d.retryAfterBackoff(resting, now); ok {
		// Sooner is in vain. Callers who can't wait for as long come when they must.
		wait = max(minRetryAfter, rested)
		comes, longest = min(wait, longest), math.MaxInt64
	}
	if !ask.Retry && !ask.Resuming && !ask.NoWait {
		d.scheduledRetries.add(now.Add(comes))
	}
	jitter := time.Duration(d.random() * float64(minRetryAfter))
	peers, left := d.totalPeerDemand(now), d.latestStart(ask).Sub(now)
	if !ask.isLate(now) {
		left = ask.startBy.Sub(now)
	}
	return &BusyError{
		Waiting: len(d.queue), PeerWaiting: peers.Late, Late: ask.isLate(now), TimeLeft: left,
		Slots: d.totalSlots(now), NewRequestSlots: d.newRequestSlots(now), AwaitingFirstByte: len(d.awaiting) + peers.AwaitingFirstByte, BackingOff: resting.servers,
		Limited:    d.limitedEligible(now),
		RetryAfter: min(wait+jitter, longest),
	}
}

// lateAtAllBoxes is how many late requests wait, at all entry boxes.
func (d *Dispatcher) lateAtAllBoxes(now time.Time) int {
	_, late := d.queueCounts(now)
	return late + d.totalPeerDemand(now).Late
}

// scheduledRetries are the times at which callers were told to come back, the soonest first.
type scheduledRetries []time.Time

func (p *scheduledRetries) add(at time.Time) {
	place, _ := slices.BinarySearchFunc(*p, at, time.Time.Compare)
	*p = slices.Insert(*p, place, at)
}

// count returns how many are to come back after a time, and forgets the others.
func (p *scheduledRetries) count(now time.Time) int {
	past, _ := slices.BinarySearchFunc(*p, now, time.Time.Compare)
	*p = slices.Delete(*p, 0, past)
	return len(*p)
}

// hasPrecedence orders the queue: the more urgent first, then those that must start
// earlier.
func hasPrecedence(a, b *SlotRequest) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.startBy.Before(b.startBy)
}

func (d *Dispatcher) enqueue(w *QueuedRequest) {
	at, _ := slices.BinarySearchFunc(d.queue, w.req, func(other *QueuedRequest, ask *SlotRequest) int {
		if hasPrecedence(ask, other.req) {
			return 1
		}
		return -1
	})
	d.queue = slices.Insert(d.queue, at, w)
	w.req.queued = true
}

// dequeue takes the request at a place out of the queue.
func (d *Dispatcher) dequeue(at int) {
	d.queue[at].req.queued = false
	d.queue = slices.Delete(d.queue, at, at+1)
}

// priorityRange is where the requests of one priority stand in the queue: the late ones from
// start to inTime, those in time from there to end.
type priorityRange struct{ priority, start, inTime, end int }

// eachPriority calls yield for each priority that waits, the most urgent first.
func (d *Dispatcher) eachPriority(now time.Time, yield func(g priorityRange)) {
	for start := 0; start < len(d.queue); {
		g := priorityRange{priority: d.queue[start].req.Priority, start: start}
		g.end = start + sort.Search(len(d.queue)-start, func(i int) bool { return d.queue[start+i].req.Priority > g.priority })
		g.inTime = start + sort.Search(g.end-start, func(i int) bool { return !d.queue[start+i].req.isLate(now) })
		yield(g)
		start = g.end
	}
}

// queueCounts is how many requests wait here that are in time, and how many that are late.
func (d *Dispatcher) queueCounts(now time.Time) (inTime, late int) {
	d.eachPriority(now, func(g priorityRange) {
		inTime += g.end - g.inTime
		late += g.inTime - g.start
	})
	return inTime, late
}

// ahead is how many requests wait here that get a place before another one. Those who are
// late do not go before one who is in time.
func (d *Dispatcher) ahead(ask *SlotRequest, now time.Time) int {
	ahead, isLate := 0, ask.isLate(now)
	d.eachPriority(now, func(g priorityRange) {
		from, to := g.inTime, g.end
		if isLate {
			from, to = g.start, g.inTime
			ahead += g.end - g.inTime
		}
		switch {
		case g.priority < ask.Priority:
			ahead += to - from
		case g.priority == ask.Priority:
			ahead += sort.Search(to-from, func(i int) bool { return d.queue[from+i].req.startBy.After(ask.startBy) })
		}
	})
	if ask.queued {
		ahead--
	}
	return max(0, ahead)
}
