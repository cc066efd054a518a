package route

import (
	"errors"
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

// latePart is the part of a server's places that late requests may take.
const latePart = 0.85

// Ask is a request for a place.
type Ask struct {
	// Priority is 0 for the most urgent.
	Priority int
	// Arrived is when the request came.
	Arrived time.Time
	// Objective is when the first byte of the answer is expected, counted from when the
	// caller asked for the first time.
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
	// Resuming is set for an answer that has begun and goes on at another server.
	Resuming bool
	// Tried are servers that it was sent to already.
	Tried []fleet.ServerID
	// Once is set if the request must start at once or not at all.
	Once bool
	// Suspect is set if a server has ended under the request. Two of them never go to one server, so that its end
	// tells which of them is to blame.
	Suspect bool

	// startBy is when the request must start to meet its objective.
	startBy time.Time
	// queued is set while the request is in the queue.
	queued bool
}

// isLate reports whether the request can't meet its objective any more.
func (a *Ask) isLate(now time.Time) bool { return a.startBy.Before(now) }

// Dispatcher shares the places of one service's backend servers among requests.
// Several entry boxes do so at once; each tells the others what it has in
// flight. It is safe for concurrent use.
type Dispatcher struct {
	mu       sync.Mutex
	backends map[fleet.ServerID]*backend
	order    []*backend
	// leaving are the servers of the list that have said that they will end.
	leaving map[fleet.ServerID]bool
	rests   rests
	// buckets are the token buckets of the servers with a rate limit.
	buckets map[fleet.ServerID]*tokenBucket
	peers   *peerLoads
	// boxes is how many entry boxes share the places.
	boxes int
	queue []*Waiting
	// arrivals are the requests that come to this box for the first time.
	arrivals rateMeter
	// demands are what the other entry boxes are asked for.
	demands peerDemands
	// usual is how long a request holds its place, in the mean.
	usual time.Duration
	// first is how long an answer takes to begin beside reading the request, and
	// deviation by how much that differs, in the mean.
	first     time.Duration
	deviation time.Duration
	promises  promises
	// slack is how long a first request can wait until it must start, in the mean.
	slack time.Duration
	// swapTime is how long a server is out of service for newer weights, in the mean.
	swapTime time.Duration
	forecast forecast
	// required is the oldest version of weights that may start a request.
	required fleet.WeightsVersion
	// preferred is the oldest version for any server; older ones, down to the
	// required, start requests only on servers that were seen to do so at once.
	preferred fleet.WeightsVersion
	newest    fleet.WeightsVersion
	// engine is set for a service whose servers need weights to run requests.
	engine bool
	random func() float64
	// self is the name of this box.
	self          member.BoxID
	onLimitedSend func()
	// unbegun are the requests that hold a place here whose answers have not begun, those included whose
	// servers are no longer listed.
	unbegun map[*Reservation]struct{}
	// changes counts what may change the census.
	changes uint64
	census  census
	// candidates is reused from one choice to the next.
	candidates []candidate
}

// DispatcherOptions are what a dispatcher starts from.
type DispatcherOptions struct {
	// Usual is how long a request holds a place, First how long an answer takes to begin,
	// until better is known.
	Usual, First time.Duration
	// Engine is set for a service whose servers need weights to run requests.
	Engine bool
	// Random returns numbers from 0 up to 1; nil for those of the process.
	Random func() float64
	// Box is the name of the entry box, by which it claims places.
	Box member.BoxID
	// OnLimitedSend is called when a request is sent to a server with a low rate limit, so that the other boxes can be told at once.
	// It must not block or call the dispatcher. May be nil.
	OnLimitedSend func()
}

// NewDispatcher returns a dispatcher without servers.
func NewDispatcher(options DispatcherOptions) *Dispatcher {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Dispatcher{
		backends: make(map[fleet.ServerID]*backend),
		leaving:  make(map[fleet.ServerID]bool),
		rests:    make(rests),
		buckets:  make(map[fleet.ServerID]*tokenBucket),
		unbegun:  make(map[*Reservation]struct{}),
		peers:    newPeerLoads(),
		demands:  peerDemands{boxes: make(map[member.BoxID]peerDemand)},
		boxes:    1,
		usual:    options.Usual,
		first:    options.First,
		engine:   options.Engine,
		random:   options.Random,
		self:     options.Box,

		onLimitedSend: options.OnLimitedSend,
		swapTime:      usualSwapTime,
	}
}

// Servers replaces the list of servers. What is known of those that stay is
// kept. Near reports whether a failure domain is in the own region.
func (d *Dispatcher) Servers(servers []fleet.Server, layers int, near func(member.FailureDomain) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[fleet.ServerID]*backend, len(servers))
	d.order = d.order[:0]
	clear(d.leaving)
	for _, server := range servers {
		if server.Leaving {
			d.leaving[server.ID] = true
			continue
		}
		b := d.backends[server.ID]
		if b == nil || server.Incarnation > b.incarnation {
			b = d.newBackend(server.ID, server.Incarnation, now)
		}
		b.server, b.far = server, !near(server.Domain)
		d.setLimit(&server, now)
		b.list(&server, layers)
		d.noteClosed(b, now)
		next[server.ID] = b
		d.order = append(d.order, b)
	}
	d.backends = next
	d.dropUnlistedBuckets()
	d.forecast, d.census = forecast{}, census{}
	d.grant(nil, now)
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
	// Begun is the oldest on which an answer may still begin that was asked for before.
	Begun fleet.WeightsVersion
	// Newest is the version that the servers should come to.
	Newest fleet.WeightsVersion
}

