package route

import (
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

const (
	// holdSmoothing is the weight of the newest time in the mean time that a
	// request holds a place.
	holdSmoothing = 0.05
	// ttfbSmoothing is the weight of the newest time in the mean time in which an answer
	// begins, and in its mean deviation. A box sees about as many answers begin in a
	// second as the mean reaches back; with the weights of RFC 6298 it followed single ones.
	ttfbSmoothing = 1.0 / 16
	// failureSmoothing is the weight of the newest result in a server's share of
	// failures.
	failureSmoothing = 0.15
	// serverEjectInitial and serverEjectMax bound how long a server that could not be
	// reached is left alone.
	serverEjectInitial = 500 * time.Millisecond
	serverEjectMax     = 4 * time.Second
	// replacedEjectTime is how long a server is left alone that is no longer the one
	// listed. Its entry goes, or its agent tells of other weights, well within it.
	replacedEjectTime = 3 * time.Second
)

// Reservation is a place on a server that a request holds until it is released.
type Reservation struct {
	Server fleet.Server
	// Incarnation is the latest start of the server that was known when the place was had; 0 if none was told.
	Incarnation member.Incarnation
	// Version is the version of the weights that the server has; 0 if it runs no
	// model.
	Version fleet.WeightsVersion

	dispatcher *Dispatcher
	backend    *backend
	reservedAt time.Time
	// prefill is how long the server takes to read the request, prefillAhead what it has
	// to read before.
	prefill      time.Duration
	prefillAhead time.Duration
	// cancel ends the attempt; nil if it goes on in any case.
	cancel func()
	// lastStartedAt is when the answer began; zero before that. It belongs to the attempt.
	startedAt time.Time
	// suspect is set for a request under which another server has ended.
	suspect bool
	// tokenRate is the rate of the token bucket when a token was last taken for this reservation; 0 if none was taken.
	tokenRate float64
}

// OnVersionCutoff sets what ends the attempt if its answer has not begun when the weights of its server
// no longer may begin any, by what is known then: a version may be named, or heard to be older than
// was thought, after the request was sent. It must not block, nor call the dispatcher.
func (r *Reservation) OnVersionCutoff(giveUp func()) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.cancel = giveUp
}

// Started notes that the answer has begun.
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
	r.backend.lastTTFB, r.backend.lastStartedAt = now.Sub(r.reservedAt), now
	sample := max(0, now.Sub(r.reservedAt)-r.prefill-r.prefillAhead)
	d.ttfbDeviation += time.Duration(ttfbSmoothing * float64((sample-d.ttfb).Abs()-d.ttfbDeviation))
	d.ttfb += time.Duration(ttfbSmoothing * float64(sample-d.ttfb))
	d.grant(nil, now)
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
	// ResultServerExited is an attempt whose server ended meanwhile.
	ResultServerExited
)

// Release gives the place back.
func (r *Reservation) Release(result Result, now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	b := r.backend
	switch result {
	case ResultDone:
		b.updateRecovered(r)
		b.failureRate *= 1 - failureSmoothing
		b.ejections = 0
		d.typicalHoldTime += time.Duration(holdSmoothing * float64(now.Sub(r.reservedAt)-d.typicalHoldTime))
	case ResultFailed:
		b.failureRate += failureSmoothing * (1 - b.failureRate)
	case ResultRefused:
		// The server had less room than was thought; it is left alone until a few
		// of its requests have ended.
		b.ejectedUntil = now.Add(d.typicalHoldTime / time.Duration(2*d.slots(b)))
	case ResultUnreachable, ResultServerExited:
		b.ejectedUntil = now.Add(min(serverEjectMax, serverEjectInitial<<min(b.ejections, 8)))
		b.ejections++
	case ResultReplaced:
		// An agent that has told of other weights meanwhile knows better.
		if version, _ := b.version(now); version == r.Version {
			b.replaced, b.ejectedUntil = true, now.Add(replacedEjectTime)
		}
	case ResultAbandoned:
	}
	d.release(r, now)
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
		// The server is no longer listed.
		freed = nil
	}
	d.grant(freed, now)
}

// clearAwaiting notes that the server no longer reads the request.
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
}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// HeldFor returns for how long the place has been held.
func (r *Reservation) HeldFor(now time.Time) time.Duration { return now.Sub(r.reservedAt) }

// RespondingFor returns for how long the server has been giving its answer; 0 if it has not begun.
func (r *Reservation) RespondingFor(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return 0
	}
	return now.Sub(r.startedAt)
}

// ServerIncarnation returns which start of the server the place is on.
func (r *Reservation) ServerIncarnation() ServerIncarnation {
	return ServerIncarnation{Server: r.Server.ID, Incarnation: r.Incarnation}
}

// IsListed reports whether the platform still lists the server. One that leaves without a word is taken off the list first.
func (r *Reservation) IsListed() bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.dispatcher.backends[r.Server.ID] != nil
}

// ReservedAt returns when the place was had.
func (r *Reservation) ReservedAt() time.Time { return r.reservedAt }
