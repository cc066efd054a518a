package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func rejectedCaller(fingerprint Fingerprint, now time.Time, ago, left time.Duration) RejectedCaller {
	return RejectedCaller{Fingerprint: fingerprint, FirstRequestAt: now.Add(-ago), TimeoutAt: now.Add(left)}
}

func TestRejectedCallerIsRecognizedAtAnyBox(t *testing.T) {
	now := time.Unix(100, 0)
	var here, there RejectedCallers
	caller := rejectedCaller(7, now, 200*time.Millisecond, 5*time.Second)
	here.Record(caller, now)
	told, cursor := here.Since(0, RelayWithinCell)
	there.Merge(told, RelayWithinCell, now)
	back := now.Add(time.Second)
	for _, box := range []*RejectedCallers{&here, &there} {
		first, ok := box.FirstRequestAt(7, caller.TimeoutAt.Add(3*time.Millisecond), back)
		require.True(t, ok)
		require.Equal(t, caller.FirstRequestAt, first)
		_, ok = box.FirstRequestAt(7, caller.TimeoutAt.Add(time.Second), back)
		require.False(t, ok, "another one who asks for the same waits until another moment")
		_, ok = box.FirstRequestAt(8, caller.TimeoutAt, back)
		require.False(t, ok)
	}
	there.Record(RejectedCaller{Fingerprint: 7, FirstRequestAt: back, TimeoutAt: caller.TimeoutAt}, back)
	first, _ := there.FirstRequestAt(7, caller.TimeoutAt, back.Add(time.Second))
	require.Equal(t, caller.FirstRequestAt, first, "who is sent away twice first asked before the first time")
	told, again := here.Since(cursor, RelayWithinCell)
	require.Empty(t, told)
	require.Equal(t, cursor, again)
	told, _ = there.Since(0, RelayWithinCell)
	require.Len(t, told, 1, "what another box told is not told on")
}

func TestRejectedCallersExpireAtTheirTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	var r RejectedCallers
	for i := range 3 * maxRejectedCallers {
		r.Record(rejectedCaller(Fingerprint(i), now, 0, time.Second), now)
	}
	require.LessOrEqual(t, r.count, maxRejectedCallers)
	told, _ := r.Since(0, RelayWithinCell)
	require.Len(t, told, maxReportedCallers, "a box that was away is told the newest")
	now = now.Add(2 * time.Second)
	r.Record(rejectedCaller(1, now, 0, time.Second), now)
	require.Len(t, r.callers, 1)
	require.Equal(t, 1, r.count)
}

// On a day without any refusal nine of ten requests were taken for returned ones, as each
// caller waited for a time of its own.
func TestNewCallersWithDifferentTimeoutsAreNotRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(500, 20000).Draw(t, "timeout_ms")) * time.Millisecond
		spread := rapid.Float64Range(0, 0.4).Draw(t, "spread")
		hasty := rapid.Float64Range(0, 0.4).Draw(t, "hasty")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var patience CallerTimeoutEstimator
		for range 400 {
			// Some callers wait for less than others; one in five has been here before.
			remaining := time.Duration(float64(timeout) * (1 - spread*random.Float64()))
			if random.Float64() < hasty {
				remaining = remaining * 85 / 100
			}
			if random.Float64() < 0.2 {
				patience.Observe(time.Duration(0.4 * random.Float64() * float64(timeout)))
				continue
			}
			if waited := patience.Waited(remaining, timeout); waited > 0 {
				t.Fatalf("one who waits for %v is taken to have waited for %v", remaining, waited)
			}
			patience.Observe(remaining)
		}
		if waited := patience.Waited(timeout/10, timeout); waited == 0 {
			t.Fatal("one who has used nine tenths of its time is taken for a new one")
		}
	})
}

func TestShortRemainingTimeIdentifiesRetry(t *testing.T) {
	var patience CallerTimeoutEstimator
	require.Zero(t, patience.Waited(4*time.Second, 6*time.Second), "not known yet")
	require.Equal(t, 4*time.Second, patience.Waited(2*time.Second, 6*time.Second), "more than half of the route's time is over")
	for i := range 100 {
		patience.Observe(time.Duration(5100+9*i) * time.Millisecond)
	}
	require.Zero(t, patience.Waited(5100*time.Millisecond, 6*time.Second))
	require.InDelta(t, 3.55, patience.Waited(2*time.Second, 6*time.Second).Seconds(), 0.05, "from the median")
	// Callers that wait for a third as long from now on are first ones before long.
	for range callerTimeoutSamples {
		patience.Observe(2 * time.Second)
	}
	require.Zero(t, patience.Waited(2*time.Second, 6*time.Second))
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

// A box that hears of many callers of other cells remembers them itself, and tells its cell of some.
func TestRelayedCallersAreLimitedPerSecond(t *testing.T) {
	now := time.Unix(100, 0)
	ends := now.Add(time.Minute)
	var r RejectedCallers
	learn := func(from int, relay RelayDimension) {
		for i := range 2 * relaysPerSecond {
			r.Merge([]RejectedCaller{{Fingerprint: Fingerprint(from + i), FirstRequestAt: now, TimeoutAt: ends}}, relay, now)
		}
	}
	learn(0, 2)
	told, cursor := r.Since(0, RelayWithinCell)
	require.Len(t, told, relaysPerSecond)
	r.Record(rejectedCaller(9000, now, 0, time.Minute), now)
	told, cursor = r.Since(cursor, RelayWithinCell)
	require.Len(t, told, 1, "its own are told all the same")
	_, known := r.FirstRequestAt(Fingerprint(2*relaysPerSecond-1), ends, now.Add(time.Second))
	require.True(t, known)
	now = now.Add(time.Second)
	learn(0, 1)
	told, cursor = r.Since(cursor, RelayWithinCell)
	require.Empty(t, told, "what comes again is not told on again")
	learn(1000, RelayWithinCell)
	told, cursor = r.Since(cursor, RelayWithinCell)
	require.Empty(t, told, "a box of the cell tells all others of it itself")
	learn(2000, 2)
	told, _ = r.Since(cursor, 2)
	require.Empty(t, told, "nothing goes back on the way on which it came")
	told, _ = r.Since(cursor, 1)
	require.Len(t, told, relaysPerSecond)
}
