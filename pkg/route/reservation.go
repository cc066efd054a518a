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
	// firstSmoothing is the weight of the newest time in the mean time in which an answer
	// begins, and in its mean deviation. A box sees about as many answers begin in a
	// second as the mean reaches back; with the weights of RFC 6298 it followed single ones.
	firstSmoothing = 1.0 / 16
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
	since      time.Time
	// reading is how long the server takes to read the request, readAhead what it has
	// to read before.
	reading   time.Duration
	readAhead time.Duration
	// giveUp ends the attempt; nil if it goes on in any case.
	giveUp func()
	// startedAt is when the answer began; zero before that. It belongs to the attempt.
	startedAt time.Time
	// suspect is set for a request under which another server has ended.
	suspect bool
	// tokenRate is the rate of the token bucket when a token was last taken for this reservation; 0 if none was taken.
	tokenRate float64
}

// OnBarred sets what ends the attempt if its answer has not begun when the weights of its server
// no longer may begin any, by what is known then: a version may be named, or heard to be older than
// was thought, after the request was sent. It must not block, nor call the dispatcher.
func (r *Reservation) OnBarred(giveUp func()) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.giveUp = giveUp
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
	r.begun()
	r.backend.answered(r)
	r.backend.startTime, r.backend.startedAt = now.Sub(r.since), now
	sample := max(0, now.Sub(r.since)-r.reading-r.readAhead)
	d.deviation += time.Duration(firstSmoothing * float64((sample-d.first).Abs()-d.deviation))
	d.first += time.Duration(firstSmoothing * float64(sample-d.first))
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
	// ResultEnded is an attempt whose server ended meanwhile.
	ResultEnded
)

// Release gives the place back.
func (r *Reservation) Release(result Result, now time.Time) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	b := r.backend
	switch result {
	case ResultDone:
		b.answered(r)
		b.failures *= 1 - failureSmoothing
		b.ejections = 0
		d.usual += time.Duration(holdSmoothing * float64(now.Sub(r.since)-d.usual))
	case ResultFailed:
		b.failures += failureSmoothing * (1 - b.failures)
	case ResultRefused:
		// The server had less room than was thought; it is left alone until a few
		// of its requests have ended.
		b.ejectedTo = now.Add(d.usual / time.Duration(2*d.limit(b)))
	case ResultUnreachable, ResultEnded:
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
	r.begun()
	r.backend.own.Requests--
	if r.suspect {
		r.backend.suspects--
	}
	d.changes++
	d.census.free++
	freed := r.backend
	if d.backends[r.Server.ID] != freed {
		// The server is no longer listed.
		freed = nil
	}
	d.grant(freed, now)
}

// begun notes that the server no longer reads the request.
func (r *Reservation) begun() {
	if _, awaited := r.backend.awaiting[r]; awaited {
		delete(r.backend.awaiting, r)
		delete(r.dispatcher.unbegun, r)
		r.backend.own.Reading -= r.reading
	}
}

// resultNames are the names of results in logs and metrics.
var resultNames = map[Result]string{
	ResultDone: "done", ResultFailed: "failed", ResultRefused: "refused",
	ResultUnreachable: "unreachable", ResultReplaced: "replaced", ResultAbandoned: "abandoned", ResultEnded: "server-ended",
}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// Held returns for how long the place has been held.
func (r *Reservation) Held(now time.Time) time.Duration { return now.Sub(r.since) }

// Answering returns for how long the server has been giving its answer; 0 if it has not begun.
func (r *Reservation) Answering(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return 0
	}
	return now.Sub(r.startedAt)
}

// Start returns which start of the server the place is on.
func (r *Reservation) Start() ServerStart {
	return ServerStart{Server: r.Server.ID, Incarnation: r.Incarnation}
}

// IsListed reports whether the platform still lists the server. One that leaves without a word is taken off the list first.
func (r *Reservation) IsListed() bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.dispatcher.backends[r.Server.ID] != nil
}

// Since returns when the place was had.
func (r *Reservation) Since() time.Time { return r.since }
