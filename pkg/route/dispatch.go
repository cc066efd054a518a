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

// lateShare is the part of a server's places that late requests may take.
const lateShare = 0.85

// SlotRequest is a request for a place.
type SlotRequest struct {
	// Priority is 0 for the most urgent.
	Priority int
	// Arrived is when the request came.
	Arrived time.Time
	// Objective is when the first byte of the answer is expected, counted from when the
	// caller asked for the first time.
	Objective time.Time
	// Prefill is how long the server takes to read the request itself.
	Prefill time.Duration
	// HoldTime is how long the request is expected to hold its place.
	HoldTime time.Duration
	Deadline time.Time
	// CallerTimeout is after how long without an answer the caller leaves; 0 if it stays to
	// its deadline.
	CallerTimeout time.Duration
	// Retry is set for a caller that was refused before.
	Retry bool
	// Resuming is set for an answer that has begun and goes on at another server.
	Resuming bool
	// Tried are servers that it was sent to already.
	Tried []fleet.ServerID
	// NoWait is set if the request must start at once or not at all.
	NoWait bool
	// Suspect is set if a server has ended under the request. Two of them never go to one server, so that its end
	// tells which of them is to blame.
	Suspect bool

	// startBy is when the request must start to meet its objective.
	startBy time.Time
	// queued is set while the request is in the queue.
	queued bool
}

// isLate reports whether the request can't meet its objective any more.
func (a *SlotRequest) isLate(now time.Time) bool { return a.startBy.Before(now) }

// Dispatcher shares the places of one service's backend servers among requests.
// Several entry boxes do so at once; each tells the others what it has in
// flight. It is safe for concurrent use.
type Dispatcher struct {
	mu          sync.Mutex
	backends    map[fleet.ServerID]*backend
	backendList []*backend
	// leaving are the servers of the list that have said that they will end.
	leaving  map[fleet.ServerID]bool
	backoffs backoffs
	// buckets are the token buckets of the servers with a rate limit.
	buckets   map[fleet.ServerID]*tokenBucket
	peerLoads *peerLoads
	// boxes is how many entry boxes share the places.
	boxes int
	queue []*QueuedRequest
	// arrivals are the requests that come to this box for the first time.
	arrivals rateMeter
	// peerDemands are what the other entry boxes are asked for.
	peerDemands peerDemands
	// typicalHoldTime is how long a request holds its place, in the mean.
	typicalHoldTime time.Duration
	// ttfb is how long an answer takes to begin beside reading the request, and
	// deviation by how much that differs, in the mean.
	ttfb             time.Duration
	ttfbDeviation    time.Duration
	scheduledRetries scheduledRetries
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
	// needsWeights is set for a service whose servers need weights to run requests.
	needsWeights bool
	random       func() float64
	// self is the name of this box.
	self          member.BoxID
	onLimitedSend func()
	// awaiting are the requests that hold a place here whose answers have not begun, those included whose
	// servers are no longer listed.
	awaiting map[*Reservation]struct{}
	// changes counts what may change the census.
	changes  uint64
	capacity capacitySnapshot
	// candidates is reused from one choice to the next.
	candidates []candidate
}

// DispatcherOptions are what a dispatcher starts from.
type DispatcherOptions struct {
	// TypicalHoldTime is how long a request holds a place, First how long an answer takes to begin,
	// until better is known.
	TypicalHoldTime, TTFB time.Duration
	// NeedsWeights is set for a service whose servers need weights to run requests.
	NeedsWeights bool
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
		backends:        make(map[fleet.ServerID]*backend),
		leaving:         make(map[fleet.ServerID]bool),
		backoffs:        make(backoffs),
		buckets:         make(map[fleet.ServerID]*tokenBucket),
		awaiting:        make(map[*Reservation]struct{}),
		peerLoads:       newPeerLoads(),
		peerDemands:     peerDemands{boxes: make(map[member.BoxID]peerDemand)},
		boxes:           1,
		typicalHoldTime: options.TypicalHoldTime,
		ttfb:            options.TTFB,
		needsWeights:    options.NeedsWeights,
		random:          options.Random,
		self:            options.Box,

		onLimitedSend: options.OnLimitedSend,
		swapTime:      defaultSwapTime,
	}
}

// SetServers replaces the list of servers. What is known of those that stay is
// kept. Near reports whether a failure domain is in the own region.
func (d *Dispatcher) SetServers(servers []fleet.Server, layers int, near func(member.FailureDomain) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[fleet.ServerID]*backend, len(servers))
	d.backendList = d.backendList[:0]
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
		b.server, b.remote = server, !near(server.Domain)
		d.setLimit(&server, now)
		b.updateListedVersion(&server, layers)
		d.updateIneligibleSince(b, now)
		next[server.ID] = b
		d.backendList = append(d.backendList, b)
	}
	d.backends = next
	d.dropUnlistedBuckets()
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
	d.grant(nil, now)
}

