package route

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// ErrNoServer reports a service without a backend server that could run the
// request.
var ErrNoServer = errors.New("no backend server can run the request")

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
	// lateReading is how much a server may have to read when a late request is sent
	// there: nothing, or it would hold up those that are still in time.
	lateReading = time.Duration(0)
	// latePart is the part of a server's places that late requests may take.
	latePart = 0.85
)

// Ask is a request for a place.
type Ask struct {
	// Priority is 0 for the most urgent.
	Priority int
	// Objective is when the first byte of the answer is expected.
	Objective time.Time
	// Reading is how long the server takes to read the request itself.
	Reading time.Duration
	// Holding is how long the request is expected to hold its place.
	Holding  time.Duration
	Deadline time.Time
	// Patience is after how long without an answer the caller leaves; 0 if it stays to
	// its deadline.
	Patience time.Duration
	// Returning is set for a caller that was refused before.
	Returning bool
	// Tried are servers that it was sent to already.
	Tried []fleet.ServerID
	// Once is set if the request must start at once or not at all.
	Once bool

	// startBy is when the request must start to meet its objective.
	startBy time.Time
}

// waitingAsk is a request in the queue.
type waitingAsk struct {
	ask   *Ask
	grant chan *Reservation
}

// Dispatcher shares the places of one service's backend servers among requests.
// Several entry boxes do so at once; each tells the others what it has in
// flight. It is safe for concurrent use.
type Dispatcher struct {
	mu       sync.Mutex
	backends map[fleet.ServerID]*backend
	order    []*backend
	peers    *peerLoads
	// boxes is how many entry boxes share the places.
	boxes int
	queue []*waitingAsk
	// usual is how long a request holds its place, in the mean.
	usual time.Duration
	// first is how long an answer takes to begin beside reading the request, and
	// deviation by how much that differs, in the mean.
	first     time.Duration
	deviation time.Duration
	// promised is until when the spare places are promised to requests that were told
	// to come back.
	promised time.Time
	// required is the oldest version of weights that may start a request.
	required fleet.WeightsVersion
	// preferred is the oldest version for any server; older ones, down to the
	// required, start requests only on servers that were seen to do so at once.
	preferred fleet.WeightsVersion
	newest    fleet.WeightsVersion
	// engine is set for a service whose servers need weights to run requests.
	engine bool
}

// NewDispatcher returns a dispatcher without servers. The usual time is how long
// a request holds a place, the first how long an answer takes to begin, until
// better is known.
func NewDispatcher(usual, first time.Duration, engine bool) *Dispatcher {
	return &Dispatcher{
		first: first,

		backends: make(map[fleet.ServerID]*backend), peers: newPeerLoads(),
		boxes: 1, usual: usual, engine: engine,
	}
}

// Servers replaces the list of servers. What is known of those that stay is
// kept. Near reports whether a failure domain is in the own region.
func (d *Dispatcher) Servers(servers []fleet.Server, layers int, near func(member.FailureDomain) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[fleet.ServerID]*backend, len(servers))
	d.order = d.order[:0]
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		b := d.backends[server.ID]
		if b == nil {
			b = &backend{awaiting: make(map[*Reservation]time.Time)}
		}
		b.server, b.far, b.listed = server, !near(server.Domain), 0
		for i := range server.Models {
			if version, whole := server.Models[i].Whole(layers); whole {
				b.listed = version
			}
		}
		next[server.ID] = b
		d.order = append(d.order, b)
	}
	d.backends = next
	d.grant(now)
}

// Boxes sets how many entry boxes share the places.
func (d *Dispatcher) Boxes(boxes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boxes = max(1, boxes)
}

// Versions are the versions of weights that bear on where a request may start.
type Versions struct {
	// Required is the oldest that may start a request at all.
	Required fleet.WeightsVersion
	// Preferred is the oldest that may on a server that is slow to start.
	Preferred fleet.WeightsVersion
	// Newest is the version that the servers should come to.
	Newest fleet.WeightsVersion
}

// Require sets which versions may start requests.
func (d *Dispatcher) Require(versions Versions, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.required != versions.Required
	d.required, d.preferred, d.newest = versions.Required, versions.Preferred, versions.Newest
	if changed {
		d.grant(now)
	}
}

// State takes what an agent tells of a server.
func (d *Dispatcher) State(id fleet.ServerID, state ServerState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.backends[id]; b != nil {
		if state.Version != b.state.Version && b.replaced {
			b.replaced, b.ejectedTo = false, time.Time{}
		}
		b.state, b.stateAt = state, now
		d.grant(now)
	}
}

// PeerLoad takes what another entry box has in flight: at the servers that are
// named, or, if whole is set, at these and no others.
func (d *Dispatcher) PeerLoad(box member.BoxID, load Load, whole bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.take(box, load, whole, now)
	d.grant(now)
}

