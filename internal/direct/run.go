package direct

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// maxUnreachable limits the servers that one request may find unreachable. A list with that many
	// unreachable servers is outdated, for example after a power failure.
	maxUnreachable = 4
	// refusedRetryAfter is the Retry-After for a request that its server refused.
	refusedRetryAfter = 100 * time.Millisecond
)

// run makes attempts until the request has an outcome.
func (s *CallerServer) run(x *exchange) {
	timeoutCtx, stopTimer := context.WithTimeout(x.request.Context(), s.clock.Until(x.deadline))
	defer stopTimer()
	ctx, cancel := context.WithCancelCause(timeoutCtx)
	defer cancel(nil)
	x.cancel = cancel
	s.retryBudget(x.service).RecordRequest(s.clock.Now())
	defer x.group.stop()
	s.inFlight.add(x)
	defer s.inFlight.remove(x)
	defer s.suspects.EndTurn(&x.turn)
	var mayHaveRunErr, lastErr error
	for x.attempts < x.route.MaxAttempts && x.unreachable < maxUnreachable {
		reservation, retry, err := s.nextReservation(ctx, x)
		if err != nil {
			lastErr = err
			break
		}
		results := s.runAttempts(ctx, x, reservation, retry)
		if s.finishWith(x, results) {
			return
		}
		for _, result := range results {
			switch result.outcome {
			case outcomeNotExecuted:
				lastErr = result.err
			case outcomeUnknown, outcomeStreamBroken:
				mayHaveRunErr = result.err
			default:
			}
		}
		if mayHaveRunErr != nil && !x.route.Repeatable() {
			break
		}
	}
	s.conclude(ctx, x, mayHaveRunErr, lastErr)
}

// runAttempts makes one attempt, and the hedges that are started beside it. It returns their results once all of them
// have ended, so that none uses the writer afterwards.
func (s *CallerServer) runAttempts(ctx context.Context, x *exchange, reservation *route.Reservation, retry *route.Retry) []attemptResult {
	s.startWatchdog(ctx, x)
	s.runAttempt(x, x.begin(ctx, reservation, retry, s.clock.Now()))
	x.group.hedges.Wait()
	return x.group.takeEnded()
}

// runAttempt makes one attempt and records its result.
func (s *CallerServer) runAttempt(x *exchange, a *attempt) {
	a.reservation.OnVersionCutoff(a.abortNotStarted)
	result, err := s.attempt(x, a)
	if a.isHedge {
		s.noteHedgeEnded(x, a, result, err)
	}
	x.group.end(a, result, err, s.clock.Now())
}

// finishWith ends the request if one of the results is final. Otherwise it returns false. A complete response precedes
// other results: an attempt may end at the deadline just before another one completes the response.
func (s *CallerServer) finishWith(x *exchange, results []attemptResult) bool {
	isDone := func(result attemptResult) bool { return result.outcome == outcomeDone }
	if i := slices.IndexFunc(results, isDone); i > 0 {
		results = results[i:]
	}
	for _, result := range results {
		server := result.reservation.Server.ID
		switch result.outcome {
		case outcomeDone:
			s.finish(x, "answered").Str("server", string(server)).Uint64("weights", uint64(result.reservation.Version)).Msg("request answered")
			return true
		case outcomeCallerGone:
			s.noteRejected(x)
			s.finish(x, "left").Str("server", string(server)).Err(result.err).Msg("caller left")
			x.dropIfStarted()
			return true
		case outcomeTruncated:
			s.abort(x, s.cutReason(x, nil, cutNotResumable), result.err)
		default:
		}
	}
	return false
}

// acquireSlot waits for a slot on a server.
func (s *CallerServer) acquireSlot(ctx context.Context, x *exchange, tried []fleet.ServerID) (*route.Reservation, error) {
	startedAt := s.clock.Now()
	defer func() { x.waited += s.clock.Since(startedAt) }()
	return s.dispatcher(x.service).Acquire(ctx, s.slotRequest(x, tried, false), s.clock)
}

// errPastCutoff reports that the weights of the server passed the cutoff before the request was sent.
var errPastCutoff = errors.New("weights of the server may no longer start a request")

// cutReason is the reason why a response that had started was cut, as logs and metrics give it.
type cutReason string

// The reasons why responses are cut.
const (
	// cutDeadline means that the time of the caller or of the route had ended.
	cutDeadline cutReason = "deadline"
	// cutNotResumable means that the server failed and that no other server can continue the response.
	cutNotResumable cutReason = "not-resumable"
	// cutAttempts means that all attempts that the route allows had failed or been refused.
	cutAttempts cutReason = "attempts"
	// cutRetryBudget means that the retry budget was spent.
	cutRetryBudget cutReason = "retry-budget"
	// cutNoServer means that no other server could run the request.
	cutNoServer cutReason = "no-server"
	// cutQuarantined means that servers had exited under the request.
	cutQuarantined cutReason = "quarantined"
)

// cutReason returns the reason for which a response is cut. lastErr is the error with which the last attempt was refused
// or not made; fallback is the reason if neither it nor the deadline is the cause.
func (s *CallerServer) cutReason(x *exchange, lastErr error, fallback cutReason) cutReason {
	var busy *route.BusyError
	switch {
	case !s.clock.Now().Before(x.deadline):
		return cutDeadline
	case errors.Is(lastErr, errRetryBudget):
		return cutRetryBudget
	case errors.Is(lastErr, route.ErrQuarantined):
		return cutQuarantined
	case errors.Is(lastErr, route.ErrNoServer), errors.As(lastErr, &busy):
		return cutNoServer
	}
	return fallback
}