// SetBoxCount sets how many entry boxes share the places.
func (d *Dispatcher) SetBoxCount(boxes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boxes = max(1, boxes)
}

// VersionRequirements are the versions of weights that bear on where a request may start.
type VersionRequirements struct {
	// Required is the oldest that may start a request at all.
	Required fleet.WeightsVersion
	// Preferred is the oldest that may on a server that is slow to start.
	Preferred fleet.WeightsVersion
	// RequiredInFlight is the oldest on which an answer may still begin that was asked for before.
	RequiredInFlight fleet.WeightsVersion
	// Newest is the version that the servers should come to.
	Newest fleet.WeightsVersion
}

// RequireVersions sets which versions may start requests, and gives up those that have not begun on
// older ones.
func (d *Dispatcher) RequireVersions(versions VersionRequirements, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes++
	changed := d.required != versions.Required
	// Only a service whose servers need weights has versions, as a service may from some moment on.
	d.needsWeights = true
	d.required, d.preferred, d.newest = versions.Required, versions.Preferred, versions.Newest
	d.cancelOlder(versions.RequiredInFlight)
	if changed {
		d.grant(nil, now)
	}
}

// cancelOlder gives up the requests whose answers have not begun on weights older than a version.
func (d *Dispatcher) cancelOlder(begun fleet.WeightsVersion) {
	for place := range d.awaiting {
		if place.Version < begun && place.cancel != nil {
			place.cancel()
		}
	}
}

// UpdateServer takes what an agent tells of a server.
func (d *Dispatcher) UpdateServer(id fleet.ServerID, state ServerState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.currentBackend(id, state.Incarnation, now); b != nil {
		if state.Version != b.state.Version && b.replaced {
			b.replaced, b.ejectedUntil = false, time.Time{}
		}
		d.updateSwapTime(b, state, now)
		if state.Swapping != b.state.Swapping || state.Silent != b.state.Silent || state.Version != b.state.Version {
			d.forecast = forecast{}
		}
		b.state, b.stateAt = state, now
		d.updateUnclaimed(b)
		d.changes++
		d.updateIneligibleSince(b, now)
		d.grant(nil, now)
	}
}

// currentBackend returns the backend of which an agent tells; nil if there is none, or the agent
// speaks of an earlier start. One that tells of a later start than is known ends all that is
// believed of the one before: its weights, swaps, failures and what is in flight there.
func (d *Dispatcher) currentBackend(id fleet.ServerID, told member.Incarnation, now time.Time) *backend {
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
	next.server, next.remote = b.server, b.remote
	d.backends[id] = next
	d.backendList[slices.Index(d.backendList, b)] = next
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
	return next
}

// updateIneligibleSince notes since when a server takes nothing.
func (d *Dispatcher) updateIneligibleSince(b *backend, now time.Time) {
	switch {
	case d.isEligible(b, now):
		b.ineligibleSince = time.Time{}
	case b.ineligibleSince.IsZero():
		b.ineligibleSince = now
	}
}

// updateSwapTime learns how long swaps take.
func (d *Dispatcher) updateSwapTime(b *backend, state ServerState, now time.Time) {
	switch {
	case state.Swapping && !b.state.Swapping:
		b.swapStart = now
	case !state.Swapping && b.state.Swapping && state.Version > b.state.Version:
		d.swapTime += time.Duration(swapSmoothing * float64(now.Sub(b.swapStart)-d.swapTime))
	}
}

// UpdatePeerLoad takes what another entry box has in flight: at the servers that are
// named, or, if whole is set, at these and no others.
func (d *Dispatcher) UpdatePeerLoad(box member.BoxID, load Load, whole bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads.merge(box, load, whole, now)
	d.takePeerSent(box, load, now)
	d.changes++
	d.grant(nil, now)
}

// OwnLoad returns what this box has in flight.
func (d *Dispatcher) OwnLoad() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := make(Load)
	for _, b := range d.backendList {
		own := b.ownLoad
		if bucket := d.buckets[b.server.ID]; bucket != nil {
			own.Sent = bucket.sent
		}
		if own.Requests > 0 || own.Sent > 0 {
			load[b.server.ID] = own
		}
	}
	return load
}

// QueueLen returns how many requests are queued.
func (d *Dispatcher) QueueLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue)
}

