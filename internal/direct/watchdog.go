package direct

import (
	"context"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// streamStallTimeout is how long the next event of a stream may take before a hedge is started. A step of a full batch
	// takes a tenth of it; callers give up after a multiple of it.
	streamStallTimeout = 800 * time.Millisecond
	// firstEventTimeout replaces streamStallTimeout for the first event, which has to wait for the prefill of
	// earlier prompts.
	firstEventTimeout = 1200 * time.Millisecond
	// hedgeFraction is the part of the remaining time for which the server of a repeatable request may be silent before a
	// hedge is started.
	hedgeFraction = 0.4
	// hedgeRetryDelay is the delay before another hedge if a server refused one or no server has a free slot.
	hedgeRetryDelay = 150 * time.Millisecond
	// maxTimerDelay is how late a timer may expire on a box that is not paused.
	maxTimerDelay = 100 * time.Millisecond
	// minHedgeTime is the minimum time that must remain until the deadline for a hedge.
	minHedgeTime = 200 * time.Millisecond
)

// startWatchdog starts to check the progress of a request's attempts. A request that must not be repeated is limited by
// its deadline only.
func (s *CallerServer) startWatchdog(ctx context.Context, x *exchange) {
	if !x.route.Repeatable() || x.route.MaxAttempts < 2 {
		return
	}
	g := &x.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := s.clock.Now()
	g.hedgeDelay = time.Duration(hedgeFraction * float64(x.deadline.Sub(now)))
	if x.route.Kind == fleet.KindStream {
		g.hedgeDelay = min(g.hedgeDelay, firstEventTimeout)
	}
	g.lastProgress, g.hedgeAt = now, now.Add(g.hedgeDelay)
	if g.timer != nil {
		g.resetTimer(now, g.hedgeDelay)
		return
	}
	g.checkAt = g.hedgeAt
	g.timer = s.clock.AfterFunc(g.hedgeDelay, func() { s.checkProgress(ctx, x) })
}

// checkProgress starts a hedge if the attempts of a request make no progress, and runs it.
func (s *CallerServer) checkProgress(ctx context.Context, x *exchange) {
	req, ok := s.hedgeRequest(ctx, x)
	if !ok {
		return
	}
	kind := retryKind{retryDuringSilence, req.Resuming, req.Suspect}
	// A slot takes a token of a server with a rate limit, so the retry is taken before.
	retry, _ := s.retryBudget(x.service).TakeRetry(s.allowance(), kind.priority(), s.clock.Now())
	if retry == nil {
		x.group.postponeHedge(s.clock.Now())
		return
	}
	reservation, err := s.dispatcher(x.service).Acquire(ctx, req, s.clock)
	if err != nil {
		retry.Cancel(s.clock.Now())
		x.group.postponeHedge(s.clock.Now())
		return
	}
	hedge := s.beginHedge(ctx, x, reservation, retry)
	if hedge == nil {
		retry.Cancel(s.clock.Now())
		reservation.Release(route.ResultAbandoned, s.clock.Now())
		return
	}
	s.noteRetry(x, kind, retryAllowed)
	defer x.group.hedges.Done()
	s.runAttempt(x, hedge)
}

// hedgeRequest returns the request for the slot of a hedge. ok is false if no hedge may start now; the timer then is set
// to the time at which one may.
func (s *CallerServer) hedgeRequest(ctx context.Context, x *exchange) (req *route.SlotRequest, ok bool) {
	g := &x.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := s.clock.Now()
	if g.timer == nil || len(g.running) == 0 || ctx.Err() != nil || x.deadline.Sub(now) < minHedgeTime {
		return nil, false
	}
	if wait := g.hedgeAt.Sub(now); wait > 0 {
		g.resetTimer(now, wait)
		return nil, false
	}
	if !x.mayHedge() || !s.mayRepeat(x, now) {
		g.resetTimer(now, g.hedgeDelay)
		return nil, false
	}
	if g.postponeAfterPause(now) {
		return nil, false
	}
	req = s.slotRequest(x, slices.Clone(g.tried), true)
	// A server may have exited under another attempt since the first one started.
	req.Suspect = s.quarantineDecision(x).Suspect
	return req, true
}

