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
	// lateReserve is what must be left of a queued request's time for an answer
	// to be worth starting, as a part of the usual time that one takes.
	lateReserve = 0.5
	// leaveReserve is how long before a caller leaves its request must have started.
	leaveReserve = 300 * time.Millisecond
	// reviewInterval is how often the chances of a waiting request are estimated anew.
	reviewInterval = 100 * time.Millisecond
)

// BusyError reports that the request could not start in time, and what that was decided by.
type BusyError struct {
	// Waiting is how many requests were queued here, WaitingElsewhere how many late ones at
	// other entry boxes.
	Waiting, WaitingElsewhere int
	// Late is set if the request could not meet its objective any more; Left is how long a
	// start would still have been of use.
	Late bool
	Left time.Duration
	// Places is how many places there were, Needed how many of them those need who come
	// first, Beginning how many answers were to begin.
	Places    int
	Needed    float64
	Beginning int
	// Resting is how many servers have asked this box for rest.
	Resting int
	// Limited is the number of eligible servers if all of them have a rate limit; 0 otherwise.
	Limited int
	// RetryAfter is when there should be room.
	RetryAfter time.Duration
}

// Error says how many requests wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d requests wait for %d places, room in about %v", e.Waiting, e.Places, e.RetryAfter)
}

// RetryAfter returns when a refused caller should come back: when there should be room,
// or, where no server could run the request, as late as callers may be told to.
func RetryAfter(refusal error, left time.Duration) time.Duration {
	var busy *BusyError
	if errors.As(refusal, &busy) {
		return busy.RetryAfter
	}
	return max(retryLeast, left/retryLongestPart)
}

// Waiting is a request that waits for a place.
type Waiting struct {
	ask *Ask
	// granted is called with the place; the dispatcher is locked meanwhile.
	granted func(*Reservation)
}

// Submit decides about a request. It gets a place at once, or waits until granted is
// called, or is refused. One that waits has to be reviewed by the time that Review
// tells, at first within reviewInterval. Errors are a *BusyError or wrap ErrNoServer.
func (d *Dispatcher) Submit(ask *Ask, granted func(*Reservation), now time.Time) (*Reservation, *Waiting, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ask.startBy = d.startBy(ask, now)
	if !ask.Returning && !ask.Resuming && !ask.Once {
		d.arrivals.add(now)
		d.slack += time.Duration(firstSmoothing * float64(ask.startBy.Sub(now)-d.slack))
	}
	if len(d.queue) == 0 || d.ahead(ask, now) == 0 {
		if place := d.choose(ask, nil, now); place != nil {
			return place, nil, nil
		}
	}
	if ask.Once || !d.hasChance(ask, now) {
		return nil, nil, d.refusal(ask, now)
	}
	w := &Waiting{ask: ask, granted: granted}
	d.enqueue(w)
	return nil, w, nil
}

// startBy returns when a request must start to meet its objective, as far as answers took
// to begin lately. One that comes for the first time is in time when it comes: otherwise
// a box that has seen answers begin late would send none that could show it better.
func (d *Dispatcher) startBy(ask *Ask, now time.Time) time.Time {
	startBy := ask.Objective.Add(-d.first - d.deviation - ask.Reading)
	if !ask.Returning && startBy.Before(now) && ask.Objective.After(now) {
		return now
	}
	return startBy
}

// Review estimates anew whether a waiting request will get a place in time, and refuses
// it if not. It returns when to ask again; ok is false if it waits no longer.
func (d *Dispatcher) Review(w *Waiting, now time.Time) (again time.Time, ok bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grant(nil, now)
	at := slices.Index(d.queue, w)
	if at < 0 {
		return time.Time{}, false, nil
	}
	if !d.hasChance(w.ask, now) {
		d.dequeue(at)
		return time.Time{}, false, d.refusal(w.ask, now)
	}
	again = now.Add(reviewInterval)
	if startBy := w.ask.startBy; startBy.After(now) && startBy.Before(again) {
		again = startBy
	}
	return again, true, nil
}

