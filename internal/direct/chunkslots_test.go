package direct

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against chunks of a newer version that delay those of the version that servers need first.
func TestChunksOfEarlierVersionAreSentFirst(t *testing.T) {
	slots := newChunkSlots(1)
	require.NoError(t, slots.acquire(t.Context(), true))
	order := make(chan string, 3)
	wait := func(ctx context.Context, name string, deferred bool) {
		go func() {
			if slots.acquire(ctx, deferred) != nil {
				name += " canceled"
			}
			order <- name
		}()
		require.Eventually(t, func() bool {
			slots.mu.Lock()
			defer slots.mu.Unlock()
			return len(slots.normal)+len(slots.deferred) > 0
		}, time.Second, time.Millisecond)
	}
	canceled, cancel := context.WithCancel(t.Context())
	wait(canceled, "newer", true)
	cancel()
	require.Equal(t, "newer canceled", <-order)
	wait(t.Context(), "newer", true)
	go func() {
		_ = slots.acquire(t.Context(), false)
		order <- "older"
	}()
	require.Eventually(t, func() bool {
		slots.mu.Lock()
		defer slots.mu.Unlock()
		return len(slots.normal) == 1 && len(slots.deferred) == 1
	}, time.Second, time.Millisecond)
	slots.release()
	require.Equal(t, "older", <-order)
	slots.release()
	require.Equal(t, "newer", <-order)
	slots.release()
	require.Equal(t, 1, slots.free, "a canceled request holds no slot")
}