// mayHedge reports whether another attempt can deliver the rest of the response. A response that has started can only be
// continued after an event with an ID. The lock of the group must be held.
func (x *exchange) mayHedge() bool {
	return !x.group.delivering && x.attempts < x.route.MaxAttempts && x.unreachable < maxUnreachable && (!x.started || x.lastEventID != "")
}

// mayRepeat reports whether the request may be sent to another server although servers may have exited under it.
func (s *CallerServer) mayRepeat(x *exchange, now time.Time) bool {
	decision := s.quarantineDecision(x)
	return !decision.Blocked && len(decision.Trials) == 0 && (!decision.Suspect || !decision.SettlesAt.After(now))
}

// beginHedge adds a hedge. It returns nil if there has been progress since the slot was requested. Otherwise the number of
// running hedges must be decremented after the hedge has ended.
func (s *CallerServer) beginHedge(ctx context.Context, x *exchange, reservation *route.Reservation, retry *route.Retry) *attempt {
	g := &x.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := s.clock.Now()
	if g.timer == nil || len(g.running) == 0 {
		return nil
	}
	if now.Before(g.hedgeAt) || !x.mayHedge() {
		g.resetTimer(now, g.hedgeDelay)
		return nil
	}
	s.log.Info().Str("request", x.ID).Str("server", string(reservation.Server.ID)).
		Str("silent_server", string(g.running[len(g.running)-1].reservation.Server.ID)).Dur("silent_ms", now.Sub(g.lastProgress)).
		Bool("started", x.started).Msg("server is silent, hedging")
	hedge := x.beginLocked(ctx, reservation, retry, now)
	g.hedges.Add(1)
	g.resetTimer(now, g.hedgeDelay)
	return hedge
}

// postponeAfterPause postpones the next hedge once if the timer expired late, which means that the box was paused. What has
// arrived meanwhile is read first. The lock must be held.
func (g *attemptGroup) postponeAfterPause(now time.Time) bool {
	g.isPostponed = !g.isPostponed && now.Sub(g.checkAt) > maxTimerDelay
	if g.isPostponed {
		g.hedgeAt = now.Add(hedgeRetryDelay)
		g.resetTimer(now, hedgeRetryDelay)
	}
	return g.isPostponed
}

// postponeHedge sets the time of the next hedge after no server could take one.
func (g *attemptGroup) postponeHedge(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.hedgeAt) {
		g.resetTimer(now, g.hedgeAt.Sub(now))
		return
	}
	g.hedgeAt = now.Add(hedgeRetryDelay)
	g.resetTimer(now, hedgeRetryDelay)
}

// hedgeOutcome is what became of a hedge, as logs and metrics give it.
type hedgeOutcome string

// The outcomes of hedges.
const (
	// hedgeDelivered means that the hedge delivered before the silent server did.
	hedgeDelivered hedgeOutcome = "delivered"
	// hedgeSuperseded means that the silent server went on before the hedge delivered.
	hedgeSuperseded hedgeOutcome = "superseded"
	// hedgeRefused means that the hedge was certainly not run.
	hedgeRefused hedgeOutcome = "refused"
	// hedgeFailed means that the server of the hedge failed before it delivered.
	hedgeFailed hedgeOutcome = "failed"
	// hedgeCallerLeft means that the caller disconnected before the hedge delivered.
	hedgeCallerLeft hedgeOutcome = "left"
)

// hedgeOutcomeOf returns what became of a hedge with a result and an error.
func hedgeOutcomeOf(a *attempt, result outcome, err error) hedgeOutcome {
	switch {
	case a.delivered:
		return hedgeDelivered
	case result == outcomeSuperseded, isSuperseded(err):
		return hedgeSuperseded
	case result == outcomeNotExecuted:
		return hedgeRefused
	case result == outcomeCallerGone:
		return hedgeCallerLeft
	}
	return hedgeFailed
}

// noteHedgeEnded counts and logs the outcome of a hedge.
func (s *CallerServer) noteHedgeEnded(x *exchange, a *attempt, result outcome, err error) {
	hedged := hedgeOutcomeOf(a, result, err)
	s.metrics.hedges.WithLabelValues(string(x.service), string(hedged)).Inc()
	s.log.Info().Str("request", x.ID).Str("server", string(a.reservation.Server.ID)).Str("result", string(hedged)).
		Dur("after_ms", s.clock.Since(a.startedAt)).Msg("hedge ended")
}
