package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// holdSmoothing is the weight of the newest sample in the moving average of the time that a
	// request holds a slot.
	holdSmoothing = 0.05
	// ttfbSmoothing is the weight of the newest sample in the moving averages of the time to first
	// byte and its deviation. The average spans about as many responses as start at a box in one
	// second; with the weights of RFC 6298 it followed single responses.
	ttfbSmoothing = 1.0 / 16
	// failureSmoothing is the weight of the newest result in a server's failure rate.
	failureSmoothing = 0.15
	// serverEjectInitial and serverEjectMax are the first and the longest time for which an
	// unreachable server is ejected.
	serverEjectInitial = 500 * time.Millisecond
	serverEjectMax     = 4 * time.Second
	// replacedEjectTime is how long a server is ejected that turned out to differ from the listed
	// one. Well within this time its list entry is removed, or its agent reports other weights.
	replacedEjectTime = 3 * time.Second
)

// Reservation is a slot on a server that a request holds until it is released.
type Reservation struct {
	Server fleet.Server
	// Incarnation is the latest incarnation of the server known when the slot was reserved; 0 if
	// none was reported.
	Incarnation member.Incarnation
	// Version is the version of the server's weights; 0 if it runs no model.
	Version fleet.WeightsVersion

	dispatcher *Dispatcher
	backend    *backend
	reservedAt time.Time
	// prefill is the prefill time of the request, prefillAhead that of the requests before it.
	prefill      time.Duration
	prefillAhead time.Duration
	// cancel cancels the attempt; nil if it cannot be canceled.
	cancel func()
	// startedAt is when the response of this attempt started; zero before that.
	startedAt time.Time
	// suspect is set if another server exited while it ran the request.
	suspect bool
	// tokenRate is the rate of the token bucket when a token was last taken for this reservation; 0
	// if none was taken.
	tokenRate float64
}

// OnVersionCutoff sets the function that cancels the attempt if its response has not started when
// the version of its server passes the cutoff. A version published, or found to be older than
// assumed, after the request was sent can bring the cutoff forward. The function must not block or
// call the dispatcher.
func (r *Reservation) OnVersionCutoff(cancel func()) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.cancel = cancel
}

// Started records that the response has started.
func (r *Reservation) Started(now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, awaited := r.backend.awaiting[r]; !awaited {
		return
	}
	r.startedAt = now
	r.clearAwaiting()
	r.backend.updateRecovered(r)
	d.endSilence(r.backend, now)
	r.backend.lastTTFB, r.backend.lastStartedAt = now.Sub(r.reservedAt), now
	sample := max(0, now.Sub(r.reservedAt)-r.prefill-r.prefillAhead)
	d.ttfbDeviation += time.Duration(ttfbSmoothing * float64((sample-d.ttfb).Abs()-d.ttfbDeviation))
	d.ttfb += time.Duration(ttfbSmoothing * float64(sample-d.ttfb))
	d.grant(nil, now)
}

// Result is the result of an attempt.
type Result int

// The results of an attempt.
const (
	// ResultDone is a complete response.
	ResultDone Result = iota
	// ResultFailed is a response that failed or was truncated.
	ResultFailed
	// ResultRefused is a refusal by a server that did not run the request.
	ResultRefused
	// ResultUnreachable is a failure to connect to the server.
	ResultUnreachable
	// ResultReplaced is a server whose address now belongs to another one, or whose weights are not
	// the requested ones.
	ResultReplaced
	// ResultAbandoned is an attempt whose caller disconnected.
	ResultAbandoned
	// ResultServerExited is an attempt whose server exited during it.
	ResultServerExited
	// ResultSilent is an attempt whose server was silent until another attempt delivered. Other
	// servers are preferred to it as to one that fails, as it may stay silent for good.
	ResultSilent
)