// Withdraw takes a request out of the queue whose caller has left; false if it has been
// granted a place or refused meanwhile.
func (d *Dispatcher) Withdraw(w *Waiting) bool {
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
func (d *Dispatcher) Acquire(ctx context.Context, ask *Ask, clock clockwork.Clock) (*Reservation, error) {
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
			if !d.Withdraw(w) {
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

// refusal says why a request is not let in.
func (d *Dispatcher) refusal(ask *Ask, now time.Time) error {
	if !d.anyEligible(now) && d.resting(now).servers == 0 {
		return ErrNoServer
	}
	return d.busy(ask, now)
}

// busy says when a refused request should come back: when those are served that wait and
// those that were told to come back before. Told the same time, they would come back
// together and be refused for good.
func (d *Dispatcher) busy(ask *Ask, now time.Time) error {
	longest := max(retryLeast, ask.Deadline.Sub(now)/retryLongestPart)
	wait := longest
	if room, ok := d.lateForecast(now).until(float64(d.promises.count(now)*d.boxes + d.waitingLate(now) + 1)); ok {
		wait = min(longest, max(retryLeast, room))
	}
	comes, resting := wait, d.resting(now)
	if rested, ok := d.afterRest(resting, now); ok {
		// Sooner is in vain. Callers who can't wait for as long come when they must.
		wait = max(retryLeast, rested)
		comes, longest = min(wait, longest), math.MaxInt64
	}
	if !ask.Returning && !ask.Resuming && !ask.Once {
		d.promises.add(now.Add(comes))
	}
	jitter := time.Duration(d.random() * float64(retryLeast))
	peers, left := d.peersDemand(now), d.latest(ask).Sub(now)
	if !ask.isLate(now) {
		left = ask.startBy.Sub(now)
	}
	return &BusyError{
		Waiting: len(d.queue), WaitingElsewhere: peers.Late, Late: ask.isLate(now), Left: left,
		Places: d.places(now), Needed: d.firstPlaces(now), Beginning: len(d.unbegun) + peers.Beginning, Resting: resting.servers,
		Limited:    d.limitedEligible(now),
		RetryAfter: min(wait+jitter, longest),
	}
}

// waitingLate is how many late requests wait, at all entry boxes.
func (d *Dispatcher) waitingLate(now time.Time) int {
	_, late := d.waiting(now)
	return late + d.peersDemand(now).Late
}

// promises are the times at which callers were told to come back, the soonest first.
type promises []time.Time

func (p *promises) add(at time.Time) {
	place, _ := slices.BinarySearchFunc(*p, at, time.Time.Compare)
	*p = slices.Insert(*p, place, at)
}

// count returns how many are to come back after a time, and forgets the others.
func (p *promises) count(now time.Time) int {
	past, _ := slices.BinarySearchFunc(*p, now, time.Time.Compare)
	*p = slices.Delete(*p, 0, past)
	return len(*p)
}

// before orders the queue: the more urgent first, then those that must start
// earlier.
func before(a, b *Ask) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.startBy.Before(b.startBy)
}

func (d *Dispatcher) enqueue(w *Waiting) {
	at, _ := slices.BinarySearchFunc(d.queue, w.ask, func(other *Waiting, ask *Ask) int {
		if before(ask, other.ask) {
			return 1
		}
		return -1
	})
	d.queue = slices.Insert(d.queue, at, w)
	w.ask.queued = true
}

// dequeue takes the request at a place out of the queue.
func (d *Dispatcher) dequeue(at int) {
	d.queue[at].ask.queued = false
	d.queue = slices.Delete(d.queue, at, at+1)
}

// group is where the requests of one priority stand in the queue: the late ones from
// start to inTime, those in time from there to end.
type group struct{ priority, start, inTime, end int }

// groups calls yield for each priority that waits, the most urgent first.
func (d *Dispatcher) groups(now time.Time, yield func(g group)) {
	for start := 0; start < len(d.queue); {
		g := group{priority: d.queue[start].ask.Priority, start: start}
		g.end = start + sort.Search(len(d.queue)-start, func(i int) bool { return d.queue[start+i].ask.Priority > g.priority })
		g.inTime = start + sort.Search(g.end-start, func(i int) bool { return !d.queue[start+i].ask.isLate(now) })
		yield(g)
		start = g.end
	}
}

// waiting is how many requests wait here that are in time, and how many that are late.
func (d *Dispatcher) waiting(now time.Time) (inTime, late int) {
	d.groups(now, func(g group) {
		inTime += g.end - g.inTime
		late += g.inTime - g.start
	})
	return inTime, late
}

// ahead is how many requests wait here that get a place before another one. Those who are
// late do not go before one who is in time.
func (d *Dispatcher) ahead(ask *Ask, now time.Time) int {
	ahead, isLate := 0, ask.isLate(now)
	d.groups(now, func(g group) {
		from, to := g.inTime, g.end
		if isLate {
			from, to = g.start, g.inTime
			ahead += g.end - g.inTime
		}
		switch {
		case g.priority < ask.Priority:
			ahead += to - from
		case g.priority == ask.Priority:
			ahead += sort.Search(to-from, func(i int) bool { return d.queue[from+i].ask.startBy.After(ask.startBy) })
		}
	})
	if ask.queued {
		ahead--
	}
	return max(0, ahead)
}
