package route

import (
	"math"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// serverStatusMaxAge is the maximum age of the status that an agent reported.
	serverStatusMaxAge = 1200 * time.Millisecond
	// outdatedStatusMaxAge is the maximum age of the status of a server whose version is older than
	// the newest. Without a newer status, a request sent to it might arrive or start after the
	// cutoff of its version. An agent reports twice within this time.
	outdatedStatusMaxAge = 800 * time.Millisecond
	// stallTimeout is how long a server may take to start a response before it counts as stalled.
	// Responses in a full batch start within half of it.
	stallTimeout = 700 * time.Millisecond
	// swapStatusMaxAge is how long a server gets no requests if its agent exits during a weight
	// swap. By then the list has the new version.
	swapStatusMaxAge = 5 * time.Second
	// responsiveTTFB is the longest time to first byte, and responsiveMaxAge the longest time since
	// the last response started, of a server that may still start requests shortly before the
	// cutoff of its version.
	responsiveTTFB   = 400 * time.Millisecond
	responsiveMaxAge = time.Second
	// slowServer is the slowdown from which a server counts as slow. Normal load varies it by less.
	slowServer = 1.5
	// unclaimedSmoothing is the weight of the newest report in the moving average of the unclaimed
	// requests of a server. Reports arrive about twice a second.
	unclaimedSmoothing = 0.5
)

// The components of a server's cost in addition to the share of its slots that are in use.
const (
	// prefillScale is the outstanding prefill time that costs as much as a full server: a response
	// starts only after the prefill of the prompts before it.
	prefillScale = 800 * time.Millisecond
	// costRemote is the cost of a server in another region: each response crosses a link whose
	// traffic is billed, and load reports from boxes in other regions arrive later.
	costRemote = 0.4
	// costStalled is the cost of a server that seems stalled: every other server precedes it.
	costStalled = 2.0
	// costCold is the cost of a cold server, which runs requests more slowly than others.
	costCold = 0.3
	// costSwap is the cost of a server whose weight swap comes before the expected end of the
	// response, which then has to continue on another server.
	costSwap = 0.6
	// costFailures is the cost of a server with a failure rate of 1.
	costFailures = 4.0
)

// ServerState is the state of a backend server as the agent on its box reports it.
type ServerState struct {
	// Incarnation is the incarnation of the server that the report is about; 0 if it is not
	// reported.
	Incarnation member.Incarnation
	// Version is the complete version that is loaded; 0 if there is none.
	Version fleet.WeightsVersion
	// Swapping is set while the server accepts no requests because of a weight swap.
	Swapping bool
	// SwapAt is when the next weight swap of the server is planned; zero if that is not known.
	SwapAt  time.Time
	Running int
	Waiting int
	// Slowdown is above 1 when the server is slow.
	Slowdown float64
	// Silent is set when the agent stopped reporting without an announcement: its box is probably
	// stalled or unreachable, and so is the server until it responds. It is not set for an agent that
	// exited.
	Silent bool
}

// backend is the state of one server of a service as this box knows it.
type backend struct {
	server fleet.Server
	// incarnation is the latest incarnation of the server that the list or its agent has reported.
	incarnation member.Incarnation
	remote      bool
	region      member.Region
	// listedVersion is the complete version according to the list; 0 if there is none.
	listedVersion fleet.WeightsVersion

	state   ServerState
	stateAt time.Time
	// ineligibleSince is when the server was first found unable to run requests; zero while it is
	// eligible.
	ineligibleSince time.Time
	// swapStart is when the start of the last weight swap was reported.
	swapStart time.Time

	ownLoad ServerLoad
	// reportedRequests is the number of requests of this box in its last load report, doneSinceReport the
	// number of its complete responses since then.
	reportedRequests, doneSinceReport int
	// suspects is the number of suspect requests of this box at the server.
	suspects int
	// unclaimed is the moving average of the requests in flight at the server that no known entry
	// box claims: those of boxes that were killed or cannot reach this one.
	unclaimed   float64
	failureRate float64

	// takenInRound is how many of the server's free slots this box took in round.
	takenInRound int
	round        int64

	// ejectedAt is when the server was last ejected because it was unreachable, ejections how often since its last
	// complete response. ejectedUntil is the end of an ejection for any reason.
	ejectedAt    time.Time
	ejectedUntil time.Time
	ejections    int
	// backoffUntil is the end of the backoff that the server requested from this box. recovered is
	// false from that request until the server has responded again.
	backoffUntil time.Time
	recovered    bool
	// replaced is set if the server was ejected because its weights or its ID differed from those
	// requested.
	replaced bool

	// lastTTFB is the time to first byte of the last response to this box, lastStartedAt when that
	// response started.
	lastTTFB      time.Duration
	lastStartedAt time.Time
	// awaiting maps each reservation whose response has not started to the time at which it was
	// made.
	awaiting map[*Reservation]time.Time
}

// newBackend returns a backend of which only the incarnation is known.
func newBackend(incarnation member.Incarnation) *backend {
	return &backend{incarnation: incarnation, recovered: true, awaiting: make(map[*Reservation]time.Time)}
}

// updateListedVersion sets the listed version, unless the list entry is about an earlier
// incarnation.
func (b *backend) updateListedVersion(server *fleet.Server, layers int) {
	b.listedVersion = 0
	if server.Incarnation < b.incarnation && server.Incarnation != 0 {
		return
	}
	for i := range server.Models {
		if version, complete := server.Models[i].CompleteVersion(layers); complete {
			b.listedVersion = version
		}
	}
}

