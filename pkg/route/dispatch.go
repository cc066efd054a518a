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

// ErrNoServer reports that a service has no backend server that can run the request.
var ErrNoServer = errors.New("no backend server can run the request")

// lateShare is the share of a server's slots that late requests may occupy.
const lateShare = 0.85

// SlotRequest is a request for a slot on a backend server.
type SlotRequest struct {
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Arrived is when the slot was requested.
	Arrived time.Time
	// Objective is when the first byte of the response is due, counted from the caller's first
	// attempt.
	Objective time.Time
	// Prefill is the time the server needs for the prefill of the request.
	Prefill time.Duration
	// HoldTime is how long the request is expected to hold its slot.
	HoldTime time.Duration
	Deadline time.Time
	// CallerTimeout is how long the caller waits for the first byte; 0 if it waits until its
	// deadline.
	CallerTimeout time.Duration
	// Retry is set if the caller's request was rejected before.
	Retry bool
	// Resuming is set if the response has started and continues on another server.
	Resuming bool
	// Tried are the servers that the request was already sent to.
	Tried []fleet.ServerID
	// NoWait is set if the request must not be queued.
	NoWait bool
	// Residency limits the regions of the servers that the request may be sent to.
	Residency fleet.Residency
	// Suspect is set if a server exited while it ran the request. No two such requests run on one
	// server at the same time, so that another exit identifies the request that caused it.
	Suspect bool

	// startBy is the latest start with which the request can meet its objective.
	startBy time.Time
	// queued is set while the request is in the queue.
	queued bool
}

// isConfined reports whether the request may be sent only to some of the servers.
func (r *SlotRequest) isConfined() bool {
	return len(r.Tried) > 0 || r.Suspect || r.Residency.Restricted
}

// isLate reports whether the request can no longer meet its objective.
func (r *SlotRequest) isLate(now time.Time) bool { return r.startBy.Before(now) }

// Dispatcher assigns the slots of one service's backend servers to requests. Several entry boxes
// assign the same slots concurrently and report their requests in flight to each other. It is safe
// for concurrent use.
type Dispatcher struct {
	mu          sync.Mutex
	backends    map[fleet.ServerID]*backend
	backendList []*backend
	// layers is the number of layers of the model that the servers run, 0 if it is not known.
	layers int
	// leaving are the listed servers that have announced that they will exit.
	leaving  map[fleet.ServerID]bool
	backoffs backoffs
	// buckets are the token buckets of the servers with a rate limit.
	buckets   map[fleet.ServerID]*tokenBucket
	peerLoads *peerLoads
	// boxes is the number of entry boxes that share the slots, allBoxes that number with those that may
	// run and be unreachable from this box.
	boxes, allBoxes int
	queue           []*QueuedRequest
	// arrivals counts the new requests at this box.
	arrivals rateMeter
	// peerDemands are the demands that the other entry boxes reported.
	peerDemands peerDemands
	// delays is the last estimate of reportDelays.
	delays reportDelays
	// typicalHoldTime is the moving average of the time that a request holds its slot.
	typicalHoldTime time.Duration
	// ttfb is the moving average of the time to first byte without prefill, ttfbDeviation that of
	// its absolute deviation.
	ttfb             time.Duration
	ttfbDeviation    time.Duration
	scheduledRetries scheduledRetries
	// slack is the moving average of the time that a new request can wait and still meet its
	// objective.
	slack time.Duration
	// swapTime is the moving average of the time that a server is out of service for a weight swap.
	swapTime time.Duration
	forecast forecast
	// required is the oldest version of the weights that may start a request.
	required fleet.WeightsVersion
	// preferred is the oldest version that may start a request on any server. Versions from
	// required up to preferred start requests only on servers that recently started some without
	// delay.
	preferred fleet.WeightsVersion
	newest    fleet.WeightsVersion
	// needsWeights is set for a service whose servers need weights to run requests.
	needsWeights bool
	random       func() float64
	// self is the ID of this box.
	self member.BoxID
	// regionOf returns the region of a failure domain.
	regionOf      func(member.FailureDomain) member.Region
	onLimitedSend func()
	// awaiting are the reservations of this box whose responses have not started, including those
	// on servers that are no longer listed.
	awaiting map[*Reservation]struct{}
	// changes counts the changes that may invalidate the capacity snapshot.
	changes  uint64
	capacity capacitySnapshot
	// candidates is the buffer of collectCandidates, reused to avoid allocations.
	candidates []candidate
}

