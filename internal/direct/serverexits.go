package direct

import (
	"context"
	"errors"
	"io"
	"slices"
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
	switch {
	case errors.Is(err, route.ErrQuarantined):
		// The box aborted the attempt.
		result = route.ResultAbandoned
	case isDisconnect(err) && s.serverExited(x, a.reservation):
		result = route.ResultServerExited
	}
	s.finishAttempt(x, a, result, err)
}

// serverExited reports whether the server of a failed connection has exited. If it exited shortly after it
// began to run the request, and without announcing its departure, the attributes of the request become suspect.
func (s *CallerServer) serverExited(x *exchange, reservation *route.Reservation) bool {
	now := s.clock.Now()
	if reservation.IsLeaving() || !reservation.IsListed() {
		return false
	}
	exited := s.hasExited(reservation)
	if reservation.RespondingFor(now) >= safeResponseDuration {
		return exited
	}
	incarnation := s.suspects.IncarnationAt(reservation.ServerIncarnation(), reservation.ReservedAt())
	for _, attribute := range s.possibleCauses(x, reservation, now) {
		evidence := route.Evidence{Attribute: attribute, Exited: incarnation, At: now}
		if exited {
			s.suspects.Observe(evidence, "request "+x.ID)
		} else {
			s.suspects.NoteDisconnect(evidence)
		}
	}
	return exited
}

// hasExited reports whether the server of a reservation has exited.
func (s *CallerServer) hasExited(reservation *route.Reservation) bool {
	return s.exitProbes.hasExited(reservation.ServerIncarnation(), reservation.Server.Address, reservation.ReservedAt())
}

// possibleCauses returns the attributes of a request that may have caused its server to exit: the content unless it was
// answered recently, and the parts of which no other request was answered while this one was in flight.
func (s *CallerServer) possibleCauses(x *exchange, reservation *route.Reservation, now time.Time) []route.AttributeID {
	var causes []route.AttributeID
	if !s.recentResponses.remove(x, now) {
		causes = append(causes, x.contentID())
	}
	for _, part := range x.partIDs() {
		if answeredAt, ok := s.suspects.answeredParts.lastAt(part, now); !ok || answeredAt.Before(reservation.ReservedAt()) {
			causes = append(causes, part)
		}
	}
	return causes
}

// recordSuccess records that a server has been running the request, or has run it, without exiting.
func (s *CallerServer) recordSuccess(x *exchange) {
	now := s.clock.Now()
	defer s.endTrial(x)
	s.recentResponses.add(x, now)
	s.suspects.answeredParts.add(x.partIDs(), now)
	if s.suspects.Empty() {
		return
	}
	for _, attribute := range x.attributes() {
		s.suspects.Observe(route.Evidence{Attribute: attribute, At: now}, "request "+x.ID)
	}
}

// recordResponse records the success of a request whose response is complete. A response that ends with its connection is
// also complete if its server exited while it sent it, so unless it has lasted for safeResponseDuration it counts as a
// success only if the server still listens. The caller does not wait for that.
func (s *CallerServer) recordResponse(x *exchange, a *attempt, resp *upstream.Response) {
	reservation := a.reservation
	if resp.IsSelfDelimited() || reservation.RespondingFor(s.clock.Now()) >= safeResponseDuration {
		s.recordSuccess(x)
		return
	}
	s.tasks.Go(func(context.Context) {
		if !s.serverExited(x, reservation) {
			s.recordSuccess(x)
		}
	})
}

// quarantineDecision returns the current quarantine decision for a request.
func (s *CallerServer) quarantineDecision(x *exchange) route.Decision {
	if s.suspects.Empty() {
		return route.Decision{}
	}
	return s.suspects.EvaluateRequest(x.attributes(), s.clock.Now())
}

// isQuarantined reports whether a request must not be sent now. The first request that is tried after a block is sent.
func (s *CallerServer) isQuarantined(x *exchange) bool {
	decision := s.quarantineDecision(x)
	return decision.Blocked || !x.mayTry(decision.Trials)
}

// mayTry reports whether the request is the one of this box that is tried for each of the attributes.
func (x *exchange) mayTry(attributes []route.AttributeID) bool {
	tried := x.triedAttributes()
	return !slices.ContainsFunc(attributes, func(attribute route.AttributeID) bool { return !slices.Contains(tried, attribute) })
}

// triedAttributes returns the attributes for which the request is the only one of this box that is sent to a server.
func (x *exchange) triedAttributes() []route.AttributeID {
	if tried := x.trials.Load(); tried != nil {
		return *tried
	}
	return nil
}

const (
	// trialRetryAfter is the Retry-After for a request whose attributes are being tried by another one.
	trialRetryAfter = time.Second
	// maxSuspectWait is how long a suspect request waits for another one of this box with the same attributes.
	maxSuspectWait = time.Second
	// suspectCheckInterval is the time between two checks of a request that waits for another one.
	suspectCheckInterval = 25 * time.Millisecond
)

// checkQuarantine returns an error if the request must not be sent to any server. After the latest exit it waits for reports
// of other boxes, which may have sent requests with the same attributes, and for another request of this box with them.
func (s *CallerServer) checkQuarantine(ctx context.Context, x *exchange) error {
	giveUpAt := s.clock.Now().Add(maxSuspectWait)
	for {
		decision, now := s.quarantineDecision(x), s.clock.Now()
		x.suspect = decision.Suspect
		wait := suspectCheckInterval
		switch {
		case decision.Blocked:
			return &quarantinedError{attribute: decision.Attribute, until: decision.BlockedUntil, exits: decision.Exits}
		case ctx.Err() != nil:
			return ctx.Err()
		case !x.mayTry(decision.Trials) && x.trials.Load() != nil:
			// The request was tried, and its server exited.
			return &quarantinedError{attribute: decision.Trials[0], until: now.Add(trialRetryAfter), exits: decision.Exits}
		case decision.SettlesAt.After(now):
			wait = decision.SettlesAt.Sub(now)
		case x.mayTry(decision.Suspects), s.beginTrial(x, &decision):
			return nil
		case len(decision.Trials) > 0, now.After(giveUpAt) && decision.Exits > 1:
			return &quarantinedError{attribute: decision.Suspects[0], until: now.Add(trialRetryAfter), exits: decision.Exits}
		case now.After(giveUpAt):
			return nil
		}
		sleep(ctx, s.clock, wait)
	}
}

// beginTrial makes the request the only one of this box with its suspect attributes that is sent to servers, unless there is
// one already.
func (s *CallerServer) beginTrial(x *exchange, decision *route.Decision) bool {
	s.endTrial(x)
	if !s.suspects.beginTrial(decision.Suspects) {
		return false
	}
	x.trials.Store(&decision.Suspects)
	if len(decision.Trials) > 0 {
		s.log.Info().Str("request", x.ID).Str("content", decision.Trials[0].String()).Int("ends", decision.Exits).Msg("trying a request after a block")
	}
	return true
}

// endTrial ends the trial of a request, if it is one.
func (s *CallerServer) endTrial(x *exchange) {
	if tried := x.trials.Swap(nil); tried != nil {
		s.suspects.endTrial(*tried)
	}
}

// quarantinedError is route.ErrQuarantined with the attribute that blocks the request, the end of the block and the number
// of exits.
type quarantinedError struct {
	attribute route.AttributeID
	until     time.Time
	exits     int
}

// Error returns the message of route.ErrQuarantined.
func (e *quarantinedError) Error() string { return route.ErrQuarantined.Error() }

// Unwrap returns route.ErrQuarantined.
func (e *quarantinedError) Unwrap() error { return route.ErrQuarantined }
