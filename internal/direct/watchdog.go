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

// watchdog watches one attempt that makes no progress. It breaks the attempt off
// only once it has a place on another server; until then waiting on is better.
type watchdog struct {
	ctx context.Context
	// cancel breaks the attempt off for a reason.
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    clockwork.Timer
	ended    bool
	nextSlot *route.Reservation
}

const (
	// streamStallTimeout is how long a stream's next event is waited for before the
	// stream may go on at another server. Steps of a full batch take a tenth of
	// it; callers give up after a multiple of it.
	streamStallTimeout = 800 * time.Millisecond
	// firstEventTimeout is the same for the first event, which waits for the prompts
	// that are read before it.
	firstEventTimeout = 1200 * time.Millisecond
	// retryElsewhereFraction is the part of the remaining time after which a repeatable
	// request may be tried elsewhere.
	retryElsewhereFraction = 0.4
	// watchdogRetryDelay is how soon a place elsewhere is looked for again.
	watchdogRetryDelay = 150 * time.Millisecond
)

// startWatchdog starts to guard an attempt. One that can't be repeated is only bounded by
// its deadline.
func (f *CallerServer) startWatchdog(ctx context.Context, x *exchange, tried []fleet.ServerID) *watchdog {
	g := &watchdog{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxAttempts {
		return g
	}
	ask := f.slotRequest(x, tried, true)
	dispatcher, budget := f.dispatcher(x.service), f.retryBudget(x.service)
	patience := time.Duration(retryElsewhereFraction * float64(x.deadline.Sub(f.clock.Now())))
	if x.route.Kind == fleet.KindStream {
		patience = min(patience, firstEventTimeout)
	}
	id := x.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = f.clock.AfterFunc(patience, func() {
		place, err := dispatcher.Acquire(g.ctx, ask, f.clock)
		if err != nil {
			g.extend(watchdogRetryDelay)
			return
		}
		if !budget.AllowRetry(f.retryExtra(), f.clock.Now()) || !g.setNextSlot(place) {
			place.Release(route.ResultAbandoned, f.clock.Now())
			return
		}
		f.log.Info().Str("request", id).Str("server", string(place.Server.ID)).Msg("no progress, going on at another server")
		g.cancel(errNoProgress)
	})
	return g
}

// The reasons for which an attempt is broken off.
var (
	errNoProgress = errors.New("the attempt made no progress")
	errNotStarted = errors.New("the answer had not begun shortly before its weights are barred")
)

// abortNotStarted breaks off an attempt that has not begun in time for its weights.
func (g *watchdog) abortNotStarted() { g.cancel(errNotStarted) }

// withCause is err with why the attempt was broken off, if it was.
func (g *watchdog) withCause(err error) error {
	if cause := context.Cause(g.ctx); isAborted(cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// isAborted reports whether the box itself ended the attempt.
func isAborted(err error) bool {
	return errors.Is(err, errPastCutoff) || errors.Is(err, errNotStarted) || errors.Is(err, errNoProgress)
}

// extend gives the attempt more time.
func (g *watchdog) extend(patience time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil && !g.ended && g.nextSlot == nil {
		g.timer.Reset(patience)
	}
}

// setNextSlot keeps the place for the next attempt; false if the attempt has ended.
func (g *watchdog) setNextSlot(place *route.Reservation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.nextSlot != nil {
		return false
	}
	g.nextSlot = place
	return true
}

// stop ends watching and returns the place for the next attempt, if there is to be
// one and it is had already.
func (g *watchdog) stop(result outcome, now time.Time) *route.Reservation {
	g.cancel(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.timer != nil {
		g.timer.Stop()
	}
	if g.nextSlot != nil && result != outcomeUnknown && result != outcomeStreamBroken && result != outcomeNotExecuted {
		g.nextSlot.Release(route.ResultAbandoned, now)
		return nil
	}
	return g.nextSlot
}
