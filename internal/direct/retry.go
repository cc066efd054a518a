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

// allowance returns this box's part of the retries that all entry boxes together may make beyond the ratio. A box that has
// just started knows neither the other boxes nor the retries that it made before the start.
func (s *CallerServer) allowance() route.RetryAllowance {
	if s.clock.Since(s.started) < s.retries.Window {
		own := s.retries.Extra / float64(max(assumedBoxesAtStart, s.entryBoxCount()))
		return route.RetryAllowance{Share: own, AtStart: own}
	}
	return route.RetryAllowance{Share: s.retries.Extra / float64(s.entryBoxCount()) * retrySafety}
}

// assumedBoxesAtStart is the minimum number of entry boxes among which a box that has just started divides the
// shared retries, as it may not know all boxes yet.
const assumedBoxesAtStart = 64

// retrySafety is the part of the shared retry budget that is used. It compensates for the delay with which
// boxes notice that others start or stop.
const retrySafety = 0.7
