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
	// lateness is how much later than its objective asks a request may start that
	// was refused before, as long as few are refused: callers prefer a late answer
	// to a second refusal.
	lateness = 1200 * time.Millisecond
	// holdPart is the part of its time for which a request that was refused before
	// waits for a service that has no server: most such times are short, while new
	// weights are taken, and a second refusal is final.
	holdPart = 0.4
	// refusedSmoothing is the weight of the newest request in the share of those
	// that are refused, and refusedFew the share up to which few are.
	refusedSmoothing = 0.02
	refusedFew       = 0.3
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
	// refused is the share of first requests that were refused lately.
	refused float64
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
			d.note(ask, false)
			d.mu.Unlock()
			return place, nil
		}
	}
	if !d.anyEligible(at) {
		if !ask.Returning || ask.Once {
			d.mu.Unlock()
			return nil, ErrNoServer
		}
		return d.hold(ctx, ask, at.Add(time.Duration(holdPart*float64(ask.Deadline.Sub(at)))), now)
	}
	ahead, wait := d.expected(ask)
	latest := d.latest(ask)
	late := at.Add(wait).After(latest)
	d.note(ask, late)
	if ask.Once || late {
		d.mu.Unlock()
		return nil, d.busy(ask, ahead, wait, at)
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

// latest is when a request must have started to be worth waiting for. While the
// service is overloaded, places go to those who can still be answered in time.
func (d *Dispatcher) latest(ask *Ask) time.Time {
	latest := ask.startBy
	if ask.Returning {
		latest = latest.Add(time.Duration(float64(lateness) * max(0, 1-d.refused/refusedFew)))
	}
	return latest
}

// note counts whether a first request was refused.
func (d *Dispatcher) note(ask *Ask, refused bool) {
	if ask.Returning {
		return
	}
	share := 0.0
	if refused {
		share = 1
	}
	d.refused += refusedSmoothing * (share - d.refused)
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
		ahead, wait := d.expected(w.ask)
		problem = d.busy(w.ask, ahead, wait, now())
	}
	return nil, problem
}

func (d *Dispatcher) usualTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usual
}

// busy says when a refused request should come back.
func (d *Dispatcher) busy(ask *Ask, ahead int, wait time.Duration, now time.Time) error {
	longest := ask.Deadline.Sub(now) / 3
	spread := time.Duration(rand.Int64N(int64(max(wait, retryLeast))))
	return &BusyError{Waiting: ahead, RetryAfter: max(retryLeast, min(wait+spread/2, longest))}
}

// isFirst reports whether a request goes before all that wait.
func (d *Dispatcher) isFirst(ask *Ask, now time.Time) bool {
	for _, w := range d.queue {
		if !w.ask.startBy.Before(now) && !before(ask, w.ask) {
			return false
		}
	}
	return !ask.startBy.Before(now)
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

// expected returns how many requests go before one, and how long they take.
func (d *Dispatcher) expected(ask *Ask) (ahead int, wait time.Duration) {
	for _, w := range d.queue {
		if !before(ask, w.ask) {
			ahead++
		}
	}
	places := 0
	for _, b := range d.order {
		places += d.limit(b)
	}
	share := max(1, float64(places)/float64(d.boxes))
	return ahead, time.Duration(float64(ahead+1) / share * float64(d.usual))
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
		if load.Requests >= limit {
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
	best.own.Requests++
	best.own.Reading += ask.Reading
	version, _ := best.version(now)
	place := &Reservation{
		Server: best.server, Version: version, dispatcher: d, backend: best, since: now, readTime: ask.Reading,
	}
	best.awaiting[place] = now
	return place
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