// choose takes a place for a request; nil if there is none for it. Freed is a server
// where this box has just given a place back, which no other box knows to be free.
func (d *Dispatcher) choose(ask *SlotRequest, freed *backend, now time.Time) *Reservation {
	d.peerLoads.expire(now)
	competition, standing := d.contention(now), ask.class(now)
	if standing == classLate && (competition.free <= competition.inTime || !d.hasLateSlot(now)) {
		return nil
	}
	if freed != nil && d.buckets[freed.server.ID] == nil {
		if c, ok := d.candidate(freed, ask, now); ok {
			return d.reserve(c.backend, ask, now)
		}
	}
	d.collectCandidates(ask, now)
	if b := d.pickLimited(competition.competitors(standing)); b != nil {
		return d.reserve(b, ask, now)
	}
	coming := competition.competitors(standing) + 1
	if competition.isScarce(standing) {
		d.keepOwnShare(competition.round, now)
		coming = 1
	}
	b := pickBackend(d.candidates, coming, d.random())
	if b == nil {
		return nil
	}
	if b.round != competition.round {
		b.round, b.takenInRound = competition.round, 0
	}
	b.takenInRound++
	return d.reserve(b, ask, now)
}

// keepOwnShare leaves those candidates that have places which are this box's.
func (d *Dispatcher) keepOwnShare(round int64, now time.Time) {
	demand := d.demand(now)
	weight := demand.allocationWeight()
	kept := d.candidates[:0]
	for _, c := range d.candidates {
		if d.buckets[c.backend.server.ID] != nil {
			kept = append(kept, c)
			continue
		}
		if mine := d.remainingShare(c.backend, int(c.room), round, weight); mine > 0 {
			c.room = float64(mine)
			kept = append(kept, c)
		}
	}
	d.candidates = kept
}

// candidate returns what it costs to send a request to a server; ok is false if it can't
// be sent there.
func (d *Dispatcher) candidate(b *backend, ask *SlotRequest, now time.Time) (c candidate, ok bool) {
	if !d.isEligible(b, now) || b.isProbing(now) || slices.Contains(ask.Tried, b.server.ID) || ask.Suspect && b.suspects > 0 {
		return candidate{}, false
	}
	load, limit := d.load(b, now), d.slots(b)
	most := d.maxRequests(ask, limit, now)
	if load.Requests >= most || load.Prefill > d.maxPrefill(ask, now) {
		return candidate{}, false
	}
	room := most - load.Requests
	if bucket := d.buckets[b.server.ID]; bucket != nil {
		if room = min(room, bucket.available(now)); room < 1 {
			return candidate{}, false
		}
	}
	c = candidate{
		backend: b, costPerRequest: 1 / float64(limit), room: float64(room),
		cost: float64(load.Requests)/float64(limit) + float64(load.Prefill)/float64(prefillScale) + costFailures*b.failureRate,
	}
	if b.remote {
		c.cost += costRemote
	}
	if !b.state.SwapAt.IsZero() && now.Add(ask.HoldTime).After(b.state.SwapAt) {
		c.cost += costSwap
	}
	if b.maxFirstByteWait(now) > stallTimeout {
		c.cost += costStalled
	}
	return c, true
}

// reserve takes a place on a server.
func (d *Dispatcher) reserve(b *backend, ask *SlotRequest, now time.Time) *Reservation {
	version, _ := b.version(now)
	place := &Reservation{
		Server: b.server, Incarnation: b.incarnation, Version: version, dispatcher: d, backend: b, reservedAt: now, prefill: ask.Prefill,
		prefillAhead: d.load(b, now).Prefill, suspect: ask.Suspect,
	}
	if ask.Suspect {
		b.suspects++
	}
	place.takeToken(now)
	d.awaiting[place] = struct{}{}
	d.changes++
	d.capacity.free--
	b.ownLoad.Requests++
	b.ownLoad.Prefill += ask.Prefill
	b.awaiting[place] = now
	return place
}

// maxRequests is how many requests a server may have before another one is sent
// there. One that is late already leaves places to those that are not.
func (d *Dispatcher) maxRequests(ask *SlotRequest, limit int, now time.Time) int {
	if ask.isLate(now) {
		return max(1, int(lateShare*float64(limit)))
	}
	return limit
}

// maxPrefill is how much a server may have to read before a request is sent there:
// what still lets the answer begin in time. One that is late already leaves half of what
// those usually have to spare who are in time.
func (d *Dispatcher) maxPrefill(ask *SlotRequest, now time.Time) time.Duration {
	if left := ask.startBy.Sub(now); left >= 0 {
		return left
	}
	return max(0, d.slack-ask.Prefill) / 2
}

// grant gives free places to those who wait: first to those who can still be
// answered in time, then to the others. Freed is as for choose.
func (d *Dispatcher) grant(freed *backend, now time.Time) {
	for _, late := range []bool{false, true} {
		for i := 0; i < len(d.queue); {
			w := d.queue[i]
			if w.req.isLate(now) != late {
				i++
				continue
			}
			place := d.choose(w.req, freed, now)
			if place == nil {
				if len(w.req.Tried) == 0 && !w.req.Suspect {
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
			w.onGranted(place)
		}
	}
}
