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
	// safeResponseDuration is how long a response must have been in progress so that an exit of its server is
	// not attributed to the request.
	safeResponseDuration = 200 * time.Millisecond
	// exitProbeTimeout limits a probe, which checks whether a server still listens. A box without a listener
	// refuses the connection at once; if the box does not reply, the failure is not limited to the server.
	exitProbeTimeout = 150 * time.Millisecond
	// exitProbeRetention is how long the result of a probe is kept for a server incarnation that has exited.
	exitProbeRetention = 10 * time.Second
)

// exitProbes detect whether a server has exited when a connection to it fails. A failed connection alone is no
// proof: networks reset connections, and servers truncate responses. Attempts that fail at the same time share
// one probe.
type exitProbes struct {
	clock clockwork.Clock
	probe func(ctx context.Context, address member.Address) error

	mu            sync.Mutex
	byIncarnation map[route.ServerIncarnation]*exitProbe
}

// exitProbe is one probe. The result may be read once done is closed.
type exitProbe struct {
	done   chan struct{}
	at     time.Time
	exited bool
}

func newExitProbes(clock clockwork.Clock, pool *upstream.Pool) *exitProbes {
	return &exitProbes{clock: clock, probe: pool.Probe, byIncarnation: make(map[route.ServerIncarnation]*exitProbe)}
}

// hasExited reports whether the incarnation of a server that received a request has exited, which means that
// its address refuses connections.
func (p *exitProbes) hasExited(incarnation route.ServerIncarnation, address member.Address, sent time.Time) bool {
	probe, isNew := p.findOrAdd(incarnation, sent)
	if !isNew {
		<-probe.done
		return probe.exited
	}
	defer close(probe.done)
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, exitProbeTimeout)
	defer cancel()
	probe.exited = errors.Is(p.probe(ctx, address), syscall.ECONNREFUSED)
	if !probe.exited {
		// The server is still running and may exit later.
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.byIncarnation[incarnation] == probe {
			delete(p.byIncarnation, incarnation)
		}
	}
	return probe.exited
}

// findOrAdd returns the probe of an incarnation and whether the caller has to run it. A probe that began before
// the request was sent does not show whether the server exited afterwards, so it is replaced.
func (p *exitProbes) findOrAdd(incarnation route.ServerIncarnation, sent time.Time) (probe *exitProbe, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byIncarnation[incarnation]; known != nil && !sent.After(known.at) {
		return known, false
	}
	now := p.clock.Now()
	for other, known := range p.byIncarnation {
		if now.Sub(known.at) > exitProbeRetention {
			delete(p.byIncarnation, other)
		}
	}
	probe = &exitProbe{done: make(chan struct{}), at: now}
	p.byIncarnation[incarnation] = probe
	return probe, true
}

// isDisconnect reports whether the other side ended a connection.
func isDisconnect(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, errPartialEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return !isAborted(err)
		}
	}
	return false
}

// failAttempt finishes an attempt that may have run and got no complete response.
func (s *CallerServer) failAttempt(x *exchange, a *attempt, err error) {
	result := route.ResultFailed
	if isDisconnect(err) && s.serverExited(x, a.reservation) {
		result = route.ResultServerExited
	}
	s.finishAttempt(x, a, result, err)
}

// serverExited reports whether the server of a failed connection has exited. If it exited shortly after it
// began to run the request, and without announcing its departure, the request becomes suspect.
func (s *CallerServer) serverExited(x *exchange, reservation *route.Reservation) bool {
	now := s.clock.Now()
	if reservation.IsLeaving() || !reservation.IsListed() {
		return false
	}
	exited := s.exitProbes.hasExited(reservation.ServerIncarnation(), reservation.Server.Address, reservation.ReservedAt())
	if reservation.RespondingFor(now) >= safeResponseDuration || s.recentResponses.remove(x, now) {
		return exited
	}
	evidence := route.Evidence{Content: x.contentID(), Exited: s.suspects.IncarnationAt(reservation.ServerIncarnation(), reservation.ReservedAt()), At: now}
	if exited {
		s.suspects.Observe(evidence, "request "+x.ID)
	} else {
		s.suspects.NoteDisconnect(evidence)
	}
	return exited
}

// recordSuccess records that a server has been running the request, or has run it, without exiting.
func (s *CallerServer) recordSuccess(x *exchange) {
	now := s.clock.Now()
	s.recentResponses.add(x, now)
	if !s.suspects.Empty() {
		s.suspects.Observe(route.Evidence{Content: x.contentID(), At: now}, "request "+x.ID)
	}
}

// quarantineDecision returns the current quarantine decision for a request.
func (s *CallerServer) quarantineDecision(x *exchange) route.Decision {
	if s.suspects.Empty() {
		return route.Decision{}
	}
	return s.suspects.Evaluate(x.contentID(), s.clock.Now())
}

// checkQuarantine returns an error if the request must not be sent to any server. After the latest exit it
// waits for reports of other boxes, which may have sent the same request.
func (s *CallerServer) checkQuarantine(ctx context.Context, x *exchange) error {
	decision := s.quarantineDecision(x)
	if decision.Suspect && !decision.Blocked {
		if wait := decision.SettlesAt.Sub(s.clock.Now()); wait > 0 {
			sleep(ctx, s.clock, wait)
			decision = s.quarantineDecision(x)
		}
	}
	x.suspect = decision.Suspect
	if !decision.Blocked {
		return nil
	}
	return &quarantinedError{until: decision.BlockedUntil, exits: decision.Exits}
}

// quarantinedError is route.ErrQuarantined with the end of the block and the number of exits.
type quarantinedError struct {
	until time.Time
	exits int
}

// Error returns the message of route.ErrQuarantined.
func (e *quarantinedError) Error() string { return route.ErrQuarantined.Error() }

// Unwrap returns route.ErrQuarantined.
func (e *quarantinedError) Unwrap() error { return route.ErrQuarantined }
