package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// maxUnreachable bounds the servers that one request finds unreachable: a list
	// of which so many are gone is old, as after a loss of power.
	maxUnreachable = 4
	// refusedRetryAfter is when a caller should return whose server refused.
	refusedRetryAfter = 100 * time.Millisecond
)

// run makes attempts until the request has an outcome.
func (f *CallerServer) run(x *exchange) {
	ctx, cancel := context.WithTimeout(x.request.Context(), f.clock.Until(x.deadline))
	defer cancel()
	f.retryBudget(x.service).RecordRequest(f.clock.Now())
	var tried []fleet.ServerID
	var next *route.Reservation
	var mayHaveRun, last error
	for x.attempts < x.route.MaxAttempts && x.unreachable < maxUnreachable {
		place, err := f.nextSlot(ctx, x, next, tried)
		if err != nil {
			last = err
			break
		}
		tried = append(tried, place.Server.ID)
		guard := f.startWatchdog(ctx, x, tried)
		place.OnVersionCutoff(guard.abortNotStarted)
		result, err := f.attempt(guard.ctx, x, place, guard)
		next = guard.stop(result, f.clock.Now())
		switch result {
		case outcomeDone:
			f.finish(x, "answered").Str("server", string(place.Server.ID)).Uint64("weights", uint64(place.Version)).Msg("request answered")
			return
		case outcomeCallerGone:
			f.noteRejected(x)
			f.finish(x, "left").Str("server", string(place.Server.ID)).Msg("caller left")
			return
		case outcomeTruncated:
			f.abort(x, err)
		case outcomeNotExecuted:
			last = err
			if errors.Is(err, errPastCutoff) {
				// Nothing was asked of the server, which may have newer weights in a moment.
				tried = tried[:len(tried)-1]
			}
		case outcomeUnknown, outcomeStreamBroken:
			mayHaveRun = err
			if !x.route.Repeatable() {
				f.conclude(ctx, x, mayHaveRun, last)
				return
			}
		}
	}
	f.conclude(ctx, x, mayHaveRun, last)
}

// nextSlot returns the place for the next attempt: the one that was had already or, if there is none, one that is waited for.
func (f *CallerServer) nextSlot(ctx context.Context, x *exchange, had *route.Reservation, tried []fleet.ServerID) (*route.Reservation, error) {
	if err := f.checkQuarantine(ctx, x); err != nil {
		if had != nil {
			had.Release(route.ResultAbandoned, f.clock.Now())
		}
		return nil, err
	}
	if had != nil {
		return had, nil
	}
	if x.attempts > 0 && !f.retryBudget(x.service).AllowRetry(f.retryExtra(), f.clock.Now()) {
		return nil, errBudget
	}
	return f.acquireSlot(ctx, x, tried)
}

// acquireSlot waits for a place on a server.
func (f *CallerServer) acquireSlot(ctx context.Context, x *exchange, tried []fleet.ServerID) (*route.Reservation, error) {
	asked := f.clock.Now()
	defer func() { x.waited += f.clock.Since(asked) }()
	return f.dispatcher(x.service).Acquire(ctx, f.slotRequest(x, tried, false), f.clock)
}

// errPastCutoff reports weights that were barred before the request was sent.
var errPastCutoff = errors.New("weights of the server may no longer start a request")

// errBudget reports that no further attempt is allowed.
var errBudget = errors.New("retry budget is spent")

// abort breaks the caller's connection off, so that it sees that the answer is
// not whole.
func (f *CallerServer) abort(x *exchange, cause error) {
	f.noteRejected(x)
	f.finish(x, "cut").Err(cause).Msg("answer cut")
	panic(http.ErrAbortHandler)
}

