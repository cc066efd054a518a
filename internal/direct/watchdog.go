package direct

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// watchdog monitors the progress of one attempt. It aborts a stalled attempt only after it has reserved a slot
// on another server; until then the attempt continues.
type watchdog struct {
	ctx context.Context
	// cancel aborts the attempt with a cause.
	cancel context.CancelCauseFunc

	mu              sync.Mutex
	timer           clockwork.Timer
	stopped         bool
	nextReservation *route.Reservation
}

const (
	// streamStallTimeout is how long the next event of a stream may take before the stream may be resumed at
	// another server. A step of a full batch takes a tenth of it; callers give up after a multiple of it.
	streamStallTimeout = 800 * time.Millisecond
	// firstEventTimeout replaces streamStallTimeout for the first event, which has to wait for the prefill of
	// earlier prompts.
	firstEventTimeout = 1200 * time.Millisecond
	// retryElsewhereFraction is the part of the remaining time after which a repeatable request may be sent to
	// another server.
	retryElsewhereFraction = 0.4
	// watchdogRetryDelay is the delay between two tries to reserve a slot on another server.
	watchdogRetryDelay = 150 * time.Millisecond
)

// startWatchdog starts to monitor an attempt. A request that must not be repeated is limited by its deadline
// only.
func (s *CallerServer) startWatchdog(ctx context.Context, x *exchange, tried []fleet.ServerID) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxAttempts {
		return w
	}
	req := s.slotRequest(x, tried, true)
	dispatcher, budget := s.dispatcher(x.service), s.retryBudget(x.service)
	timeout := time.Duration(retryElsewhereFraction * float64(x.deadline.Sub(s.clock.Now())))
	if x.route.Kind == fleet.KindStream {
		timeout = min(timeout, firstEventTimeout)
	}
	id := x.ID
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = s.clock.AfterFunc(timeout, func() {
		reservation, err := dispatcher.Acquire(w.ctx, req, s.clock)
		if err != nil {
			w.extend(watchdogRetryDelay)
			return
		}
		if !budget.AllowRetry(s.retryExtra(), s.clock.Now()) || !w.setNextReservation(reservation) {
			reservation.Release(route.ResultAbandoned, s.clock.Now())
			return
		}
		s.log.Info().Str("request", id).Str("server", string(reservation.Server.ID)).Msg("no progress, going on at another server")
		w.cancel(errNoProgress)
	})
	return w
}

// Causes for which the box aborts an attempt.
var (
	errNoProgress = errors.New("attempt made no progress")
	errNotStarted = errors.New("the answer had not begun shortly before its weights are barred")
)

// abortNotStarted aborts an attempt whose response has not started before the cutoff of its weights.
func (w *watchdog) abortNotStarted() { w.cancel(errNotStarted) }

// withCause adds the cause to err if the box aborted the attempt.
func (w *watchdog) withCause(err error) error {
	if cause := context.Cause(w.ctx); isAborted(cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// isAborted reports whether this box aborted the attempt.
func isAborted(err error) bool {
	return errors.Is(err, errPastCutoff) || errors.Is(err, errNotStarted) || errors.Is(err, errNoProgress)
}

// extend restarts the timer of the watchdog with a timeout.
func (w *watchdog) extend(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped && w.nextReservation == nil {
		w.timer.Reset(timeout)
	}
}

// setNextReservation stores the reservation for the next attempt. It returns false if the attempt has ended.
func (w *watchdog) setNextReservation(reservation *route.Reservation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.nextReservation != nil {
		return false
	}
	w.nextReservation = reservation
	return true
}

// stop stops monitoring and returns the reservation for the next attempt, or nil if there is none or no attempt
// follows.
func (w *watchdog) stop(result outcome, now time.Time) *route.Reservation {
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.nextReservation != nil && result != outcomeUnknown && result != outcomeStreamBroken && result != outcomeNotExecuted {
		w.nextReservation.Release(route.ResultAbandoned, now)
		return nil
	}
	return w.nextReservation
}
