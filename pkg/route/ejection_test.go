package route

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against excluding a server for seconds because several connections to it failed in one short silence.
func TestAttemptsThatFailTogetherEjectServerOnce(t *testing.T) {
	for _, attempts := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			b := newTestDispatcher(false, modelServer("a", 8, 0))
			var sent []*Reservation
			for range attempts {
				sent = append(sent, b.acquire(t))
				b.clock.Advance(10 * time.Millisecond)
			}
			b.clock.Advance(400 * time.Millisecond)
			firstFailure := b.clock.Now()
			for _, reservation := range sent {
				reservation.Release(ResultUnreachable, b.clock.Now())
				b.clock.Advance(10 * time.Millisecond)
			}
			_, err := b.Acquire(context.Background(), b.request(), b.clock)
			require.ErrorIs(t, err, ErrNoServer)
			b.clock.Advance(serverEjectInitial - b.clock.Since(firstFailure))
			b.acquire(t).Release(ResultDone, b.clock.Now())
		})
	}
}

// Guards against sending requests to a dead server as often as to one that was unreachable once.
func TestServerThatStaysUnreachableIsEjectedForLonger(t *testing.T) {
	b := newTestDispatcher(false, modelServer("a", 8, 0))
	for _, want := range []time.Duration{serverEjectInitial, 2 * serverEjectInitial, 4 * serverEjectInitial, serverEjectMax, serverEjectMax} {
		first, second := b.acquire(t), b.acquire(t)
		b.clock.Advance(400 * time.Millisecond)
		first.Release(ResultUnreachable, b.clock.Now())
		second.Release(ResultUnreachable, b.clock.Now())
		b.clock.Advance(want - time.Millisecond)
		_, err := b.Acquire(context.Background(), b.request(), b.clock)
		require.ErrorIs(t, err, ErrNoServer)
		b.clock.Advance(time.Millisecond)
	}
}