// DispatcherOptions are the options of NewDispatcher.
type DispatcherOptions struct {
	// TypicalHoldTime and TTFB are the initial estimates of how long a request holds its slot and
	// of the time to first byte without prefill.
	TypicalHoldTime, TTFB time.Duration
	// NeedsWeights is set for a service whose servers need weights to run requests.
	NeedsWeights bool
	// Random returns random numbers in [0, 1); nil for math/rand/v2.
	Random func() float64
	// Box is the ID of this entry box, used to allocate slots among boxes.
	Box member.BoxID
	// RegionOf returns the region of a failure domain. If it is nil, each failure domain is a region of its own name.
	RegionOf func(member.FailureDomain) member.Region
	// OnLimitedSend is called when a request is sent to a server with a low rate limit, so that the
	// load can be reported to the other boxes without delay. It must not block or call the
	// dispatcher. It may be nil.
	OnLimitedSend func()
}

// NewDispatcher returns a dispatcher without servers.
func NewDispatcher(options DispatcherOptions) *Dispatcher {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.RegionOf == nil {
		options.RegionOf = func(domain member.FailureDomain) member.Region { return member.Region(domain) }
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
		allBoxes:        1,
		typicalHoldTime: options.TypicalHoldTime,
		ttfb:            options.TTFB,
		needsWeights:    options.NeedsWeights,
		random:          options.Random,
		self:            options.Box,
		regionOf:        options.RegionOf,

		onLimitedSend: options.OnLimitedSend,
		swapTime:      defaultSwapTime,
	}
}

// SetServers replaces the list of servers. The state of servers that remain listed is kept. The
// function isLocal reports whether a failure domain is in the region of this box.
func (d *Dispatcher) SetServers(servers []fleet.Server, layers int, isLocal func(member.FailureDomain) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.layers = layers
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
		b.server, b.remote, b.region = server, !isLocal(server.Domain), d.regionOf(server.Domain)
		d.refreshListed(b, now)
		next[server.ID] = b
		d.backendList = append(d.backendList, b)
	}
	d.backends = next
	d.dropUnlistedBuckets()
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
	d.grant(nil, now)
}

// RefreshServers has the effect of SetServers with the same servers as at its last call, at less cost.
func (d *Dispatcher) RefreshServers(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backendList {
		d.refreshListed(b, now)
	}
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
	d.grant(nil, now)
}

// refreshListed updates what the dispatcher derives from the entry of a server.
func (d *Dispatcher) refreshListed(b *backend, now time.Time) {
	d.setLimit(&b.server, now)
	b.updateListedVersion(&b.server, d.layers)
	d.updateIneligibleSince(b, now)
}

// SetBoxCount sets how many entry boxes share the slots: the live ones, which report their load to
// this box, and all, which includes those that may send requests and be unreachable from here.
// Limits of cold servers change with the next call of SetServers or RefreshServers.
func (d *Dispatcher) SetBoxCount(live, all int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boxes = max(1, live)
	d.allBoxes = max(d.boxes, all)
}

// VersionRequirements are the versions of the weights that may start requests.
type VersionRequirements struct {
	// Required is the oldest version that may start a request.
	Required fleet.WeightsVersion
	// Preferred is the oldest version that may start a request on a server that does not respond
	// quickly.
	Preferred fleet.WeightsVersion
	// RequiredInFlight is the oldest version on which the response to a request already sent may
	// still start.
	RequiredInFlight fleet.WeightsVersion
	// Newest is the version that all servers are to load.
	Newest fleet.WeightsVersion
}

// RequireVersions sets which versions may start requests, and cancels the requests on older
// versions whose responses have not started.
func (d *Dispatcher) RequireVersions(versions VersionRequirements, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes++
	changed := d.required != versions.Required
	// Only a service whose servers need weights has versions. A service may begin to use weights at
	// any time.
	d.needsWeights = true
	d.required, d.preferred, d.newest = versions.Required, versions.Preferred, versions.Newest
	d.cancelOlder(versions.RequiredInFlight)
	if changed {
		d.grant(nil, now)
	}
}

// cancelOlder cancels the requests on versions older than minVersion whose responses have not
// started.
func (d *Dispatcher) cancelOlder(minVersion fleet.WeightsVersion) {
	for reservation := range d.awaiting {
		if reservation.Version < minVersion && reservation.cancel != nil {
			reservation.cancel()
		}
	}
}

// UpdateServer records the state of a server as its agent reported it.
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