// Require sets which versions may start requests, and gives up those that have not begun on
// older ones.
func (d *Dispatcher) Require(versions Versions, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes++
	changed := d.required != versions.Required
	// Only a service whose servers need weights has versions, as a service may from some moment on.
	d.engine = true
	d.required, d.preferred, d.newest = versions.Required, versions.Preferred, versions.Newest
	d.giveUpOlder(versions.Begun)
	if changed {
		d.grant(nil, now)
	}
}

// giveUpOlder gives up the requests whose answers have not begun on weights older than a version.
func (d *Dispatcher) giveUpOlder(begun fleet.WeightsVersion) {
	for place := range d.unbegun {
		if place.Version < begun && place.giveUp != nil {
			place.giveUp()
		}
	}
}

// State takes what an agent tells of a server.
func (d *Dispatcher) State(id fleet.ServerID, state ServerState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.current(id, state.Incarnation, now); b != nil {
		if state.Version != b.state.Version && b.replaced {
			b.replaced, b.ejectedTo = false, time.Time{}
		}
		d.noteSwap(b, state, now)
		if state.Swapping != b.state.Swapping || state.Silent != b.state.Silent || state.Version != b.state.Version {
			d.forecast = forecast{}
		}
		b.state, b.stateAt = state, now
		d.noteUnseen(b)
		d.changes++
		d.noteClosed(b, now)
		d.grant(nil, now)
	}
}

// current returns the backend of which an agent tells; nil if there is none, or the agent
// speaks of an earlier start. One that tells of a later start than is known ends all that is
// believed of the one before: its weights, swaps, failures and what is in flight there.
func (d *Dispatcher) current(id fleet.ServerID, told member.Incarnation, now time.Time) *backend {
	b := d.backends[id]
	switch {
	case b == nil || told == 0 || told == b.incarnation:
		return b
	case told < b.incarnation:
		return nil
	case b.incarnation == 0:
		// The list does not tell starts, so nothing says that this is another one.
		b.incarnation = told
		return b
	}
	next := d.newBackend(id, told, now)
	next.server, next.far = b.server, b.far
	d.backends[id] = next
	d.order[slices.Index(d.order, b)] = next
	d.forecast, d.census = forecast{}, census{}
	return next
}

// noteClosed notes since when a server takes nothing.
func (d *Dispatcher) noteClosed(b *backend, now time.Time) {
	switch {
	case d.isEligible(b, now):
		b.closedSince = time.Time{}
	case b.closedSince.IsZero():
		b.closedSince = now
	}
}

// noteSwap learns how long swaps take.
func (d *Dispatcher) noteSwap(b *backend, state ServerState, now time.Time) {
	switch {
	case state.Swapping && !b.state.Swapping:
		b.swapSince = now
	case !state.Swapping && b.state.Swapping && state.Version > b.state.Version:
		d.swapTime += time.Duration(swapSmoothing * float64(now.Sub(b.swapSince)-d.swapTime))
	}
}

// PeerLoad takes what another entry box has in flight: at the servers that are
// named, or, if whole is set, at these and no others.
func (d *Dispatcher) PeerLoad(box member.BoxID, load Load, whole bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.take(box, load, whole, now)
	d.takePeerSent(box, load, now)
	d.changes++
	d.grant(nil, now)
}

