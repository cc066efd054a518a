package direct

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/kernel"
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
	// earlyProbes is the number of probes of exitProbeTimes for which a failed attempt waits.
	earlyProbes = 2
	// firstProof is the first probe of exitProbeTimes that shows that a server runs if it is accepted and no other connection
	// to the server has ended. Otherwise the last one does. The kernel closes the connections of a process that ends one after
	// the other. On a busy machine the listener was open for up to 45 ms after the first connection had ended.
	firstProof = 1
	// exitProbeRetention is how long the result of a probe is kept for a server incarnation that has exited.
	exitProbeRetention = 10 * time.Second
)

// exitProbeTimes are when a server is probed after a connection to it has failed. A process that ends may listen for a moment
// after its connections have closed, so a server that is found to listen at once may still be ending.
var exitProbeTimes = [...]time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond, 120 * time.Millisecond}

// exitProbes detect whether a server has exited when a connection to it fails. A failed connection alone is no
// proof: networks reset connections, and servers truncate responses. Attempts that fail at the same time share
// the probes of their server.
type exitProbes struct {
	clock clockwork.Clock
	probe func(ctx context.Context, address member.Address) error
	// hasLostIdle reports whether a server has ended an idle connection.
	hasLostIdle func(address member.Address) bool
	tasks       *kernel.TaskGroup

	mu            sync.Mutex
	byIncarnation map[route.ServerIncarnation]*exitProbe
	// disconnects are the times at which an attempt last failed because the server at an address ended the connection.
	disconnects map[member.Address]time.Time
}

// exitProbe is a series of probes of one server. early is closed after the first earlyProbes of them, done after the last one,
// both as soon as one is refused. exited may be read once either is closed. shown is closed once running is set, or with done.
type exitProbe struct {
	early, shown, done chan struct{}
	at                 time.Time
	exited, running    atomic.Bool
}

// hasExited reports whether one of the first probes was refused.
func (p *exitProbe) hasExited() bool {
	<-p.early
	return p.exited.Load()
}

// isRunning reports whether a probe has shown that the server runs. It waits until one has, or was refused, or the last one has
// ended. A probe that was neither accepted nor refused shows nothing, see also firstProof.
func (p *exitProbe) isRunning() bool {
	<-p.shown
	return p.running.Load() && !p.exited.Load()
}

// exitsLater reports whether any probe was refused. It waits for the last one.
func (p *exitProbe) exitsLater() bool {
	<-p.done
	return p.exited.Load()
}

func newExitProbes(clock clockwork.Clock, pool *upstream.Pool, tasks *kernel.TaskGroup) *exitProbes {
	return &exitProbes{
		clock: clock, probe: pool.Probe, hasLostIdle: pool.HasLostIdle, tasks: tasks,
		byIncarnation: make(map[route.ServerIncarnation]*exitProbe), disconnects: make(map[member.Address]time.Time),
	}
}

// start returns the probes that show whether the incarnation of a server that received a request has exited, which means that
// its address refuses connections.
func (p *exitProbes) start(incarnation route.ServerIncarnation, address member.Address, sent time.Time) *exitProbe {
	return p.startAfter(incarnation, address, sent, time.Time{})
}

// startAfter is like start, but the probes have already shown an exit or begin no earlier than the end of the response.
func (p *exitProbes) startAfter(incarnation route.ServerIncarnation, address member.Address, sent, ended time.Time) *exitProbe {
	probe, isNew := p.findOrAdd(incarnation, sent, ended)
	if isNew {
		p.tasks.Go(func(ctx context.Context) { p.run(ctx, probe, incarnation, address) })
	}
	return probe
}

// run probes a server until it refuses a connection or the last probe has ended.
func (p *exitProbes) run(ctx context.Context, probe *exitProbe, incarnation route.ServerIncarnation, address member.Address) {
	defer close(probe.done)
	show := sync.OnceFunc(func() { close(probe.shown) })
	defer show()
	for i, at := range exitProbeTimes {
		sleep(ctx, p.clock, at-p.clock.Since(probe.at))
		err := p.probeOnce(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			probe.exited.Store(true)
			p.keep(incarnation, probe)
			if i < earlyProbes {
				close(probe.early)
			}
			return
		}
		if i == earlyProbes-1 {
			// The server is still running and may exit later. An attempt that fails from now on needs other probes.
			p.drop(incarnation, probe)
			close(probe.early)
		}
		isProof := i == len(exitProbeTimes)-1 || i >= firstProof && !p.hasLostOther(address, probe.at)
		if err == nil && isProof {
			probe.running.Store(true)
			show()
		}
	}
}

// noteDisconnect records that an attempt failed because the server at an address ended the connection.
func (p *exitProbes) noteDisconnect(address member.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for other, at := range p.disconnects {
		if now.Sub(at) > exitProbeRetention {
			delete(p.disconnects, other)
		}
	}
	p.disconnects[address] = now
}

// hasLostOther reports whether a server has ended another connection at about the time of the end of a response, which may be
// because it exits.
func (p *exitProbes) hasLostOther(address member.Address, ended time.Time) bool {
	p.mu.Lock()
	at, ok := p.disconnects[address]
	p.mu.Unlock()
	return ok && ended.Sub(at) < exitProbeTimes[len(exitProbeTimes)-1] || p.hasLostIdle(address)
}

// probeOnce opens a connection to a server.
func (p *exitProbes) probeOnce(ctx context.Context, address member.Address) error {
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, exitProbeTimeout)
	defer cancel()
	return p.probe(ctx, address)
}

// keep makes probes that were refused those of an incarnation.
func (p *exitProbes) keep(incarnation route.ServerIncarnation, probe *exitProbe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byIncarnation[incarnation] = probe
}