// abort closes the caller's connection so that the caller detects a truncated response.
func (s *CallerServer) abort(x *exchange, reason cutReason, cause error) {
	s.noteRejected(x)
	s.metrics.cutResponses.WithLabelValues(string(reason)).Inc()
	// The caller receives what has arrived, so that it can resume after it.
	cause = errors.Join(cause, s.closeSendBuffer(x))
	s.finish(x, "cut").Str("reason", string(reason)).Err(cause).Msg("answer cut")
	panic(http.ErrAbortHandler)
}

// dropIfStarted closes the connection of a caller that has left, or does not read on, in the middle of its response. Otherwise what it
// has got would end as a complete response.
func (x *exchange) dropIfStarted() {
	if !x.started {
		return
	}
	if x.out != nil {
		x.out.abandon()
		x.out = nil
	}
	panic(http.ErrAbortHandler)
}

// conclude ends a request that no attempt has completed: with an error response or, if the response has started, by
// closing the connection.
func (s *CallerServer) conclude(ctx context.Context, x *exchange, mayHaveRunErr, lastErr error) {
	switch {
	case x.started:
		s.abort(x, s.cutReason(x, lastErr, cutAttempts), errors.Join(mayHaveRunErr, lastErr))
	case x.request.Context().Err() != nil:
		s.noteRejected(x)
		s.finish(x, "left").AnErr("cause", lastErr).Msg("caller left")
	case mayHaveRunErr != nil:
		if errors.Is(lastErr, route.ErrQuarantined) || errors.Is(lastErr, errRetryBudget) {
			mayHaveRunErr = errors.Join(mayHaveRunErr, lastErr)
		}
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		s.fail(x, status, mayHaveRunErr)
	default:
		s.refuseNotRun(x, lastErr)
	}
}

// refuseNotRun refuses a request that certainly has not run.
func (s *CallerServer) refuseNotRun(x *exchange, cause error) {
	var quarantined *route.QuarantinedError
	if errors.As(cause, &quarantined) {
		s.refuseQuarantined(x, quarantined)
		return
	}
	var busy *route.BusyError
	req := s.slotRequest(x, nil, false)
	req.Retry = x.sinceFirstTry > 0
	if backoffErr := s.dispatcher(x.service).BackoffError(req, s.clock.Now()); backoffErr != nil {
		cause = backoffErr
	}
	wait, reason, remaining := refusedRetryAfter, "not-run", x.deadline.Sub(s.clock.Now())
	switch {
	case errors.As(cause, &busy):
		s.refuseBusy(x, busy)
		return
	case errors.Is(cause, route.ErrNoServer):
		wait, reason = route.RetryAfter(route.ErrNoServer, remaining), s.noServerReason(x, &req.Residency)
	case x.unreachable+x.misdirected > 1:
		wait, reason = route.RetryAfter(route.ErrNoServer, remaining), "no-server"
	}
	s.log.Debug().Str("request", x.ID).AnErr("cause", cause).Msg("refusing")
	s.refuse(x, reason, wait)
}

// slotRequest returns the request for a slot on a server.
func (s *CallerServer) slotRequest(x *exchange, tried []fleet.ServerID, noWait bool) *route.SlotRequest {
	prefill, decode := s.engineTimes(x)
	req := &route.SlotRequest{
		Priority: s.priority(x), Arrived: s.clock.Now(), Objective: x.arrived.Add(x.route.Objective - x.sinceFirstTry), Deadline: x.deadline, CallerTimeout: x.route.CallerTimeout,
		Prefill: prefill, HoldTime: prefill + decode,
		Retry: x.sinceFirstTry > 0 && !s.leaving.Load(), Tried: tried, NoWait: noWait, Suspect: x.suspect,
		Residency: s.residency(x),
	}
	if x.organisation != nil {
		req.Organisation = string(x.organisation.Name)
	}
	switch {
	case x.started:
		// The reader is waiting for the next event. If none comes, the whole response is lost.
		req.Resuming, req.Retry = true, false
		req.Priority, req.Objective = resumePriority, x.lastForwarded.Add(x.route.MaxEventGap)
	case x.attempts > 0:
		// A request that was already attempted has precedence over later ones.
		req.Retry = true
	}
	return req
}

// resumePriority is more urgent than any configured priority; those start at 0.
const resumePriority = -1

// priority returns the priority of the organisation or, if it has none, of the route.
func (s *CallerServer) priority(x *exchange) int {
	if x.organisation != nil && x.organisation.Priority != nil {
		return *x.organisation.Priority
	}
	return x.route.Priority
}

// engineTimes returns the expected prefill and decode time of a model server; 0 for other servers.
func (s *CallerServer) engineTimes(x *exchange) (prefill, decode time.Duration) {
	service := s.fleetState.View().Service(x.service)
	if service == nil || service.Engine == nil {
		return 0, 0
	}
	tokens := float64(x.ResponseTokensHint)
	if tokens == 0 {
		tokens = service.Engine.TypicalResponseTokens
	}
	if x.MaxResponseTokens > 0 {
		tokens = min(tokens, float64(x.MaxResponseTokens))
	}
	return service.Engine.PrefillTime(x.PromptTokens), service.Engine.DecodeTime(tokens)
}