// Own returns what this box has in flight.
func (d *Dispatcher) Own() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := make(Load)
	for _, b := range d.order {
		own := b.own
		if bucket := d.buckets[b.server.ID]; bucket != nil {
			own.Sent = bucket.sent
		}
		if own.Requests > 0 || own.Sent > 0 {
			load[b.server.ID] = own
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

// choose takes a place for a request; nil if there is none for it. Freed is a server
// where this box has just given a place back, which no other box knows to be free.
func (d *Dispatcher) choose(ask *Ask, freed *backend, now time.Time) *Reservation {
	d.peers.expire(now)
	competition, standing := d.competition(now), ask.standing(now)
	if standing == standsLate && (competition.free <= competition.inTime || !d.hasLatePlace(now)) {
		return nil
	}
	if freed != nil && d.buckets[freed.server.ID] == nil {
		if c, ok := d.candidate(freed, ask, now); ok {
			return d.reserve(c.backend, ask, now)
		}
	}
	d.gather(ask, now)
	if b := d.pickLimited(competition.others(standing)); b != nil {
		return d.reserve(b, ask, now)
	}
	coming := competition.others(standing) + 1
	if competition.isScarce(standing) {
		d.keepClaimable(competition.round, now)
		coming = 1
	}
	b := spread(d.candidates, coming, d.random())
	if b == nil {
		return nil
	}
	if b.claimRound != competition.round {
		b.claimRound, b.claimed = competition.round, 0
	}
	b.claimed++
	return d.reserve(b, ask, now)
}

// keepClaimable leaves those candidates that have places which are this box's.
func (d *Dispatcher) keepClaimable(round int64, now time.Time) {
	demand := d.demand(now)
	weight := demand.claimWeight()
	kept := d.candidates[:0]
	for _, c := range d.candidates {
		if d.buckets[c.backend.server.ID] != nil {
			kept = append(kept, c)
			continue
		}
		if mine := d.claimable(c.backend, int(c.room), round, weight); mine > 0 {
			c.room = float64(mine)
			kept = append(kept, c)
		}
	}
	d.candidates = kept
}

// candidate returns what it costs to send a request to a server; ok is false if it can't
// be sent there.
func (d *Dispatcher) candidate(b *backend, ask *Ask, now time.Time) (c candidate, ok bool) {
	if !d.isEligible(b, now) || b.isOnTrial(now) || slices.Contains(ask.Tried, b.server.ID) || ask.Suspect && b.suspects > 0 {
		return candidate{}, false
	}
	load, limit := d.load(b, now), d.limit(b)
	most := d.mostRequests(ask, limit, now)
	if load.Requests >= most || load.Reading > d.mostReading(ask, now) {
		return candidate{}, false
	}
	room := most - load.Requests
	if bucket := d.buckets[b.server.ID]; bucket != nil {
		if room = min(room, bucket.available(now)); room < 1 {
			return candidate{}, false
		}
	}
	c = candidate{
		backend: b, perRequest: 1 / float64(limit), room: float64(room),
		cost: float64(load.Requests)/float64(limit) + float64(load.Reading)/float64(readingScale) + costFailures*b.failures,
	}
	if b.far {
		c.cost += costFar
	}
	if !b.state.SwapAt.IsZero() && now.Add(ask.Holding).After(b.state.SwapAt) {
		c.cost += costSwap
	}
	if b.oldestAwaited(now) > stallTime {
		c.cost += costStalled
	}
	return c, true
}

// reserve takes a place on a server.
func (d *Dispatcher) reserve(b *backend, ask *Ask, now time.Time) *Reservation {
	version, _ := b.version(now)
	place := &Reservation{
		Server: b.server, Incarnation: b.incarnation, Version: version, dispatcher: d, backend: b, since: now, reading: ask.Reading,
		readAhead: d.load(b, now).Reading, suspect: ask.Suspect,
	}
	if ask.Suspect {
		b.suspects++
	}
	place.takeToken(now)
	d.unbegun[place] = struct{}{}
	d.changes++
	d.census.free--
	b.own.Requests++
	b.own.Reading += ask.Reading
	b.awaiting[place] = now
	return place
}

// mostRequests is how many requests a server may have before another one is sent
// there. One that is late already leaves places to those that are not.
func (d *Dispatcher) mostRequests(ask *Ask, limit int, now time.Time) int {
	if ask.isLate(now) {
		return max(1, int(latePart*float64(limit)))
	}
	return limit
}

// mostReading is how much a server may have to read before a request is sent there:
// what still lets the answer begin in time. One that is late already leaves half of what
// those usually have to spare who are in time.
func (d *Dispatcher) mostReading(ask *Ask, now time.Time) time.Duration {
	if left := ask.startBy.Sub(now); left >= 0 {
		return left
	}
	return max(0, d.slack-ask.Reading) / 2
}

// grant gives free places to those who wait: first to those who can still be
// answered in time, then to the others. Freed is as for choose.
func (d *Dispatcher) grant(freed *backend, now time.Time) {
	for _, late := range []bool{false, true} {
		for i := 0; i < len(d.queue); {
			w := d.queue[i]
			if w.ask.isLate(now) != late {
				i++
				continue
			}
			place := d.choose(w.ask, freed, now)
			if place == nil {
				if len(w.ask.Tried) == 0 && !w.ask.Suspect {
					// It could go anywhere, so those behind it find nothing either.
					return
				}
				i++
				continue
			}
			if place.backend == freed {
				freed = nil
			}
			d.dequeue(i)
			w.granted(place)
		}
	}
}
