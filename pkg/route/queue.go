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
	// lateReserveRatio is the minimum time that must remain after the start of a late request, as a
	// ratio of the typical time that a request holds its slot.
	lateReserveRatio = 0.5
	// callerTimeoutReserve is how long before the caller's timeout a request must have started.
	callerTimeoutReserve = 300 * time.Millisecond
	// reviewInterval is the interval at which the expected wait of a queued request is estimated
	// again.
	reviewInterval = 100 * time.Millisecond
)

// BusyError reports that a request could not start in time, with the state that led to the
// decision.
type BusyError struct {
	// Waiting is the number of requests queued here, PeerWaiting that of late requests queued at
	// other entry boxes.
	Waiting, PeerWaiting int
	// Priority is the priority class of the request. MoreUrgent is the number of requests of more urgent classes that are
	// queued at all entry boxes; 0 if the service has one class.
	Priority, MoreUrgent int
	// OverShare is set if the request exceeded the fair share of its organisation.
	OverShare bool
	// Late is set if the request could no longer meet its objective. TimeLeft is how much longer a
	// start would still have been useful.
	Late     bool
	TimeLeft time.Duration
	// Slots is the number of slots, NewRequestSlots how many of them new requests need, and
	// AwaitingFirstByte the number of requests whose responses have not started.
	Slots             int
	NewRequestSlots   float64
	AwaitingFirstByte int
	// BackingOff is the number of servers that requested a backoff from this box.
	BackingOff int
	// Limited is the number of eligible servers if all of them have a rate limit; 0 otherwise. Cold is how many of these
	// have it because they are cold.
	Limited, Cold int
	// RetryAfter is the time after which a slot is expected to be free.
	RetryAfter time.Duration
}

// Error returns the number of queued requests, the number of slots and the time to retry after.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d requests are queued for %d slots, retry in about %v", e.Waiting, e.Slots, e.RetryAfter)
}

// RetryAfter returns how long a rejected caller should wait before it retries. This is the time of
// a BusyError or, if no server could run the request, the longest that is allowed for the time
// remaining until the caller's deadline.
func RetryAfter(err error, remaining time.Duration) time.Duration {
	var busy *BusyError
	if errors.As(err, &busy) {
		return busy.RetryAfter
	}
	return max(minRetryAfter, remaining/maxRetryAfterDivisor)
}

// QueuedRequest is a request that waits for a slot.
type QueuedRequest struct {
	req *SlotRequest
	// onGranted is called with the reservation while the dispatcher is locked.
	onGranted func(*Reservation)
}

// Submit reserves a slot for a request, queues the request or rejects it. For a queued request,
// onGranted is called with the reservation once there is one. Review must be called for it within
// reviewInterval, and then at the times that Review returns. Errors are a *BusyError or wrap
// ErrNoServer.
func (d *Dispatcher) Submit(req *SlotRequest, onGranted func(*Reservation), now time.Time) (*Reservation, *QueuedRequest, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	req.startBy = d.startBy(req, now)
	if d.hasClasses {
		d.checkFairShare(req, now)
	}
	if !req.Retry && !req.Resuming && !req.NoWait {
		d.arrivals.add(now)
		if d.hasClasses {
			d.classArrivals[req.demandClass()].add(now)
		}
		d.slack += time.Duration(ttfbSmoothing * float64(req.startBy.Sub(now)-d.slack))
	}
	if len(d.queue) == 0 || d.ahead(req, now) == 0 {
		if reservation := d.choose(req, nil, now); reservation != nil {
			return reservation, nil, nil
		}
	}
	if req.NoWait || !d.isWorthQueueing(req, now) {
		return nil, nil, d.rejection(req, now)
	}
	queued := &QueuedRequest{req: req, onGranted: onGranted}
	d.enqueue(queued)
	return nil, queued, nil
}

// startBy returns when a request must start to meet its objective, given the recent times to first
// byte. A new request counts as in time on arrival: otherwise a box whose recent responses started
// late would stop sending requests, and its estimate could not improve.
func (d *Dispatcher) startBy(req *SlotRequest, now time.Time) time.Time {
	startBy := req.Objective.Add(-d.ttfb - d.ttfbDeviation - req.Prefill)
	if d.hasClasses && !req.Retry {
		// With several classes, a slot may be allocated to a new request only in the round after its arrival. While the
		// estimate is too high, requests with a tight objective would be rejected, and their slots left to less urgent ones.
		if earliest := now.Add(allocationRound); startBy.Before(earliest) && req.Objective.After(earliest.Add(req.Prefill)) {
			return earliest
		}
	}
	if !req.Retry && startBy.Before(now) && req.Objective.After(now) {
		return now
	}
	return startBy
}