// maxFirstByteWait returns the longest time that a request has been awaiting its first byte; 0 if
// there is none.
func (b *backend) maxFirstByteWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, since := range b.awaiting {
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// isResponsive reports whether the server starts requests without delay, by the requests of this box or by the report of
// its agent.
func (d *Dispatcher) isResponsive(b *backend, now time.Time) bool {
	if b.maxFirstByteWait(now) >= responsiveTTFB {
		return false
	}
	return now.Sub(b.lastStartedAt) < responsiveMaxAge && b.lastTTFB < responsiveTTFB || d.isReportedResponsive(b, now)
}

// isReportedResponsive reports whether a server has no queue and is not slow by the recent report of its agent, while
// servers of the service start requests without delay. A large fleet has many boxes and servers, and most boxes have
// sent nothing to most servers in the last second.
func (d *Dispatcher) isReportedResponsive(b *backend, now time.Time) bool {
	return now.Sub(b.stateAt) < outdatedStatusMaxAge && b.state.Waiting == 0 && b.state.Slowdown < slowServer && d.ttfb+d.ttfbDeviation < responsiveTTFB
}

// version returns the complete version that the server has, and whether a swap is in progress, from
// the agent's status or, if that is too old, from the list.
func (b *backend) version(now time.Time) (version fleet.WeightsVersion, swapping bool) {
	if now.Sub(b.stateAt) < serverStatusMaxAge {
		return b.state.Version, b.state.Swapping
	}
	return b.listedVersion, b.state.Swapping && now.Sub(b.stateAt) < swapStatusMaxAge
}

// slots returns the number of requests that a server runs concurrently.
func (d *Dispatcher) slots(b *backend) int { return max(1, b.server.Slots) }

// anyEligible reports whether any server in the allowed regions of a request could run it if it had a free slot.
func (d *Dispatcher) anyEligible(req *SlotRequest, now time.Time) bool {
	return slices.ContainsFunc(d.backendList, func(b *backend) bool { return req.Residency.Allows(b.region) && d.isEligible(b, now) })
}

// hasServerFor reports whether the service has a server in the allowed regions of a request that is not evacuated,
// even if that server can run no requests at the moment.
func (d *Dispatcher) hasServerFor(req *SlotRequest) bool {
	return slices.ContainsFunc(d.backendList, func(b *backend) bool { return req.Residency.Allows(b.region) && !b.server.Evacuated })
}

// isEligible reports whether a server can run requests at all.
func (d *Dispatcher) isEligible(b *backend, now time.Time) bool {
	if b.server.Evacuated || now.Before(b.ejectedUntil) || b.state.Silent || b.isBackingOff(now) {
		return false
	}
	if !d.needsWeights {
		return true
	}
	version, swapping := b.version(now)
	if version < d.newest && !b.stateAt.IsZero() && now.Sub(b.stateAt) > outdatedStatusMaxAge {
		return false
	}
	if swapping || version == 0 || version < d.required {
		return false
	}
	return version >= d.preferred || d.isResponsive(b, now)
}

// isSwapping reports whether a weight swap of the server is in progress.
func (d *Dispatcher) isSwapping(b *backend, now time.Time) bool {
	_, swapping := b.version(now)
	return d.needsWeights && swapping && !b.state.Silent
}

// updateUnclaimed updates the average of the requests in flight at a server that no entry box
// claims.
func (d *Dispatcher) updateUnclaimed(b *backend) {
	claimed := d.peerLoads.sums[b.server.ID].Requests + b.ownLoad.Requests
	b.unclaimed += unclaimedSmoothing * (float64(b.state.Running+b.state.Waiting-claimed) - b.unclaimed)
}

// Unclaimed returns how many requests are in flight at the servers, according to their agents, that
// no known entry box claims. If it remains above a few, this box lacks the load reports of others.
func (d *Dispatcher) Unclaimed(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	unclaimed := 0.0
	for _, b := range d.backendList {
		if now.Sub(b.stateAt) < serverStatusMaxAge {
			unclaimed += max(0, b.unclaimed)
		}
	}
	return int(unclaimed)
}

// MisplacedSlots returns how many slots are idle while requests wait at other servers, according to their agents: the smaller
// of the two numbers. If it remains above a few, requests are distributed unevenly.
func (d *Dispatcher) MisplacedSlots(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misplacedSlots(now)
}

func (d *Dispatcher) misplacedSlots(now time.Time) int {
	idle, waiting := 0, 0
	for _, b := range d.backendList {
		if now.Sub(b.stateAt) >= serverStatusMaxAge || !d.isEligible(b, now) || d.buckets[b.server.ID] != nil {
			continue
		}
		// A request that waits for the next pass of a server with a free slot is not misplaced.
		free := d.slots(b) - b.state.Running - b.state.Waiting
		idle += max(0, free)
		waiting += max(0, -free)
	}
	return min(idle, waiting)
}

// load returns the requests in flight at a server, as far as this box knows.
func (d *Dispatcher) load(b *backend, now time.Time) ServerLoad {
	load := d.peerLoads.sums[b.server.ID]
	if retained := d.reportDelays(now).retained; retained < 1 {
		load.Requests = int(math.Round(retained * float64(load.Requests)))
	}
	load.Requests += b.ownLoad.Requests
	load.Prefill += b.ownLoad.Prefill
	if now.Sub(b.stateAt) < serverStatusMaxAge {
		load.Requests += max(0, int(b.unclaimed))
	}
	return load
}
