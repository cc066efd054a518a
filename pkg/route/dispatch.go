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
	// peerLoadAge is how long the load that another entry box told counts. It is
	// several of the intervals at which they tell it.
	peerLoadAge = 1500 * time.Millisecond
	// serverStatusAge is how long an agent's status counts.
	serverStatusAge = 1200 * time.Millisecond
	// laggingAge is after how long without a status a server with older weights is
	// left alone while newer ones come: what is sent to it may arrive, or begin,
	// after they may no longer. An agent speaks twice as often.
	laggingAge = 800 * time.Millisecond
	// stallTime is after how long without the beginning of an answer a server is
	// taken to stand still; answers of a full batch begin within half of it.
	stallTime = 700 * time.Millisecond
	// swapMemory is how long a server is left alone whose agent ended while new
	// weights were taken; the list tells of them by then.
	swapMemory = 5 * time.Second
	// promptStart is within which time a server must have begun its last answer, at
	// most promptAge ago, to start requests shortly before its weights are barred.
	promptStart = 400 * time.Millisecond
	promptAge   = time.Second
	// orphanMargin is by how many requests a server's own count may exceed what
	// the entry boxes claim before it is believed: its count is a little older.
	orphanMargin = 4
	// holdSmoothing is the weight of the newest time in the mean time that a
	// request holds a place.
	holdSmoothing = 0.05
	// failureSmoothing is the weight of the newest result in a server's share of
	// failures.
	failureSmoothing = 0.15
	// ejectFirst and ejectLongest bound how long a server that could not be
	// reached is left alone.
	ejectFirst   = 500 * time.Millisecond
	ejectLongest = 4 * time.Second
	// replacedTime is how long a server is left alone that is no longer the one
	// listed. Its entry goes, or its agent tells of other weights, well within it.
	replacedTime = 3 * time.Second
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

// The parts of a server's cost beside the share of its places that are taken.
const (
	// costReading is for each prompt that is being read there: reading holds up
	// every other request of the batch.
	costReading = 0.06
	// costFar is for a server of another region: each answer crosses a priced
	// link.
	costFar = 0.2
	// costStalled is for a server that seems to stand still: any other goes first.
	costStalled = 2.0
	// costFailures is for a server all of whose answers fail.
	costFailures = 4.0
)

// Load is how many requests one box has in flight at each server.
type Load map[fleet.ServerID]int

// ServerState is what an agent tells of the backend server on its box.
type ServerState struct {
	// Version is the whole version that is loaded; 0 if there is none.
	Version fleet.WeightsVersion
	// Swapping is set while the server takes nothing new.
	Swapping bool
	Running  int
	Waiting  int
	// Pace is above 1 when the server is slow.
	Pace float64
	// Silent is set when the agent fell silent: the box stands still or can't be
	// reached, and the server with it. An agent that has ended is not silent.
	Silent bool
}

// backend is one server of a service as seen from this box.
type backend struct {
	server fleet.Server
	far    bool
	// listed is the version that the list gives.
	listed fleet.WeightsVersion

	state   ServerState
	stateAt time.Time

	own      int
	failures float64

	ejectedTo time.Time
	ejections int
	// replaced is set when the server was left alone because it had other weights
	// than were asked for, or another id.
	replaced bool

	// startTime is how long the last answer here took to begin, startedAt when it
	// did.
	startTime time.Duration
	startedAt time.Time
	// awaiting are when the requests were sent whose answers have not begun.
	awaiting map[*Reservation]time.Time
}

// oldestAwaited returns for how long an answer has been waited for to begin; 0 if
// none is.
func (b *backend) oldestAwaited(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, since := range b.awaiting {
		oldest = max(oldest, now.Sub(since))
	}
	return oldest
}

// isPrompt reports whether the server was seen to start requests at once.
func (b *backend) isPrompt(now time.Time) bool {
	return now.Sub(b.startedAt) < promptAge && b.startTime < promptStart && b.oldestAwaited(now) < promptStart
}

// version returns the whole version that the server has, by the newest word.
func (b *backend) version(now time.Time) (version fleet.WeightsVersion, swapping bool) {
	if now.Sub(b.stateAt) < serverStatusAge {
		return b.state.Version, b.state.Swapping
	}
	return b.listed, b.state.Swapping && now.Sub(b.stateAt) < swapMemory
}

type peerLoad struct {
	load Load
	at   time.Time
}