// Review estimates again whether a queued request will get a slot in time, and rejects it if not.
// It returns the time of the next review; ok is false if the request is no longer queued.
func (d *Dispatcher) Review(queued *QueuedRequest, now time.Time) (next time.Time, ok bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grant(nil, now)
	i := slices.Index(d.queue, queued)
	if i < 0 {
		return time.Time{}, false, nil
	}
	if !d.isWorthQueueing(queued.req, now) {
		d.dequeue(i)
		return time.Time{}, false, d.rejection(queued.req, now)
	}
	next = now.Add(reviewInterval)
	if startBy := queued.req.startBy; startBy.After(now) && startBy.Before(next) {
		next = startBy
	}
	return next, true, nil
}

// Cancel removes a request from the queue because its caller disconnected. It returns false if the
// request has been granted a slot or rejected in the meantime.
func (d *Dispatcher) Cancel(queued *QueuedRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.Index(d.queue, queued)
	if i < 0 {
		return false
	}
	d.dequeue(i)
	return true
}

// Acquire reserves a slot, and waits for one as long as the request can still start in time. Errors
// are a *BusyError, wrap ErrNoServer, or are those of ctx.
func (d *Dispatcher) Acquire(ctx context.Context, req *SlotRequest, clock clockwork.Clock) (*Reservation, error) {
	granted := make(chan *Reservation, 1)
	reservation, queued, err := d.Submit(req, func(reservation *Reservation) { granted <- reservation }, clock.Now())
	if queued == nil {
		return reservation, err
	}
	next, waiting, err := d.Review(queued, clock.Now())
	for waiting {
		timer := clock.NewTimer(clock.Until(next))
		select {
		case reservation = <-granted:
			timer.Stop()
			return reservation, nil
		case <-ctx.Done():
			timer.Stop()
			if !d.Cancel(queued) {
				(<-granted).Release(ResultAbandoned, clock.Now())
			}
			return nil, ctx.Err()
		case <-timer.Chan():
			next, waiting, err = d.Review(queued, clock.Now())
		}
	}
	if err != nil {
		return nil, err
	}
	return <-granted, nil
}

// rejection returns the error for a request that is rejected.
func (d *Dispatcher) rejection(req *SlotRequest, now time.Time) error {
	if !d.hasServerFor(req) || !d.anyEligible(req, now) && d.backingOff(req, now).servers == 0 {
		return ErrNoServer
	}
	return d.busyError(req, now)
}

// busyError returns a BusyError whose RetryAfter allows for the queued requests and for the retries
// that are already scheduled. Callers with the same time would retry together, and most would be
// rejected for good.
func (d *Dispatcher) busyError(req *SlotRequest, now time.Time) error {
	maxWait := max(minRetryAfter, req.Deadline.Sub(now)/maxRetryAfterDivisor)
	wait := maxWait
	if untilFree, ok := d.lateForecast(now).timeToStart(float64(d.retriesAhead(req, now)*d.boxes + d.lateAhead(req, now) + 1)); ok {
		wait = min(maxWait, max(minRetryAfter, untilFree))
	}
	retryIn, backingOff := wait, d.backingOff(req, now)
	if afterBackoff, ok := d.retryAfterBackoff(req, backingOff, now); ok {
		// An earlier retry would fail. Callers that cannot wait this long retry before their
		// timeout.
		wait = max(minRetryAfter, afterBackoff)
		retryIn, maxWait = min(wait, maxWait), math.MaxInt64
	}
	if !req.Retry && !req.Resuming && !req.NoWait {
		d.scheduledRetries.add(now.Add(retryIn))
		if d.hasClasses {
			d.classRetries[req.demandClass()].add(now.Add(retryIn))
		}
	}
	jitter := time.Duration(d.random() * float64(minRetryAfter))
	peerDemand, remaining := d.totalPeerDemand(now), d.latestStart(req).Sub(now)
	if !req.isLate(now) {
		remaining = req.startBy.Sub(now)
	}
	limited, cold := d.limitedEligible(req, now)
	return &BusyError{
		Priority: req.priorityClass(), MoreUrgent: d.moreUrgent(req, now), OverShare: req.overShare,
		Waiting: len(d.queue), PeerWaiting: peerDemand.Late, Late: req.isLate(now), TimeLeft: remaining,
		Slots: d.currentCapacity(now).allowedSlots(req), NewRequestSlots: d.newRequestSlots(now), AwaitingFirstByte: len(d.awaiting) + peerDemand.AwaitingFirstByte, BackingOff: backingOff.servers,
		Limited: limited, Cold: cold,
		RetryAfter: min(wait+jitter, maxWait),
	}
}

