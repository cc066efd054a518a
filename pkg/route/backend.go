package route

import (
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// serverStatusMaxAge is how long an agent's status counts.
	serverStatusMaxAge = 1200 * time.Millisecond
	// outdatedStatusMaxAge is after how long without a status a server with older weights is
	// left alone while newer ones come: what is sent to it may arrive, or begin,
	// after they may no longer. An agent speaks twice as often.
	outdatedStatusMaxAge = 800 * time.Millisecond
	// stallTimeout is after how long without the beginning of an answer a server is
	// taken to stand still; answers of a full batch begin within half of it.
	stallTimeout = 700 * time.Millisecond
	// swapStatusMaxAge is how long a server is left alone whose agent ended while new
	// weights were taken; the list tells of them by then.
	swapStatusMaxAge = 5 * time.Second
	// responsiveTTFB is within which time a server must have begun its last answer, at
	// most responsiveMaxAge ago, to start requests shortly before its weights are barred.
	responsiveTTFB   = 400 * time.Millisecond
	responsiveMaxAge = time.Second
	// unclaimedSmoothing is the weight of the newest report in the mean of what a server has
	// in flight beyond what the entry boxes claim. Reports come twice a second or so.
	unclaimedSmoothing = 0.5
)

// The parts of a server's cost beside the share of its places that are taken.
const (
	// prefillScale is the time of reading prompts that costs as much as a full
	// server: an answer begins only once the prompts before it are read.
	prefillScale = 800 * time.Millisecond
	// costRemote is for a server of another region: each answer crosses a priced link, and what
	// the boxes there send to it is heard later than what those of the own region do.
	costRemote = 0.4
	// costStalled is for a server that seems to stand still: any other goes first.
	costStalled = 2.0
	// costSwap is for a server that is swapped before the answer would have ended:
	// the answer has to go on elsewhere then.
	costSwap = 0.6
	// costFailures is for a server all of whose answers fail.
	costFailures = 4.0
)

// UpdateServerState is what an agent tells of the backend server on its box.
type ServerState struct {
	// Incarnation is which start of the server the agent speaks of; 0 if it does not say.
	Incarnation member.Incarnation
	// Version is the whole version that is loaded; 0 if there is none.
	Version fleet.WeightsVersion
	// Swapping is set while the server takes nothing new.
	Swapping bool
	// SwapAt is when the server is to be swapped; zero if that is not known.
	SwapAt  time.Time
	Running int
	Waiting int
	// Slowdown is above 1 when the server is slow.
	Slowdown float64
	// Silent is set when the agent fell silent: the box stands still or can't be
	// reached, and the server with it. An agent that has ended is not silent.
	Silent bool
}

// backend is one server of a service as seen from this box.
type backend struct {
	server fleet.Server
	// incarnation is the latest start of the server that the list or its agent has told.
	incarnation member.Incarnation
	remote      bool
	// listedVersion is the version that the list gives.
	listedVersion fleet.WeightsVersion

	state   ServerState
	stateAt time.Time
	// ineligibleSince is when the server was first seen to take nothing; zero while it does.
	ineligibleSince time.Time
	// swapStart is when the server was last heard to be taken out of service.
	swapStart time.Time

	ownLoad ServerLoad
	// suspects is how many requests of this box are there under which another server has ended.
	suspects int
	// unclaimed is how many requests the server has in flight, in the mean, that no entry box
	// claims which this one hears: of boxes that are cut off from it, or were killed.
	unclaimed   float64
	failureRate float64

	// takenInRound is how many of the server's free places this box took in claimRound.
	takenInRound int
	round        int64

	ejectedUntil time.Time
	ejections    int
	// backoffUntil is until when the server wants nothing from this box; tested is unset from when it asked for rest
	// until it has answered again.
	backoffUntil time.Time
	recovered    bool
	// replaced is set when the server was left alone because it had other weights
	// than were asked for, or another id.
	replaced bool

	// lastTTFB is how long the last answer here took to begin, lastStartedAt when it
	// did.
	lastTTFB      time.Duration
	lastStartedAt time.Time
	// awaiting are when the requests were sent whose answers have not begun.
	awaiting map[*Reservation]time.Time
}

// newBackend returns a server of which nothing is known but which start of it this is.
func newBackend(incarnation member.Incarnation) *backend {
	return &backend{incarnation: incarnation, recovered: true, awaiting: make(map[*Reservation]time.Time)}
}

// updateListedVersion takes what the list tells of the server's weights, unless it tells of an earlier start.
func (b *backend) updateListedVersion(server *fleet.Server, layers int) {
	b.listedVersion = 0
	if server.Incarnation < b.incarnation && server.Incarnation != 0 {
		return
	}
	for i := range server.Models {
		if version, whole := server.Models[i].CompleteVersion(layers); whole {
			b.listedVersion = version
		}
	}
}

// maxFirstByteWait returns for how long an answer has been waited for to begin; 0 if
// none is.
func (b *backend) maxFirstByteWait(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, since := range b.awaiting {
		oldest = max(oldest, now.Sub(since))
	}
	return oldest
}

// isResponsive reports whether the server was seen to start requests at once.
func (b *backend) isResponsive(now time.Time) bool {
	return now.Sub(b.lastStartedAt) < responsiveMaxAge && b.lastTTFB < responsiveTTFB && b.maxFirstByteWait(now) < responsiveTTFB
}

// version returns the whole version that the server has, by the newest word.
func (b *backend) version(now time.Time) (version fleet.WeightsVersion, swapping bool) {
	if now.Sub(b.stateAt) < serverStatusMaxAge {
		return b.state.Version, b.state.Swapping
	}
	return b.listedVersion, b.state.Swapping && now.Sub(b.stateAt) < swapStatusMaxAge
}

// slots is how many requests a server is given at once.
func (d *Dispatcher) slots(b *backend) int { return max(1, b.server.Slots) }

// anyEligible reports whether some server could run a request if it had room.
func (d *Dispatcher) anyEligible(now time.Time) bool {
	return slices.ContainsFunc(d.backendList, func(b *backend) bool { return d.isEligible(b, now) })
}

// isEligible reports whether a server can run requests at all.
func (d *Dispatcher) isEligible(b *backend, now time.Time) bool {
	if now.Before(b.ejectedUntil) || b.state.Silent || b.isBackingOff(now) {
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
	return version >= d.preferred || b.isResponsive(now)
}

// isSwapping reports whether a server is about to have newer weights.
func (d *Dispatcher) isSwapping(b *backend, now time.Time) bool {
	_, swapping := b.version(now)
	return d.needsWeights && swapping && !b.state.Silent
}

// updateUnclaimed compares what a server has in flight with what the entry boxes claim.
func (d *Dispatcher) updateUnclaimed(b *backend) {
	claimed := d.peerLoads.sums[b.server.ID].Requests + b.ownLoad.Requests
	b.unclaimed += unclaimedSmoothing * (float64(b.state.Running+b.state.Waiting-claimed) - b.unclaimed)
}

// Unclaimed returns how many requests the servers have in flight, by their agents' reports, that no entry box claims which
// this one hears. More than a few for long say that it does not know what others have in flight.
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

// load is what a server has in flight, as far as this box knows.
func (d *Dispatcher) load(b *backend, now time.Time) ServerLoad {
	load := d.peerLoads.sums[b.server.ID]
	load.Requests += b.ownLoad.Requests
	load.Prefill += b.ownLoad.Prefill
	if now.Sub(b.stateAt) < serverStatusMaxAge {
		load.Requests += max(0, int(b.unclaimed))
	}
	return load
}