// conclude gives the final answer of a request that no attempt has answered.
func (f *CallerServer) conclude(ctx context.Context, x *exchange, mayHaveRun, last error) {
	switch {
	case x.started:
		f.abort(x, errors.Join(mayHaveRun, last))
	case x.request.Context().Err() != nil:
		f.noteRejected(x)
		f.finish(x, "left").AnErr("cause", last).Msg("caller left")
	case mayHaveRun != nil:
		if errors.Is(last, route.ErrQuarantined) {
			mayHaveRun = errors.Join(mayHaveRun, last)
		}
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		f.fail(x, status, mayHaveRun)
	default:
		f.refuseNotRun(x, last)
	}
}

// refuseNotRun refuses a request that surely has not run.
func (f *CallerServer) refuseNotRun(x *exchange, cause error) {
	var held *quarantinedError
	if errors.As(cause, &held) {
		f.refuseQuarantined(x, held)
		return
	}
	var busy *route.BusyError
	ask := f.slotRequest(x, nil, false)
	ask.Retry = x.sinceFirstTry > 0
	if resting := f.dispatcher(x.service).BackoffError(ask, f.clock.Now()); resting != nil {
		cause = resting
	}
	wait, reason, left := refusedRetryAfter, "not-run", x.deadline.Sub(f.clock.Now())
	switch {
	case errors.As(cause, &busy):
		f.refuseBusy(x, busy)
		return
	case errors.Is(cause, route.ErrNoServer), x.unreachable+x.misdirected > 1:
		wait, reason = route.RetryAfter(route.ErrNoServer, left), "no-server"
	}
	f.log.Debug().Str("request", x.ID).AnErr("cause", cause).Msg("refusing")
	f.refuse(x, reason, wait)
}

// retryExtra is this box's part of the retries that all entry boxes may make
// beyond the ratio. A box that has just started does not know the others yet, nor
// what it has used before its start.
func (f *CallerServer) retryExtra() float64 {
	if f.clock.Since(f.started) < f.retries.window {
		return f.retries.extra / float64(max(assumedBoxesAtStart, f.entryBoxCount()))
	}
	return f.retries.extra / float64(f.entryBoxCount()) * retrySafety
}

// assumedBoxesAtStart is among how many entry boxes at least a box that has just started splits the
// common retries, as it may not know of all of them yet.
const assumedBoxesAtStart = 64

// retrySafety is the part of the common retry budget that is used: boxes that
// come and go count each other late.
const retrySafety = 0.7

// slotRequest is what a request needs of a server.
func (f *CallerServer) slotRequest(x *exchange, tried []fleet.ServerID, once bool) *route.SlotRequest {
	reading, writing := f.engineTimes(x)
	ask := &route.SlotRequest{
		Priority: f.priority(x), Arrived: f.clock.Now(), Objective: x.arrived.Add(x.route.Objective - x.sinceFirstTry), Deadline: x.deadline, CallerTimeout: x.route.CallerTimeout,
		Prefill: reading, HoldTime: reading + writing,
		Retry: x.sinceFirstTry > 0 && !f.leaving.Load(), Tried: tried, NoWait: once, Suspect: x.suspect,
	}
	switch {
	case x.started:
		// Its reader waits for the next event, and all that was written is lost if none
		// comes.
		ask.Resuming, ask.Retry = true, false
		ask.Priority, ask.Objective = resumePriority, x.lastForwarded.Add(x.route.MaxEventGap)
	case x.attempts > 0:
		// A request that has been tried already goes before those that came later.
		ask.Retry = true
	}
	return ask
}

// resumePriority is more urgent than any priority of operators, which begin at 0.
const resumePriority = -1

// priority is the organisation's, else the route's.
func (f *CallerServer) priority(x *exchange) int {
	if x.organisation != nil && x.organisation.Priority != nil {
		return *x.organisation.Priority
	}
	return x.route.Priority
}

// engineTimes is how long a model server reads the prompt and is expected to write the
// answer; 0 for other servers.
func (f *CallerServer) engineTimes(x *exchange) (reading, writing time.Duration) {
	service := f.fleetState.View().Service(x.service)
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