// lateAhead returns the number of late requests queued at all entry boxes that a retry of a request comes after.
func (d *Dispatcher) lateAhead(req *SlotRequest, now time.Time) int {
	own := d.demand(now)
	return own.lateAhead(req) + d.peerLateAhead(req, now)
}

// peerLateAhead returns the number of late requests queued at other entry boxes that are not in a less urgent class than req.
func (d *Dispatcher) peerLateAhead(req *SlotRequest, now time.Time) int {
	peers := d.totalPeerDemand(now)
	return peers.lateAhead(req)
}

// lateAhead returns the number of late requests except those in less urgent classes than a request.
func (d *Demand) lateAhead(req *SlotRequest) int {
	late := d.Late
	for class := req.demandClass() + 1; class < demandClassCount; class++ {
		late -= d.Classes[class].Late
	}
	return late
}

// retriesAhead returns the number of scheduled retries of rejected callers, without those in less urgent classes than a
// request.
func (d *Dispatcher) retriesAhead(req *SlotRequest, now time.Time) int {
	if !d.hasClasses {
		return d.scheduledRetries.count(now)
	}
	retries := 0
	for class := range req.demandClass() + 1 {
		retries += d.classRetries[class].count(now)
	}
	return retries
}

// scheduledRetries are the times at which rejected callers are due to retry, in ascending order.
type scheduledRetries []time.Time

func (s *scheduledRetries) add(at time.Time) {
	i, _ := slices.BinarySearchFunc(*s, at, time.Time.Compare)
	*s = slices.Insert(*s, i, at)
}

// count returns the number of retries scheduled after now, and removes the others.
func (s *scheduledRetries) count(now time.Time) int {
	expired, _ := slices.BinarySearchFunc(*s, now, time.Time.Compare)
	*s = slices.Delete(*s, 0, expired)
	return len(*s)
}

// rank returns the position of a request in the order of priorities. With several classes, requests that exceed their
// organisations' fair shares follow the others of their priority.
func (r *SlotRequest) rank() int {
	if r.overShare {
		return 2*r.Priority + 1
	}
	return 2 * r.Priority
}

// hasPrecedence orders the queue by priority, the most urgent first, then by the time by which the
// requests must start.
func hasPrecedence(a, b *SlotRequest) bool {
	if a.rank() != b.rank() {
		return a.rank() < b.rank()
	}
	return a.startBy.Before(b.startBy)
}

func (d *Dispatcher) enqueue(queued *QueuedRequest) {
	i, _ := slices.BinarySearchFunc(d.queue, queued.req, func(other *QueuedRequest, req *SlotRequest) int {
		if hasPrecedence(req, other.req) {
			return 1
		}
		return -1
	})
	d.queue = slices.Insert(d.queue, i, queued)
	queued.req.queued = true
}

// dequeue removes the request at index i from the queue.
func (d *Dispatcher) dequeue(i int) {
	d.queue[i].req.queued = false
	d.queue = slices.Delete(d.queue, i, i+1)
}

// priorityRange is the range of the queue that holds the requests of one priority: late ones from
// start to inTime, those in time from inTime to end.
type priorityRange struct{ rank, start, inTime, end int }

// eachPriority calls yield for each priority in the queue, the most urgent first.
func (d *Dispatcher) eachPriority(now time.Time, yield func(r priorityRange)) {
	for start := 0; start < len(d.queue); {
		r := priorityRange{rank: d.queue[start].req.rank(), start: start}
		r.end = start + sort.Search(len(d.queue)-start, func(i int) bool { return d.queue[start+i].req.rank() > r.rank })
		r.inTime = start + sort.Search(r.end-start, func(i int) bool { return !d.queue[start+i].req.isLate(now) })
		yield(r)
		start = r.end
	}
}

// queueCounts returns how many requests queued here are in time and how many are late.
func (d *Dispatcher) queueCounts(now time.Time) (inTime, late int) {
	d.eachPriority(now, func(r priorityRange) {
		inTime += r.end - r.inTime
		late += r.inTime - r.start
	})
	return inTime, late
}

// ahead returns how many requests queued here get a slot before req. Late requests do not precede
// one that is in time.
func (d *Dispatcher) ahead(req *SlotRequest, now time.Time) int {
	ahead, isLate := 0, req.isLate(now)
	d.eachPriority(now, func(r priorityRange) {
		from, to := r.inTime, r.end
		if isLate {
			from, to = r.start, r.inTime
			ahead += r.end - r.inTime
		}
		switch {
		case r.rank < req.rank():
			ahead += to - from
		case r.rank == req.rank():
			ahead += sort.Search(to-from, func(i int) bool { return d.queue[from+i].req.startBy.After(req.startBy) })
		}
	})
	if req.queued {
		ahead--
	}
	return max(0, ahead)
}
