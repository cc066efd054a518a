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

// guard watches one attempt that makes no progress. It breaks the attempt off
// only once it has a place on another server; until then waiting on is better.
type guard struct {
	ctx context.Context
	// cancel breaks the attempt off for a reason.
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer clockwork.Timer
	ended bool
	next  *route.Reservation
}

const (
	// streamPatience is how long a stream's next event is waited for before the
	// stream may go on at another server. Steps of a full batch take a tenth of
	// it; callers give up after a multiple of it.
	streamPatience = 800 * time.Millisecond
	// firstPatience is the same for the first event, which waits for the prompts
	// that are read before it.
	firstPatience = 1200 * time.Millisecond
	// repeatablePart is the part of the remaining time after which a repeatable
	// request may be tried elsewhere.
	repeatablePart = 0.4
	// guardRetry is how soon a place elsewhere is looked for again.
	guardRetry = 150 * time.Millisecond
)

// watch starts to guard an attempt. One that can't be repeated is only bounded by
// its deadline.
func (f *Front) watch(ctx context.Context, x *exchange, tried []fleet.ServerID) *guard {
	g := &guard{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxAttempts {
		return g
	}
	ask := f.ask(x, tried, true)
	dispatcher, budget := f.dispatcher(x.service), f.budget(x.service)
	patience := time.Duration(repeatablePart * float64(x.deadline.Sub(f.clock.Now())))
	if x.route.Kind == fleet.KindStream {
		patience = min(patience, firstPatience)
	}
	id := x.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = f.clock.AfterFunc(patience, func() {
		place, err := dispatcher.Acquire(g.ctx, ask, f.clock)
		if err != nil {
			g.progress(guardRetry)
			return
		}
		if !budget.AllowRetry(f.retryExtra(), f.clock.Now()) || !g.take(place) {
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
	errNotBegun   = errors.New("the answer had not begun shortly before its weights are barred")
)

// giveUp breaks off an attempt that has not begun in time for its weights.
func (g *guard) giveUp() { g.cancel(errNotBegun) }

// reason is err with why the attempt was broken off, if it was.
func (g *guard) reason(err error) error {
	if cause := context.Cause(g.ctx); isGivenUp(cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// isGivenUp reports whether the box itself ended the attempt.
func isGivenUp(err error) bool {
	return errors.Is(err, errBarred) || errors.Is(err, errNotBegun) || errors.Is(err, errNoProgress)
}

// progress gives the attempt more time.
func (g *guard) progress(patience time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil && !g.ended && g.next == nil {
		g.timer.Reset(patience)
	}
}

// take keeps the place for the next attempt; false if the attempt has ended.
func (g *guard) take(place *route.Reservation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.next != nil {
		return false
	}
	g.next = place
	return true
}

// end ends watching and returns the place for the next attempt, if there is to be
// one and it is had already.
func (g *guard) end(result outcome, now time.Time) *route.Reservation {
	g.cancel(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.timer != nil {
		g.timer.Stop()
	}
	if g.next != nil && result != outcomeUnknown && result != outcomeBroken && result != outcomeNotRun {
		g.next.Release(route.ResultAbandoned, now)
		return nil
	}
	return g.next
}
