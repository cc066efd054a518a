package direct

import (
	"context"
	"errors"
	"time"

	"github.com/cinderslip/cinderslip/pkg/route"
)

// maxRetryWait is how long a request waits for the retry budget. It is also limited to half of the remaining time.
const maxRetryWait = time.Second

// errRetryBudget reports that the retry budget allows no further attempt.
var errRetryBudget = errors.New("retry budget is spent")

// retryCause is why a request is sent again, as logs and metrics give it.
type retryCause string

// The causes of retries.
const (
	retryAfterFailure  retryCause = "failed"
	retryDuringSilence retryCause = "silent"
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
	if err := s.checkQuarantine(ctx, x); err != nil {
		return nil, nil, err
	}
	if x.attempts == 0 {
		reservation, err := s.acquireSlot(ctx, x, x.group.tried)
		return reservation, nil, err
	}
	kind := retryKind{retryAfterFailure, x.started, x.suspect}
	for {
		if err := s.awaitRetry(ctx, x, kind); err != nil {
			return nil, nil, err
		}
		reservation, err := s.acquireSlot(ctx, x, x.group.tried)
		if err != nil {
			return nil, nil, err
		}
		// The retry is taken last, because it counts from now until it arrives.
		if retry := s.takeRetry(x, kind); retry != nil {
			return reservation, retry, nil
		}
		reservation.Release(route.ResultAbandoned, s.clock.Now())
	}
}

// awaitRetry waits until the budget has a retry. It returns errRetryBudget at once if that would take too long.
func (s *CallerServer) awaitRetry(ctx context.Context, x *exchange, kind retryKind) error {
	budget := s.retryBudget(x.service)
	for {
		now := s.clock.Now()
		delay := budget.RetryDelay(s.allowance(), kind.priority(), now)
		if delay == 0 {
			return nil
		}
		if x.retryWaited+delay > min(maxRetryWait, x.deadline.Sub(now)/2) {
			s.noteRetry(x, kind, "denied")
			return errRetryBudget
		}
		budget.AddWaiting(1)
		sleep(ctx, s.clock, delay)
		budget.AddWaiting(-1)
		x.retryWaited += s.clock.Since(now)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// takeRetry takes a retry from the budget, and counts and logs the decision. It returns nil if there is none.
func (s *CallerServer) takeRetry(x *exchange, kind retryKind) *route.Retry {
	retry := s.retryBudget(x.service).TakeRetry(s.allowance(), kind.priority(), s.clock.Now())
	result := "allowed"
	if retry == nil {
		result = "denied"
	}
	s.noteRetry(x, kind, result)
	return retry
}

// noteRetry counts and logs a decision on a retry.
func (s *CallerServer) noteRetry(x *exchange, kind retryKind, result string) {
	s.metrics.retries.WithLabelValues(string(x.service), string(kind.cause), result).Inc()
	s.log.Info().Str("request", x.ID).Str("service", string(x.service)).Str("cause", string(kind.cause)).Bool("started", kind.started).
		Bool("suspect", kind.suspect).Str("result", result).Float64("share", s.allowance().Share).Msg("retry")
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
	claim := s.retryShares.Update(entries.membership.RetryClaims(), entries.knowsFleet(s.started), now)
	entries.membership.SetRetryClaim(claim)
	allowance := s.retryShares.Allowance(s.retries.Extra)
	s.retryAllowance.Store(&allowance)
	if allowance.Share != before.Share {
		s.log.Info().Float64("share", allowance.Share).Float64("previous_share", before.Share).Float64("extra", s.retries.Extra).
			Uint32("claim", uint32(claim)).Msg("share of the extra retries changed")
	}
}