// currentBackend returns the backend with the incarnation that an agent reports. It returns nil if
// there is no such server or the report is about an earlier incarnation. A later incarnation
// replaces the known one and discards its weights, swaps, failures and requests in flight.
func (d *Dispatcher) currentBackend(id fleet.ServerID, incarnation member.Incarnation, now time.Time) *backend {
	b := d.backends[id]
	switch {
	case b == nil || incarnation == 0 || incarnation == b.incarnation:
		return b
	case incarnation < b.incarnation:
		return nil
	case b.incarnation == 0:
		// The list does not report incarnations, so this report does not indicate a restart.
		b.incarnation = incarnation
		return b
	}
	next := d.newBackend(id, incarnation, now)
	next.server, next.remote, next.region = b.server, b.remote, b.region
	d.backends[id] = next
	d.backendList[slices.Index(d.backendList, b)] = next
	d.forecast, d.capacity = forecast{}, capacitySnapshot{}
	return next
}

// updateIneligibleSince records since when a server cannot run requests.
func (d *Dispatcher) updateIneligibleSince(b *backend, now time.Time) {
	switch {
	case d.isEligible(b, now):
		b.ineligibleSince = time.Time{}
	case b.ineligibleSince.IsZero():
		b.ineligibleSince = now
	}
}

// updateSwapTime updates the moving average of the time that a weight swap takes.
func (d *Dispatcher) updateSwapTime(b *backend, state ServerState, now time.Time) {
	switch {
	case state.Swapping && !b.state.Swapping:
		b.swapStart = now
	case !state.Swapping && b.state.Swapping && state.Version > b.state.Version:
		d.swapTime += time.Duration(swapSmoothing * float64(now.Sub(b.swapStart)-d.swapTime))
	}
}

// UpdatePeerLoad records the requests that another entry box has in flight. If full is set, the
// load covers all servers; otherwise it covers only those that changed.
func (d *Dispatcher) UpdatePeerLoad(box member.BoxID, load Load, full bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads.merge(box, load, full, now)
	d.mergePeerSent(box, load, now)
	d.changes++
	d.grant(nil, now)
}

// OwnLoad returns the requests that this box has in flight, for a report to the other entry boxes. Slots released from now
// on count as in use there until the next call.
func (d *Dispatcher) OwnLoad() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := make(Load)
	for _, b := range d.backendList {
		own := b.ownLoad
		b.reportedRequests, b.doneSinceReport = own.Requests, 0
		if bucket := d.buckets[b.server.ID]; bucket != nil {
			own.Sent = bucket.sent
		}
		if own.Requests > 0 || own.Sent > 0 {
			load[b.server.ID] = own
		}
	}
	return load
}

// QueueLen returns the number of queued requests.
func (d *Dispatcher) QueueLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue)
}

// choose reserves a slot for a request, or returns nil if there is none for it. If freed is not
// nil, this box has just released a slot on that server, and no other box knows yet that the slot
// is free.
func (d *Dispatcher) choose(req *SlotRequest, freed *backend, now time.Time) *Reservation {
	d.peerLoads.expire(now)
	contention, class := d.contention(now), req.class(now)
	if class == classLate && (contention.free <= contention.inTime || !d.hasLateSlot(now)) {
		return nil
	}
	if freed != nil && d.buckets[freed.server.ID] == nil {
		if c, ok := d.candidate(freed, req, now); ok {
			return d.reserve(c.backend, req, now)
		}
	}
	d.collectCandidates(req, now)
	if b := d.pickLimited(contention.round, now); b != nil {
		b.takenInRound++
		return d.reserve(b, req, now)
	}
	if b := d.pickReleased(now); b != nil {
		return d.reserve(b, req, now)
	}
	expected := contention.competitors(class) + 1
	scarce := contention.isScarce(class)
	d.keepOwnShare(contention.round, scarce, now)
	if scarce {
		expected = 1
	}
	b := pickBackend(d.candidates, expected, d.random())
	if b == nil {
		return nil
	}
	if b.round != contention.round {
		b.round, b.takenInRound = contention.round, 0
	}
	if d.releasedSlots(b) == 0 {
		b.takenInRound++
	}
	return d.reserve(b, req, now)
}

