package direct

import (
	"context"
	"errors"
	"time"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// maxRetryWait is how long a request waits for the retry budget at most during the RetryLimits.StartTime of the process, while
// it must not use its whole share. Later requests do not wait: a caller that retries itself is served sooner.
const maxRetryWait = 3 * time.Second

// retryCheckInterval is the time between two checks whether a waiting request may be repeated: those that wait before it may
// leave at any time.
const retryCheckInterval = 50 * time.Millisecond

// errRetryBudget reports that the retry budget allows no further attempt.
var errRetryBudget = errors.New("retry budget is spent")

// retryCause is why a request is sent again, as logs and metrics give it.
type retryCause string

// The causes of retries.
const (
	retryAfterFailure  retryCause = "failed"
	retryDuringSilence retryCause = "silent"
)

// retryResult is a decision of the retry budget, as logs and metrics give it.
type retryResult string

// The decisions of the retry budget.
const (
	retryAllowed retryResult = "allowed"
	retryDenied  retryResult = "denied"
)

// retryKind describes a retry. started is set if the response has started, suspect if the request may have caused a server
// to exit.
type retryKind struct {
	cause            retryCause
	started, suspect bool
}

// priority returns the priority of a retry. A request whose response has started is treated as sound: servers that exit
// under a request do so before they send any of the response.
func (k retryKind) priority() route.RetryPriority {
	switch {
	case k.started:
		return route.RetryStarted
	case k.suspect:
		return route.RetrySuspect
	case k.cause == retryDuringSilence:
		return route.RetrySilent
	}
	return route.RetryFailed
}

// nextReservation returns a slot for the next attempt while no attempt runs, and the retry if it is not the first.
func (s *CallerServer) nextReservation(ctx context.Context, x *exchange) (*route.Reservation, *route.Retry, error) {
	if cause := context.Cause(ctx); errors.Is(cause, errStopping) {
		return nil, nil, cause
	}
	if err := s.checkQuarantine(ctx, x); err != nil {
		return nil, nil, err
	}
	if x.attempts == 0 {
		reservation, err := s.acquireSlot(ctx, x, x.group.tried)
		return reservation, nil, err
	}
	kind := retryKind{retryAfterFailure, x.started, x.suspect}
	retry, err := s.awaitRetry(ctx, x, kind)
	if err != nil {
		return nil, nil, err
	}
	reservation, err := s.acquireSlot(ctx, x, x.group.tried)
	if err != nil {
		retry.Cancel(s.clock.Now())
		return nil, nil, err
	}
	return reservation, retry, nil
}

// awaitRetry takes a retry from the budget, and waits for it if necessary. It returns errRetryBudget at once if that would
// take too long.
func (s *CallerServer) awaitRetry(ctx context.Context, x *exchange, kind retryKind) (*route.Retry, error) {
	budget, startedAt := s.retryBudget(x.service), s.clock.Now()
	longest := min(s.retryWaitLimit(budget, startedAt), x.deadline.Sub(startedAt)/2)
	retry, delay := budget.TakeRetry(s.allowance(), kind.priority(), startedAt)
	if retry == nil && delay <= longest {
		ticket := budget.AddWaiting()
		defer budget.RemoveWaiting(ticket)
		for retry == nil && s.clock.Since(startedAt)+delay <= longest && ctx.Err() == nil {
			sleep(ctx, s.clock, min(delay, retryCheckInterval))
			retry, delay = budget.TakeWaiting(ticket, s.allowance(), kind.priority(), s.clock.Now())
		}
	}
	if retry == nil {
		budget.DenyRetry(s.clock.Now())
		s.noteRetry(x, kind, retryDenied)
		return nil, errRetryBudget
	}
	s.noteRetry(x, kind, retryAllowed)
	return retry, nil
}

// retryWaitLimit returns how long a request waits for the retry budget at most.
func (s *CallerServer) retryWaitLimit(budget *route.WindowRetryBudget, now time.Time) time.Duration {
	if now.Sub(s.started) < s.retries.StartTime() && budget.MayWait(now) {
		return maxRetryWait
	}
	return 0
}

// noteRetry counts and logs a decision on a retry.
func (s *CallerServer) noteRetry(x *exchange, kind retryKind, result retryResult) {
	s.metrics.retries.WithLabelValues(string(x.service), string(kind.cause), string(result)).Inc()
	s.log.Info().Str("request", x.ID).Str("service", string(x.service)).Str("cause", string(kind.cause)).Bool("started", kind.started).
		Bool("suspect", kind.suspect).Str("result", string(result)).Float64("share", s.allowance().Share).Msg("retry")
}

// allowance returns this box's part of the extra retries of all entry boxes.
func (s *CallerServer) allowance() route.RetryAllowance {
	if allowance := s.retryAllowance.Load(); allowance != nil {
		return *allowance
	}
	return route.RetryAllowance{}
}

// updateRetryAllowance updates the box's share of the extra retries and publishes its claim to the other boxes.
func (s *CallerServer) updateRetryAllowance(now time.Time) {
	entries := s.entries.Load()
	if entries == nil {
		return
	}
	before := s.allowance()
	isComplete := s.retryShares.IsComplete() || entries.knowsFleet(s.started, s.retries.StartTime())
	claim := s.retryShares.Update(entries.membership.RetryClaims(), entries.membership.EarlierFleetBoxes(), isComplete, now)
	entries.membership.SetRetryClaim(claim)
	allowance := s.retryShares.Allowance(s.retries.Extra)
	s.retryAllowance.Store(&allowance)
	if allowance.Share != before.Share {
		s.log.Info().Float64("share", allowance.Share).Float64("previous_share", before.Share).Float64("extra", s.retries.Extra).
			Uint32("claim", uint32(claim)).Msg("share of the extra retries changed")
	}
}