// Own returns what this box has in flight.
func (d *Dispatcher) Own() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := make(Load)
	for _, b := range d.order {
		if b.own.Requests > 0 {
			load[b.server.ID] = b.own
		}
	}
	return load
}

// Waiting returns how many requests are queued.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue)
}

// Acquire returns a place, waiting for one if the request can still start in
// time. Errors are a *BusyError, wrap ErrNoServer, or are the context's.
func (d *Dispatcher) Acquire(ctx context.Context, ask *Ask, now func() time.Time) (*Reservation, error) {
	d.mu.Lock()
	at := now()
	ask.startBy = ask.Objective.Add(-d.first - d.deviation - ask.Reading)
	if len(d.queue) == 0 || d.isFirst(ask, at) {
		if place := d.choose(ask, at); place != nil {
			d.mu.Unlock()
			return place, nil
		}
	}
	latest := d.latest(ask, at)
	switch {
	case ask.Once || !ask.Returning && !d.anyEligible(at):
		defer d.mu.Unlock()
		if d.anyEligible(at) {
			return nil, d.busy(ask, at)
		}
		return nil, ErrNoServer
	case !ask.Returning && at.Add(d.expected(ask, at)).After(latest):
		defer d.mu.Unlock()
		return nil, d.busy(ask, at)
	}
	return d.hold(ctx, ask, latest, now)
}

// hold queues a request until a time. It unlocks the dispatcher.
func (d *Dispatcher) hold(ctx context.Context, ask *Ask, latest time.Time, now func() time.Time) (*Reservation, error) {
	w := &waitingAsk{ask: ask, grant: make(chan *Reservation, 1)}
	d.enqueue(w)
	d.mu.Unlock()
	return d.wait(ctx, w, latest, now)
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

// busy says when a refused request should come back. Those that are refused get the
// spare places one after the other: told the same short time, they would come back
// together and be refused for good.
func (d *Dispatcher) busy(ask *Ask, now time.Time) error {
	longest := max(retryLeast, ask.Deadline.Sub(now)/3)
	back := now.Add(max(retryLeast, d.expected(ask, now)))
	if d.promised.After(back) {
		back = d.promised
	}
	wait := min(back.Sub(now), longest)
	d.promised = now.Add(wait + time.Duration(float64(d.interval())/spareShare))
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

// choose takes a place on the server that costs least; nil if none has room.
func (d *Dispatcher) choose(ask *Ask, now time.Time) *Reservation {
	d.peers.expire(now)
	var best *backend
	bestCost := math.Inf(1)
	for _, b := range d.order {
		if !d.isEligible(b, now) || slices.Contains(ask.Tried, b.server.ID) {
			continue
		}
		load, limit := d.load(b, now), d.limit(b)
		if load.Requests >= d.mostRequests(ask, limit, now) || load.Reading > d.mostReading(ask, now) {
			continue
		}
		cost := float64(load.Requests)/float64(limit) + float64(load.Reading)/float64(readingScale) + costFailures*b.failures +
			rand.Float64()/float64(limit)
		if b.far {
			cost += costFar
		}
		if !b.state.SwapAt.IsZero() && now.Add(ask.Holding).After(b.state.SwapAt) {
			cost += costSwap
		}
		if b.oldestAwaited(now) > stallTime {
			cost += costStalled
		}
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	if best == nil {
		return nil
	}
	version, _ := best.version(now)
	place := &Reservation{
		Server: best.server, Version: version, dispatcher: d, backend: best, since: now, reading: ask.Reading,
		readAhead: d.load(best, now).Reading,
	}
	best.own.Requests++
	best.own.Reading += ask.Reading
	best.awaiting[place] = now
	return place
}

// mostRequests is how many requests a server may have before another one is sent
// there. One that is late already leaves places to those that are not.
func (d *Dispatcher) mostRequests(ask *Ask, limit int, now time.Time) int {
	if ask.startBy.Before(now) {
		return max(1, int(latePart*float64(limit)))
	}
	return limit
}

// mostReading is how much a server may have to read before a request is sent there:
// what still lets the answer begin in time, and for one that is late already so little
// that it does not hold up those that are not.
func (d *Dispatcher) mostReading(ask *Ask, now time.Time) time.Duration {
	if left := ask.startBy.Sub(now); left >= 0 {
		return left
	}
	return lateReading
}

// grant gives free places to those who wait: first to those who can still be
// answered in time, then to the others.
func (d *Dispatcher) grant(now time.Time) {
	for _, late := range []bool{false, true} {
		for i := 0; i < len(d.queue); {
			w := d.queue[i]
			if w.ask.startBy.Before(now) != late {
				i++
				continue
			}
			place := d.choose(w.ask, now)
			if place == nil {
				if len(w.ask.Tried) == 0 {
					return
				}
				i++
				continue
			}
			d.queue = slices.Delete(d.queue, i, i+1)
			w.grant <- place
		}
	}
}