// Release releases the slot and records the result of the attempt.
func (r *Reservation) Release(result Result, now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	b := r.backend
	switch result {
	case ResultDone:
		b.updateRecovered(r)
		d.endSilence(b, now)
		b.failureRate *= 1 - failureSmoothing
		b.doneSinceReport++
		b.ejections = 0
		d.typicalHoldTime += time.Duration(holdSmoothing * float64(now.Sub(r.reservedAt)-d.typicalHoldTime))
	case ResultFailed, ResultSilent:
		b.failureRate += failureSmoothing * (1 - b.failureRate)
	case ResultRefused:
		// The server had less free capacity than assumed; it is ejected until a few of its requests
		// have ended.
		b.ejectedUntil = now.Add(d.typicalHoldTime / time.Duration(2*d.slots(b)))
	case ResultUnreachable:
		// Attempts from before the last ejection failed in the same period without a connection. They show no more than
		// the first one, so they do not extend its ejection.
		if r.reservedAt.After(b.ejectedAt) {
			b.eject(now)
		}
	case ResultServerExited:
		b.eject(now)
	case ResultReplaced:
		// Other weights that the agent has reported since are more recent than this result.
		if version, _ := b.version(now); version == r.Version {
			b.replaced, b.ejectedUntil = true, now.Add(replacedEjectTime)
		}
	case ResultAbandoned:
	}
	d.release(r, now)
}

// endSilence makes a server eligible that has responded although its agent is silent: the agent alone is paused or
// unreachable. As its status is outdated, the server counts as having the listed weights.
func (d *Dispatcher) endSilence(b *backend, now time.Time) {
	if !b.state.Silent {
		return
	}
	b.state, b.stateAt = ServerState{Incarnation: b.state.Incarnation}, now.Add(-serverStatusMaxAge)
	d.forecast = forecast{}
	d.changes++
	d.updateIneligibleSince(b, now)
}

// eject excludes an unreachable server for a time that doubles with each ejection until a response is complete.
func (b *backend) eject(now time.Time) {
	b.ejectedAt, b.ejectedUntil = now, now.Add(min(serverEjectMax, serverEjectInitial<<min(b.ejections, 8)))
	b.ejections++
}

func (d *Dispatcher) release(r *Reservation, now time.Time) {
	r.clearAwaiting()
	r.backend.ownLoad.Requests--
	if r.suspect {
		r.backend.suspects--
	}
	d.changes++
	d.capacity.free++
	freed := r.backend
	if d.backends[r.Server.ID] != freed {
		// The server or this incarnation is no longer listed.
		freed = nil
	}
	d.grant(freed, now)
}

// clearAwaiting removes the reservation from those that await a first byte, and its prefill from
// the load.
func (r *Reservation) clearAwaiting() {
	if _, awaited := r.backend.awaiting[r]; awaited {
		delete(r.backend.awaiting, r)
		delete(r.dispatcher.awaiting, r)
		r.backend.ownLoad.Prefill -= r.prefill
	}
}

// resultNames are the names of results in logs and metrics.
var resultNames = map[Result]string{
	ResultDone: "done", ResultFailed: "failed", ResultRefused: "refused",
	ResultUnreachable: "unreachable", ResultReplaced: "replaced", ResultAbandoned: "abandoned", ResultServerExited: "server-ended",
	ResultSilent: "silent",
}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// HeldFor returns how long the slot has been held.
func (r *Reservation) HeldFor(now time.Time) time.Duration { return now.Sub(r.reservedAt) }

// RespondingFor returns how long ago the response started; 0 if it has not started.
func (r *Reservation) RespondingFor(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return 0
	}
	return now.Sub(r.startedAt)
}

// ServerIncarnation returns the incarnation of the server that the slot is on.
func (r *Reservation) ServerIncarnation() ServerIncarnation {
	return ServerIncarnation{Server: r.Server.ID, Incarnation: r.Incarnation}
}

// IsListed reports whether the platform still lists the server. A server that leaves without an
// announcement is first removed from the list.
func (r *Reservation) IsListed() bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.dispatcher.backends[r.Server.ID] != nil
}

// ReservedAt returns when the slot was reserved.
func (r *Reservation) ReservedAt() time.Time { return r.reservedAt }
