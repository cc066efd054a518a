package direct

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// attempt is one attempt to run a request at one server.
type attempt struct {
	reservation *route.Reservation
	ctx         context.Context
	// cancel aborts the attempt with a cause.
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// isHedge is set if another attempt was running when this one started.
	isHedge bool
	// retry is what the attempt has taken from the retry budget; nil for the first attempt.
	retry *route.Retry
	// resuming is set if the response had started before the attempt, delivered once the attempt has delivered a part of
	// it. lastEventID is the ID of the last event that the caller has been sent. Only the goroutine of the attempt uses
	// these fields.
	resuming, delivered bool
	lastEventID         string

	// superseded is set once another attempt has delivered, failed once the response was found to be a failure.
	// lastProgress is when the last part that is not delivered yet arrived; zero before. The lock of the group guards them.
	superseded, failed bool
	lastProgress       time.Time
	// hasArrived is set once the head of a response has arrived, hasBegun once a part of its body has. The lock of the
	// group guards them.
	hasArrived, hasBegun bool
}

// attemptResult is the result of an attempt that has ended.
type attemptResult struct {
	*attempt
	outcome outcome
	err     error
}

// attemptGroup is the attempts of one request. Usually one attempt runs at a time. If no attempt makes progress, another
// one, a hedge, is started beside those that run. An attempt ends for the silence of its server only when another one
// delivers a part of the response first: claim decides which one that is, and supersedes the others.
//
// While an attempt delivers, no other one can start or deliver, so it has exclusive access to the writer and to the
// fields of the exchange that describe the response.
type attemptGroup struct {
	mu      sync.Mutex
	running []*attempt
	ended   []attemptResult
	// retries are the retries that are not settled.
	retries []*route.Retry
	// tried are the servers of all attempts.
	tried []fleet.ServerID
	// delivering is set while an attempt delivers a part of the response. It stays set if no other attempt can continue
	// the response after that part.
	delivering bool
	// timer calls the function that starts hedges; nil if the request must not be repeated. The next hedge may start at
	// hedgeAt if there is no progress before, which postpones it by hedgeDelay.
	timer        clockwork.Timer
	hedgeDelay   time.Duration
	hedgeAt      time.Time
	lastProgress time.Time
	// checkAt is when the timer is due. isPostponed is set while a hedge is postponed because the timer expired late.
	checkAt     time.Time
	isPostponed bool
	// hedges counts the hedges that run.
	hedges sync.WaitGroup
}

// Causes for which an attempt is superseded.
var (
	// errNoProgress is the cause for an attempt whose server was silent until a later attempt delivered.
	errNoProgress = errors.New("attempt made no progress")
	// errSuperseded is the cause for an attempt that an earlier one has preceded.
	errSuperseded = errors.New("an earlier attempt went on")
)

// isSuperseded reports whether another attempt has superseded the attempt that failed with err.
func isSuperseded(err error) bool {
	return errors.Is(err, errNoProgress) || errors.Is(err, errSuperseded)
}

// begin adds an attempt. It counts as sent until withdraw is called.
func (x *exchange) begin(ctx context.Context, reservation *route.Reservation, retry *route.Retry, now time.Time) *attempt {
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	return x.beginLocked(ctx, reservation, retry, now)
}