// Ask is a request for a place.
type Ask struct {
	// Priority is 0 for the most urgent.
	Priority int
	// Objective is when the first byte of the answer is expected.
	Objective time.Time
	// Reading is how long the server takes to read the request itself.
	Reading  time.Duration
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
	peers    map[member.BoxID]peerLoad
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

		backends: make(map[fleet.ServerID]*backend), peers: make(map[member.BoxID]peerLoad),
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

// PeerLoad takes what another entry box has in flight.
func (d *Dispatcher) PeerLoad(box member.BoxID, load Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[box] = peerLoad{load, now}
	d.grant(now)
}

// Own returns what this box has in flight.
func (d *Dispatcher) Own() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := make(Load)
	for _, b := range d.order {
		if b.own > 0 {
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

// Reservation is a place on a server that a request holds until it is released.
type Reservation struct {
	Server fleet.Server
	// Version is the version of the weights that the server has; 0 if it runs no
	// model.
	Version fleet.WeightsVersion

	dispatcher *Dispatcher
	backend    *backend
	since      time.Time
	readTime   time.Duration
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

// limit is how many requests a server is given at once.
func (d *Dispatcher) limit(b *backend) int { return max(1, b.server.Slots) }

// anyEligible reports whether some server could run a request if it had room.
func (d *Dispatcher) anyEligible(now time.Time) bool {
	return slices.ContainsFunc(d.order, func(b *backend) bool { return d.isEligible(b, now) })
}

// isEligible reports whether a server can run requests at all.
func (d *Dispatcher) isEligible(b *backend, now time.Time) bool {
	if now.Before(b.ejectedTo) || b.state.Silent {
		return false
	}
	if !d.engine {
		return true
	}
	version, swapping := b.version(now)
	if version < d.newest && !b.stateAt.IsZero() && now.Sub(b.stateAt) > laggingAge {
		return false
	}
	if swapping || version == 0 || version < d.required {
		return false
	}
	return version >= d.preferred || b.isPrompt(now)
}

// load is how many requests a server has, as far as this box knows.
func (d *Dispatcher) load(b *backend, now time.Time) int {
	load := b.own
	for _, peer := range d.peers {
		if now.Sub(peer.at) < peerLoadAge {
			load += peer.load[b.server.ID]
		}
	}
	if now.Sub(b.stateAt) < serverStatusAge {
		if told := b.state.Running + b.state.Waiting; told > load+orphanMargin {
			return told
		}
	}
	return load
}

// choose takes a place on the server that costs least; nil if none has room.
func (d *Dispatcher) choose(ask *Ask, now time.Time) *Reservation {
	var best *backend
	bestCost := math.Inf(1)
	for _, b := range d.order {
		if !d.isEligible(b, now) || slices.Contains(ask.Tried, b.server.ID) {
			continue
		}
		load, limit := d.load(b, now), d.limit(b)
		if load >= limit {
			continue
		}
		cost := float64(load)/float64(limit) + costReading*float64(len(b.awaiting)) + costFailures*b.failures +
			rand.Float64()/float64(limit)
		if b.far {
			cost += costFar
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
	best.own++
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

// Started notes that the answer has begun.
func (r *Reservation) Started(now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, awaited := r.backend.awaiting[r]; !awaited {
		return
	}
	delete(r.backend.awaiting, r)
	r.backend.startTime, r.backend.startedAt = now.Sub(r.since), now
	// The estimate of round-trip times of RFC 6298, with its weights.
	sample := max(0, now.Sub(r.since)-r.readTime)
	d.deviation += (max(sample-d.first, d.first-sample) - d.deviation) / 4
	d.first += (sample - d.first) / 8
}

// Result is what became of an attempt.
type Result int

// The results of an attempt.
const (
	// ResultDone is a whole answer.
	ResultDone Result = iota
	// ResultFailed is an answer that failed or broke off.
	ResultFailed
	// ResultRefused is a refusal by a server that did not run the request.
	ResultRefused
	// ResultUnreachable is a server that could not be connected to.
	ResultUnreachable
	// ResultReplaced is a server whose address another one has, or whose weights
	// are not those that were asked for.
	ResultReplaced
	// ResultAbandoned is an attempt whose caller left.
	ResultAbandoned
)

// Release gives the place back.
func (r *Reservation) Release(result Result, now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	b := r.backend
	switch result {
	case ResultDone:
		b.failures *= 1 - failureSmoothing
		b.ejections = 0
		d.usual += time.Duration(holdSmoothing * float64(now.Sub(r.since)-d.usual))
	case ResultFailed:
		b.failures += failureSmoothing * (1 - b.failures)
	case ResultRefused:
		// The server had less room than was thought; it is left alone until a few
		// of its requests have ended.
		b.ejectedTo = now.Add(d.usual / time.Duration(2*d.limit(b)))
	case ResultUnreachable:
		b.ejectedTo = now.Add(min(ejectLongest, ejectFirst<<min(b.ejections, 8)))
		b.ejections++
	case ResultReplaced:
		// An agent that has told of other weights meanwhile knows better.
		if version, _ := b.version(now); version == r.Version {
			b.replaced, b.ejectedTo = true, now.Add(replacedTime)
		}
	case ResultAbandoned:
	}
	d.release(r, now)
}

func (d *Dispatcher) release(r *Reservation, now time.Time) {
	delete(r.backend.awaiting, r)
	r.backend.own--
	d.grant(now)
}

// resultNames are the names of results in logs and metrics.
var resultNames = map[Result]string{
	ResultDone: "done", ResultFailed: "failed", ResultRefused: "refused",
	ResultUnreachable: "unreachable", ResultReplaced: "replaced", ResultAbandoned: "abandoned",
}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// Held returns for how long the place has been held.
func (r *Reservation) Held(now time.Time) time.Duration { return now.Sub(r.since) }