// keepOwnShare limits the candidates to the free slots that are allocated to this box: on all servers
// if slots are scarce, and otherwise on cold servers with a limit, as a cold server must not receive
// what all boxes have tokens for. Servers that advertise a rate limit are not affected.
func (d *Dispatcher) keepOwnShare(round int64, scarce bool, now time.Time) {
	if !scarce && len(d.buckets) == 0 {
		return
	}
	demand := d.demand(now)
	weight := demand.allocationWeight()
	kept := d.candidates[:0]
	for _, c := range d.candidates {
		isShared := d.buckets[c.backend.server.ID] != nil && c.backend.server.Cold
		if d.isRateLimited(c.backend) || !scarce && !isShared {
			kept = append(kept, c)
			continue
		}
		if share := d.remainingShare(c.backend, int(c.room), round, weight); share > 0 {
			c.room = float64(share)
			kept = append(kept, c)
		}
	}
	d.candidates = kept
}

// candidate returns the cost of sending a request to a server; ok is false if the request cannot be
// sent there.
func (d *Dispatcher) candidate(b *backend, req *SlotRequest, now time.Time) (c candidate, ok bool) {
	if !d.isEligible(b, now) || !req.Residency.Allows(b.region) || b.isProbing(now) || slices.Contains(req.Tried, b.server.ID) || req.Suspect && b.suspects > 0 {
		return candidate{}, false
	}
	load, slots := d.load(b, now), d.slots(b)
	maxRequests := d.maxRequests(req, slots, now)
	if load.Requests >= maxRequests || load.Prefill > d.maxPrefill(req, now) {
		return candidate{}, false
	}
	room := maxRequests - load.Requests
	if bucket := d.buckets[b.server.ID]; bucket != nil {
		if room = min(room, bucket.available(now)); room < 1 {
			return candidate{}, false
		}
	}
	c = candidate{
		backend: b, costPerRequest: 1 / float64(slots), room: float64(room),
		cost: float64(load.Requests)/float64(slots) + float64(load.Prefill)/float64(prefillScale),
	}
	c.cost += costFailures * b.failureRate
	if b.remote {
		c.cost += costRemote
	}
	if b.server.Cold {
		c.cost += costCold
	}
	if !b.state.SwapAt.IsZero() && now.Add(req.HoldTime).After(b.state.SwapAt) {
		c.cost += costSwap
	}
	if b.maxFirstByteWait(now) > stallTimeout {
		c.cost += costStalled
	}
	c.penalty = c.cost - float64(load.Requests)/float64(slots)
	return c, true
}

// reserve reserves a slot on a server.
func (d *Dispatcher) reserve(b *backend, req *SlotRequest, now time.Time) *Reservation {
	version, _ := b.version(now)
	reservation := &Reservation{
		Server: b.server, Incarnation: b.incarnation, Version: version, dispatcher: d, backend: b, reservedAt: now, prefill: req.Prefill,
		prefillAhead: d.load(b, now).Prefill, suspect: req.Suspect,
	}
	if req.Suspect {
		b.suspects++
	}
	reservation.takeToken(now)
	d.awaiting[reservation] = struct{}{}
	d.changes++
	d.capacity.free--
	b.ownLoad.Requests++
	b.ownLoad.Prefill += req.Prefill
	b.awaiting[reservation] = now
	return reservation
}

// maxRequests returns how many requests a server may have in flight after it accepts this one. Late
// requests leave some slots to those that are in time.
func (d *Dispatcher) maxRequests(req *SlotRequest, slots int, now time.Time) int {
	if req.isLate(now) {
		return max(1, int(lateShare*float64(slots)))
	}
	return slots
}

// maxPrefill returns how much outstanding prefill a server may have to accept a request. A request
// that is in time allows as much as still lets it meet its objective. The limit for a late one is
// half of what its own prefill leaves of the typical slack of new requests.
func (d *Dispatcher) maxPrefill(req *SlotRequest, now time.Time) time.Duration {
	if remaining := req.startBy.Sub(now); remaining >= 0 {
		return remaining
	}
	return max(0, d.slack-req.Prefill) / 2
}

// grant assigns free slots to queued requests, first to those that are in time, then to late ones.
// See choose for freed.
func (d *Dispatcher) grant(freed *backend, now time.Time) {
	for _, late := range []bool{false, true} {
		for i := 0; i < len(d.queue); {
			queued := d.queue[i]
			if queued.req.isLate(now) != late {
				i++
				continue
			}
			reservation := d.choose(queued.req, freed, now)
			if reservation == nil {
				if !queued.req.isConfined() {
					// The request could run on any server, so there is no slot for those behind it
					// either.
					return
				}
				i++
				continue
			}
			if reservation.backend == freed {
				freed = nil
			}
			d.dequeue(i)
			queued.onGranted(reservation)
		}
	}
}