// drop removes the probes of an incarnation unless others have replaced them.
func (p *exitProbes) drop(incarnation route.ServerIncarnation, probe *exitProbe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byIncarnation[incarnation] == probe {
		delete(p.byIncarnation, incarnation)
	}
}

// findOrAdd returns the probes of an incarnation and whether the caller has to run them. Probes that began before
// the request was sent do not show whether the server exited afterwards, so they are replaced. So are probes that began before
// its response ended, unless they have shown an exit: the server may have exited after them. ended is zero if it does not matter.
func (p *exitProbes) findOrAdd(incarnation route.ServerIncarnation, sent, ended time.Time) (probe *exitProbe, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byIncarnation[incarnation]
	if known != nil && !sent.After(known.at) && (known.exited.Load() || !ended.After(known.at)) {
		return known, false
	}
	now := p.clock.Now()
	for other, known := range p.byIncarnation {
		if now.Sub(known.at) > exitProbeRetention {
			delete(p.byIncarnation, other)
		}
	}
	probe = &exitProbe{early: make(chan struct{}), shown: make(chan struct{}), done: make(chan struct{}), at: now}
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
	case errors.Is(err, upstream.ErrInvalidHead):
		s.metrics.invalidResponses.WithLabelValues(string(x.service), "head").Inc()
	case isDisconnect(err):
		s.metrics.invalidResponses.WithLabelValues(string(x.service), "cut").Inc()
	}
	if isDisconnect(err) {
		s.exitProbes.noteDisconnect(a.reservation.Server.Address)
	}
	switch {
	case errors.Is(err, route.ErrQuarantined), errors.Is(err, errStopping):
		// The box aborted the attempt.
		result = route.ResultAbandoned
	case isDisconnect(err) && s.serverExited(x, a.reservation, (*exitProbe).hasExited):
		result = route.ResultServerExited
	}
	s.finishAttempt(x, a, result, err)
}

// serverExited reports whether the server of a failed connection has exited. If it exited shortly after it
// began to run the request, and without announcing its departure, the attributes of the request become suspect, at once or
// once a later probe shows it. await returns the result of the probes.
func (s *CallerServer) serverExited(x *exchange, reservation *route.Reservation, await func(*exitProbe) bool) bool {
	now := s.clock.Now()
	if reservation.IsLeaving() || !reservation.IsListed() {
		return false
	}
	probe := s.startExitProbe(reservation)
	exited := await(probe)
	if reservation.RespondingFor(now) >= safeResponseDuration {
		return exited
	}
	incarnation := s.suspects.IncarnationAt(reservation.ServerIncarnation(), reservation.ReservedAt())
	var causes []route.Evidence
	for _, attribute := range s.possibleCauses(x, reservation.ReservedAt(), now) {
		causes = append(causes, route.Evidence{Attribute: attribute, Exited: incarnation, At: now})
	}
	if exited {
		s.observeAll(causes, x)
		return true
	}
	for _, evidence := range causes {
		s.suspects.NoteDisconnect(evidence)
	}
	s.tasks.Go(func(context.Context) {
		if probe.exitsLater() {
			s.observeAll(causes, x)
		}
	})
	return false
}

// observeAll records evidence that a request of this box has yielded.
func (s *CallerServer) observeAll(evidence []route.Evidence, x *exchange) {
	for _, e := range evidence {
		s.suspects.Observe(e, "request "+x.ID)
	}
}

// startExitProbe starts to find out whether the server of a reservation has exited.
func (s *CallerServer) startExitProbe(reservation *route.Reservation) *exitProbe {
	return s.exitProbes.start(reservation.ServerIncarnation(), reservation.Server.Address, reservation.ReservedAt())
}

// possibleCauses returns the attributes of a request that may have caused its server to exit: the content unless it was
// answered recently, and the parts of which no other request was answered while this one was in flight.
func (s *CallerServer) possibleCauses(x *exchange, sentAt, now time.Time) []route.AttributeID {
	causes := s.suspects.PossibleCauses(x.partIDs(), sentAt, now)
	if !s.recentResponses.remove(x, now) {
		causes = append(causes, x.contentID())
	}
	return causes
}

// recordSuccess records that a server has been running the request, or has run it, without exiting.
func (s *CallerServer) recordSuccess(x *exchange) {
	now := s.clock.Now()
	defer s.suspects.EndTurn(&x.turn)
	s.recentResponses.add(x, now)
	s.suspects.NoteAnswered(x.partIDs(), now)
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
		if !s.serverExited(x, reservation, (*exitProbe).exitsLater) {
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

// maySend reports whether a request that checkQuarantine let pass may still be sent.
func (s *CallerServer) maySend(x *exchange) bool {
	return s.suspects.Empty() || s.suspects.MaySend(x.attributes(), &x.turn, s.clock.Now())
}

// checkQuarantine waits until the request may be sent to a server. It returns an error if it must not be sent to any.
func (s *CallerServer) checkQuarantine(ctx context.Context, x *exchange) error {
	x.suspect = false
	for startedAt := s.clock.Now(); !s.suspects.Empty(); {
		permit := s.suspects.CheckSend(x.attributes(), &x.turn, startedAt, s.clock.Now())
		x.suspect = permit.Suspect
		switch {
		case permit.Rejected != nil:
			return permit.Rejected
		case ctx.Err() != nil:
			return ctx.Err()
		case permit.Wait == 0:
			if permit.Trial != nil {
				s.log.Info().Str("request", x.ID).Str("content", permit.Trial.String()).Int("ends", permit.Exits).Msg("trying a request after a block")
			}
			return nil
		}
		sleep(ctx, s.clock, permit.Wait)
	}
	return nil
}
