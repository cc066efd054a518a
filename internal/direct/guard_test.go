package direct

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func newTestGuard(t *testing.T) *guard {
	g := &guard{}
	g.ctx, g.cancel = context.WithCancel(t.Context())
	return g
}

// The server was given a deadline that ended with its weights, so that every stream
// that ran then was cut.
func TestAnAnswerThatHasBegunGoesOnWhenItsWeightsAreBarred(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := newTestGuard(t)
	g.beginBy(clock.Now().Add(time.Second), clock)
	clock.Advance(900 * time.Millisecond)
	g.begun()
	clock.Advance(time.Minute)
	require.Never(t, func() bool { return g.ctx.Err() != nil }, 20*time.Millisecond, time.Millisecond)
}

func TestAnAnswerThatHasNotBegunWhenItsWeightsAreBarredIsGivenUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := newTestGuard(t)
	g.beginBy(clock.Now().Add(time.Second), clock)
	clock.Advance(time.Second)
	require.Eventually(t, func() bool { return g.ctx.Err() != nil }, 10*time.Second, time.Millisecond)
}

func TestAnAttemptThatEndedIsNotGivenUpLater(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := newTestGuard(t)
	cancelled := 0
	g.cancel = func() { cancelled++ }
	g.beginBy(clock.Now().Add(time.Second), clock)
	g.end(outcomeDone, clock.Now())
	clock.Advance(time.Minute)
	require.Equal(t, 1, cancelled)
}
