package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rejectedCaller returns a caller that sent its first request some time ago and times out after the remaining time.
func rejectedCaller(fingerprint Fingerprint, now time.Time, ago, remaining time.Duration) RejectedCaller {
	return RejectedCaller{Fingerprint: fingerprint, FirstRequestAt: now.Add(-ago), TimeoutAt: now.Add(remaining)}
}

func TestRejectedCallerIsRecognizedAtAnyBox(t *testing.T) {
	now := time.Unix(100, 0)
	var local, peer RejectedCallers
	caller := rejectedCaller(7, now, 200*time.Millisecond, 5*time.Second)
	local.Record(caller, now)
	reported, cursor := local.Since(0, RelayWithinCell)
	peer.Merge(reported, RelayWithinCell, now)
	retryAt := now.Add(time.Second)
	for _, box := range []*RejectedCallers{&local, &peer} {
		first, ok := box.FirstRequestAt(7, caller.TimeoutAt.Add(3*time.Millisecond), retryAt)
		require.True(t, ok)
		require.Equal(t, caller.FirstRequestAt, first)
		_, ok = box.FirstRequestAt(7, caller.TimeoutAt.Add(time.Second), retryAt)
		require.False(t, ok, "another caller with the same fingerprint has another timeout")
		_, ok = box.FirstRequestAt(8, caller.TimeoutAt, retryAt)
		require.False(t, ok)
	}
	peer.Record(RejectedCaller{Fingerprint: 7, FirstRequestAt: retryAt, TimeoutAt: caller.TimeoutAt}, retryAt)
	first, _ := peer.FirstRequestAt(7, caller.TimeoutAt, retryAt.Add(time.Second))
	require.Equal(t, caller.FirstRequestAt, first, "the first request of a caller that was rejected twice is the earlier one")
	reported, next := local.Since(cursor, RelayWithinCell)
	require.Empty(t, reported)
	require.Equal(t, cursor, next)
	reported, _ = peer.Since(0, RelayWithinCell)
	require.Len(t, reported, 1, "a caller reported within the cell is not relayed")
}

func TestRejectedCallersExpireAtTheirTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	var r RejectedCallers
	for i := range 3 * maxRejectedCallers {
		r.Record(rejectedCaller(Fingerprint(i), now, 0, time.Second), now)
	}
	require.LessOrEqual(t, r.count, maxRejectedCallers)
	reported, _ := r.Since(0, RelayWithinCell)
	require.Len(t, reported, maxReportedCallers, "a box that was disconnected receives the latest callers")
	now = now.Add(2 * time.Second)
	r.Record(rejectedCaller(1, now, 0, time.Second), now)
	require.Len(t, r.callers, 1)
	require.Equal(t, 1, r.count)
}

// Guards against counting new requests as retries because timeouts differ among callers. This happened to nine of ten
// requests on a day without any rejection.
func TestNewCallersWithDifferentTimeoutsAreNotRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(500, 20000).Draw(t, "timeout_ms")) * time.Millisecond
		spread := rapid.Float64Range(0, 0.4).Draw(t, "spread")
		shortTimeouts := rapid.Float64Range(0, 0.4).Draw(t, "short timeouts")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var estimator CallerTimeoutEstimator
		for range 400 {
			// Some callers have shorter timeouts than others; one in five requests is a retry.
			remaining := time.Duration(float64(timeout) * (1 - spread*random.Float64()))
			if random.Float64() < shortTimeouts {
				remaining = remaining * 85 / 100
			}
			if random.Float64() < 0.2 {
				estimator.Observe(time.Duration(0.4 * random.Float64() * float64(timeout)))
				continue
			}
			if waited := estimator.Waited(remaining, timeout); waited > 0 {
				t.Fatalf("new request with remaining time %v counts as a retry after %v", remaining, waited)
			}
			estimator.Observe(remaining)
		}
		if waited := estimator.Waited(timeout/10, timeout); waited == 0 {
			t.Fatal("request with a tenth of its time remaining counts as new")
		}
	})
}

func TestShortRemainingTimeIdentifiesRetry(t *testing.T) {
	var estimator CallerTimeoutEstimator
	require.Zero(t, estimator.Waited(4*time.Second, 6*time.Second), "no samples yet")
	require.Equal(t, 4*time.Second, estimator.Waited(2*time.Second, 6*time.Second), "less than half of the route's timeout remains")
	for i := range 100 {
		estimator.Observe(time.Duration(5100+9*i) * time.Millisecond)
	}
	require.Zero(t, estimator.Waited(5100*time.Millisecond, 6*time.Second))
	require.InDelta(t, 3.55, estimator.Waited(2*time.Second, 6*time.Second).Seconds(), 0.05, "measured from the median")
	// The estimate adapts when all callers have a shorter timeout from now on.
	for range callerTimeoutSamples {
		estimator.Observe(2 * time.Second)
	}
	require.Zero(t, estimator.Waited(2*time.Second, 6*time.Second))
}

func BenchmarkRejectedCallers(b *testing.B) {
	now := time.Unix(100, 0)
	var r RejectedCallers
	for i := range 2000 {
		r.Merge([]RejectedCaller{rejectedCaller(Fingerprint(i), now, 0, time.Minute)}, RelayWithinCell, now)
	}
	b.ReportAllocs()
	for i := range b.N {
		r.FirstRequestAt(Fingerprint(i%4000), now.Add(time.Minute), now)
	}
}

// A box that receives many callers of other cells records all of them, and relays a limited number to its own cell.
func TestRelayedCallersAreLimitedPerSecond(t *testing.T) {
	now := time.Unix(100, 0)
	timeoutAt := now.Add(time.Minute)
	var r RejectedCallers
	merge := func(firstFingerprint int, dimension RelayDimension) {
		for i := range 2 * relaysPerSecond {
			r.Merge([]RejectedCaller{{Fingerprint: Fingerprint(firstFingerprint + i), FirstRequestAt: now, TimeoutAt: timeoutAt}}, dimension, now)
		}
	}
	merge(0, 2)
	reported, cursor := r.Since(0, RelayWithinCell)
	require.Len(t, reported, relaysPerSecond)
	r.Record(rejectedCaller(9000, now, 0, time.Minute), now)
	reported, cursor = r.Since(cursor, RelayWithinCell)
	require.Len(t, reported, 1, "callers that the box rejected itself are always reported")
	_, known := r.FirstRequestAt(Fingerprint(2*relaysPerSecond-1), timeoutAt, now.Add(time.Second))
	require.True(t, known)
	now = now.Add(time.Second)
	merge(0, 1)
	reported, cursor = r.Since(cursor, RelayWithinCell)
	require.Empty(t, reported, "known callers are not relayed again")
	merge(1000, RelayWithinCell)
	reported, cursor = r.Since(cursor, RelayWithinCell)
	require.Empty(t, reported, "callers of the own cell are not relayed, as each box reports to all boxes of its cell")
	merge(2000, 2)
	reported, _ = r.Since(cursor, 2)
	require.Empty(t, reported, "callers are not reported in the dimension in which they were received")
	reported, _ = r.Since(cursor, 1)
	require.Len(t, reported, relaysPerSecond)
}