// beginLocked is begin for a caller that holds the lock of the group.
func (x *exchange) beginLocked(ctx context.Context, reservation *route.Reservation, retry *route.Retry, now time.Time) *attempt {
	g := &x.group
	a := &attempt{
		reservation: reservation, startedAt: now, isHedge: len(g.running) > 0, retry: retry, resuming: x.started, lastEventID: x.lastEventID,
	}
	if retry != nil {
		g.retries = append(g.retries, retry)
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	g.running = append(g.running, a)
	g.tried = append(g.tried, reservation.Server.ID)
	g.hedgeAt = now.Add(g.hedgeDelay)
	x.attempts++
	return a
}

// withdraw records that an attempt was not sent.
func (x *exchange) withdraw(a *attempt, now time.Time) {
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	x.attempts--
	a.retry.Cancel(now)
}

// withdrawUnreachable records that an attempt was not sent because its server could not be reached.
func (x *exchange) withdrawUnreachable(a *attempt, now time.Time) {
	x.withdraw(a, now)
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	x.unreachable++
}

// noteMisdirected records that an attempt reached another server than the intended one.
func (x *exchange) noteMisdirected() {
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	x.misdirected++
}

// noteArrived records that the head of a response has arrived.
func (g *attemptGroup) noteArrived(a *attempt, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.hasArrived = true
	g.settleRetries(now)
}

// settleRetries settles the retries once every attempt has arrived or ended. Before that, one of them may be the first to
// arrive, and another one the retry. The lock must be held.
func (g *attemptGroup) settleRetries(now time.Time) {
	for _, a := range g.running {
		if !a.hasArrived {
			return
		}
	}
	for _, retry := range g.retries {
		retry.Settle(now)
	}
	g.retries = nil
}

// claim must be called before any part of the response is delivered to the caller. It returns false if another attempt
// has delivered since this one started; the part must then be dropped. Otherwise it supersedes all other attempts, and
// none can start until delivered is called.
func (g *attemptGroup) claim(a *attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.superseded {
		return false
	}
	a.hasBegun = true
	if len(g.running) > 1 {
		g.supersedeOthers(a)
	}
	g.delivering = true
	return true
}

// supersedeOthers aborts all other attempts. The lock must be held.
func (g *attemptGroup) supersedeOthers(a *attempt) {
	isEarlier := true
	for _, other := range g.running {
		switch {
		case other == a:
			isEarlier = false
			continue
		case other.superseded:
			continue
		case isEarlier:
			other.cancel(errNoProgress)
		default:
			other.cancel(errSuperseded)
		}
		other.superseded = true
	}
}

// delivered records that a part of the response has been delivered, after which another attempt can continue it.
func (g *attemptGroup) delivered(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivering = false
	if g.hedgeDelay != streamStallTimeout {
		g.hedgeDelay = streamStallTimeout
		g.resetTimer(now, streamStallTimeout)
	}
	g.lastProgress, g.hedgeAt = now, now.Add(g.hedgeDelay)
}

// noteProgress records that the server of an attempt has sent a part of a response that is not delivered yet.
func (g *attemptGroup) noteProgress(a *attempt, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.lastProgress, g.lastProgress, g.hedgeAt, a.hasBegun = now, now, now.Add(g.hedgeDelay), true
}

// end records the result of an attempt. A hedge that got no response may be followed by another one soon, unless another
// attempt has made progress.
func (g *attemptGroup) end(a *attempt, result outcome, err error, now time.Time) {
	a.cancel(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = slices.DeleteFunc(g.running, func(other *attempt) bool { return other == a })
	g.ended = append(g.ended, attemptResult{a, result, err})
	g.settleRetries(now)
	if errors.Is(err, errPastCutoff) {
		// The request was not sent, and the server may have newer weights soon.
		g.tried = slices.DeleteFunc(g.tried, func(id fleet.ServerID) bool { return id == a.reservation.Server.ID })
	}
	if len(g.running) == 0 || a.superseded {
		return
	}
	if a.isHedge {
		g.hedgeAt = now.Add(hedgeRetryDelay)
		for _, other := range g.running {
			if at := other.lastProgress.Add(g.hedgeDelay); at.After(g.hedgeAt) {
				g.hedgeAt = at
			}
		}
	}
	g.resetTimer(now, g.hedgeAt.Sub(now))
}

// takeEnded returns the results of the attempts that have ended since the last call.
func (g *attemptGroup) takeEnded() []attemptResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := g.ended
	g.ended = nil
	return ended
}

// resetTimer sets the time until the next check for progress. The lock must be held.
func (g *attemptGroup) resetTimer(now time.Time, timeout time.Duration) {
	if g.timer != nil {
		g.checkAt = now.Add(timeout)
		g.timer.Reset(timeout)
	}
}

// stop stops checking for progress. No attempt may be running.
func (g *attemptGroup) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
}

// mayDrop reports whether a failure that an attempt received need not be forwarded, because another attempt is running
// or may follow.
func (x *exchange) mayDrop(a *attempt, now time.Time) bool {
	x.group.mu.Lock()
	defer x.group.mu.Unlock()
	a.failed = true
	for _, other := range x.group.running {
		if !other.failed && !other.superseded {
			return true
		}
	}
	return x.route.Repeatable() && x.attempts < x.route.MaxAttempts && now.Before(x.deadline)
}

// withCause adds the cause to err, which may be nil, if the box aborted the attempt.
func (a *attempt) withCause(err error) error {
	cause := context.Cause(a.ctx)
	switch {
	case !isAborted(cause):
		return err
	case err == nil:
		return cause
	}
	return fmt.Errorf("%w: %w", cause, err)
}

// errNotStarted is the cause for an attempt that is aborted before the cutoff of its weights.
var errNotStarted = errors.New("the answer had not begun shortly before its weights are barred")

// abortNotStarted aborts an attempt whose response has not started before the cutoff of its weights.
func (a *attempt) abortNotStarted() { a.cancel(errNotStarted) }

// abortCauses are the causes for which this box aborts an attempt, except those of isSuperseded.
var abortCauses = []error{errPastCutoff, errNotStarted, errStopping, route.ErrQuarantined}

// isAborted reports whether this box aborted the attempt.
func isAborted(err error) bool {
	return isSuperseded(err) || slices.ContainsFunc(abortCauses, func(cause error) bool { return errors.Is(err, cause) })
}
