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
	// safeResponseDuration is for how long a server must have been giving its answer for its end to have another cause.
	safeResponseDuration = 200 * time.Millisecond
	// exitProbeTimeout bounds asking whether a server still listens. Its box says at once that nothing does; if the box says
	// nothing, more is at fault than the server.
	exitProbeTimeout = 150 * time.Millisecond
	// exitProbeRetention is for how long it is kept that a start of a server has ended.
	exitProbeRetention = 10 * time.Second
)

// exitProbes find out whether a server has ended when a connection to it breaks off. A broken connection alone does not
// tell: links reset them, and servers cut answers short. All attempts that break off at one moment share one question.
type exitProbes struct {
	clock clockwork.Clock
	probe func(ctx context.Context, address member.Address) error

	mu            sync.Mutex
	byIncarnation map[route.ServerIncarnation]*exitProbe
}

// exitProbe is one question. What became of it may be read once done is closed.
type exitProbe struct {
	done   chan struct{}
	at     time.Time
	exited bool
}

func newExitProbes(clock clockwork.Clock, pool *upstream.Pool) *exitProbes {
	return &exitProbes{clock: clock, probe: pool.Probe, byIncarnation: make(map[route.ServerIncarnation]*exitProbe)}
}

// hasExited reports whether nothing listens any more where a start of a server did to which something was sent at a time.
func (p *exitProbes) hasExited(start route.ServerIncarnation, address member.Address, sent time.Time) bool {
	asked, isNew := p.findOrAdd(start, sent)
	if !isNew {
		<-asked.done
		return asked.exited
	}
	defer close(asked.done)
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, exitProbeTimeout)
	defer cancel()
	asked.exited = errors.Is(p.probe(ctx, address), syscall.ECONNREFUSED)
	if !asked.exited {
		// It lives, as far as is known, and may end later.
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.byIncarnation[start] == asked {
			delete(p.byIncarnation, start)
		}
	}
	return asked.exited
}

// findOrAdd returns the question that is asked about a start, and whether the caller is to ask it. What was asked before something
// was sent tells nothing of what became of that.
func (p *exitProbes) findOrAdd(start route.ServerIncarnation, sent time.Time) (asked *exitProbe, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byIncarnation[start]; known != nil && !sent.After(known.at) {
		return known, false
	}
	now := p.clock.Now()
	for other, known := range p.byIncarnation {
		if now.Sub(known.at) > exitProbeRetention {
			delete(p.byIncarnation, other)
		}
	}
	asked = &exitProbe{done: make(chan struct{}), at: now}
	p.byIncarnation[start] = asked
	return asked, true
}

// isDisconnect reports whether a connection ended from the other side.
func isDisconnect(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errPartialEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return !isAborted(err)
		}
	}
	return false
}

// failAttempt ends an attempt that may have run and got no whole answer.
func (f *CallerServer) failAttempt(x *exchange, place *route.Reservation, err error) {
	result := route.ResultFailed
	if isDisconnect(err) && f.serverExited(x, place) {
		result = route.ResultServerExited
	}
	f.finishAttempt(x, place, result, err)
}

// serverExited reports whether the server has ended whose connection broke off. If it did so as it began to run the
// request, which it had not announced, the request is suspect from then on.
func (f *CallerServer) serverExited(x *exchange, place *route.Reservation) bool {
	at := f.clock.Now()
	if place.IsLeaving() || !place.IsListed() {
		return false
	}
	ended := f.exitProbes.hasExited(place.ServerIncarnation(), place.Server.Address, place.ReservedAt())
	if place.RespondingFor(at) >= safeResponseDuration || f.recentResponses.remove(x, at) {
		return ended
	}
	seen := route.Evidence{Content: x.contentID(), Exited: f.suspects.IncarnationAt(place.ServerIncarnation(), place.ReservedAt()), At: at}
	if ended {
		f.suspects.Observe(seen, "request "+x.ID)
	} else {
		f.suspects.NoteDisconnect(seen)
	}
	return ended
}

// recordSuccess notes that a server runs the request, or has run it, and lives.
func (f *CallerServer) recordSuccess(x *exchange) {
	now := f.clock.Now()
	f.recentResponses.add(x, now)
	if !f.suspects.Empty() {
		f.suspects.Observe(route.Evidence{Content: x.contentID(), At: now}, "request "+x.ID)
	}
}

// quarantineDecision is what may be done with a request now.
func (f *CallerServer) quarantineDecision(x *exchange) route.Decision {
	if f.suspects.Empty() {
		return route.Decision{}
	}
	return f.suspects.Evaluate(x.contentID(), f.clock.Now())
}

// checkQuarantine returns an error if the request must not be sent to any server. What other boxes have to say of the last
// server that ended under it is waited for: they may have sent the same.
func (f *CallerServer) checkQuarantine(ctx context.Context, x *exchange) error {
	verdict := f.quarantineDecision(x)
	if verdict.Suspect && !verdict.Blocked {
		if wait := verdict.SettlesAt.Sub(f.clock.Now()); wait > 0 {
			sleep(ctx, f.clock, wait)
			verdict = f.quarantineDecision(x)
		}
	}
	x.suspect = verdict.Suspect
	if !verdict.Blocked {
		return nil
	}
	return &quarantinedError{until: verdict.BlockedUntil, exits: verdict.Exits}
}

// quarantinedError is route.ErrQuarantined with until when and why.
type quarantinedError struct {
	until time.Time
	exits int
}

// Error says why the request is not sent.
func (e *quarantinedError) Error() string { return route.ErrQuarantined.Error() }

// Unwrap makes it one of route.ErrQuarantined.
func (e *quarantinedError) Unwrap() error { return route.ErrQuarantined }
