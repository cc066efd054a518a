package direct

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// answeringSafe is for how long a server must have been giving its answer for its end to have another cause.
	answeringSafe = 200 * time.Millisecond
	// probeTimeout bounds asking whether a server still listens. Its box says at once that nothing does; if the box says
	// nothing, more is at fault than the server.
	probeTimeout = 150 * time.Millisecond
	// probesKept is for how long it is kept that a start of a server has ended.
	probesKept = 10 * time.Second
)

// endProbes find out whether a server has ended when a connection to it breaks off. A broken connection alone does not
// tell: links reset them, and servers cut answers short. All attempts that break off at one moment share one question.
type endProbes struct {
	clock clockwork.Clock
	probe func(ctx context.Context, address member.Address) error

	mu      sync.Mutex
	byStart map[route.ServerIncarnation]*endProbe
}

// endProbe is one question. What became of it may be read once done is closed.
type endProbe struct {
	done  chan struct{}
	at    time.Time
	ended bool
}

func newEndProbes(clock clockwork.Clock, pool *upstream.Pool) *endProbes {
	return &endProbes{clock: clock, probe: pool.Probe, byStart: make(map[route.ServerIncarnation]*endProbe)}
}

// hasEnded reports whether nothing listens any more where a start of a server did to which something was sent at a time.
func (p *endProbes) hasEnded(start route.ServerIncarnation, address member.Address, sent time.Time) bool {
	asked, isNew := p.ask(start, sent)
	if !isNew {
		<-asked.done
		return asked.ended
	}
	defer close(asked.done)
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, probeTimeout)
	defer cancel()
	asked.ended = errors.Is(p.probe(ctx, address), syscall.ECONNREFUSED)
	if !asked.ended {
		// It lives, as far as is known, and may end later.
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.byStart[start] == asked {
			delete(p.byStart, start)
		}
	}
	return asked.ended
}

// ask returns the question that is asked about a start, and whether the caller is to ask it. What was asked before something
// was sent tells nothing of what became of that.
func (p *endProbes) ask(start route.ServerIncarnation, sent time.Time) (asked *endProbe, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byStart[start]; known != nil && !sent.After(known.at) {
		return known, false
	}
	now := p.clock.Now()
	for other, known := range p.byStart {
		if now.Sub(known.at) > probesKept {
			delete(p.byStart, other)
		}
	}
	asked = &endProbe{done: make(chan struct{}), at: now}
	p.byStart[start] = asked
	return asked, true
}

// isBreakOff reports whether a connection ended from the other side.
func isBreakOff(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errPartialEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return !isGivenUp(err)
		}
	}
	return false
}

// failed ends an attempt that may have run and got no whole answer.
func (f *Front) failed(x *exchange, place *route.Reservation, err error) {
	result := route.ResultFailed
	if isBreakOff(err) && f.serverEnded(x, place) {
		result = route.ResultServerExited
	}
	f.ended(x, place, result, err)
}

// serverEnded reports whether the server has ended whose connection broke off. If it did so as it began to run the
// request, which it had not announced, the request is suspect from then on.
func (f *Front) serverEnded(x *exchange, place *route.Reservation) bool {
	at := f.clock.Now()
	if place.IsLeaving() || !place.IsListed() {
		return false
	}
	ended := f.ends.hasEnded(place.ServerIncarnation(), place.Server.Address, place.ReservedAt())
	if place.RespondingFor(at) >= answeringSafe || f.answered.take(x, at) {
		return ended
	}
	seen := route.Evidence{Content: x.contentID(), Exited: f.suspects.IncarnationAt(place.ServerIncarnation(), place.ReservedAt()), At: at}
	if ended {
		f.suspects.See(seen, "request "+x.ID)
	} else {
		f.suspects.Broke(seen)
	}
	return ended
}

// ranWell notes that a server runs the request, or has run it, and lives.
func (f *Front) ranWell(x *exchange) {
	now := f.clock.Now()
	f.answered.note(x, now)
	if !f.suspects.Empty() {
		f.suspects.See(route.Evidence{Content: x.contentID(), At: now}, "request "+x.ID)
	}
}

// verdict is what may be done with a request now.
func (f *Front) verdict(x *exchange) route.Decision {
	if f.suspects.Empty() {
		return route.Decision{}
	}
	return f.suspects.Evaluate(x.contentID(), f.clock.Now())
}

// judge returns an error if the request must not be sent to any server. What other boxes have to say of the last
// server that ended under it is waited for: they may have sent the same.
func (f *Front) judge(ctx context.Context, x *exchange) error {
	verdict := f.verdict(x)
	if verdict.Suspect && !verdict.Blocked {
		if wait := verdict.SettlesAt.Sub(f.clock.Now()); wait > 0 {
			sleep(ctx, f.clock, wait)
			verdict = f.verdict(x)
		}
	}
	x.suspect = verdict.Suspect
	if !verdict.Blocked {
		return nil
	}
	return &quarantinedError{until: verdict.BlockedUntil, ends: verdict.Exits}
}

// quarantinedError is route.ErrQuarantined with until when and why.
type quarantinedError struct {
	until time.Time
	ends  int
}

// Error says why the request is not sent.
func (e *quarantinedError) Error() string { return route.ErrQuarantined.Error() }

// Unwrap makes it one of route.ErrQuarantined.
func (e *quarantinedError) Unwrap() error { return route.ErrQuarantined }
