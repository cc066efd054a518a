package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// respond runs one request of a length to completion on a server of the dispatcher, with one event every usualGap.
func (b *testDispatcher) respond(t *testing.T, length ResponseLength, events int) {
	t.Helper()
	req := b.request()
	req.Decode, req.Length = time.Second, length
	r, err := b.Acquire(t.Context(), req, b.clock)
	require.NoError(t, err)
	r.Started(b.clock.Now())
	for range events {
		b.clock.Advance(usualGap)
		r.EventsReceived(1, b.clock.Now())
		r.AwaitEvents(b.clock.Now())
	}
	r.Release(ResultDone, b.clock.Now())
}

// Guards against an expected work that follows hints which are far off. The spread is that of
// docs/contributors/hard-load.md; the hints are too large by a factor of 8.
func TestObservedLengthsCorrectHints(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 12, 1))
	random := rand.New(rand.NewPCG(1, 1))
	const mean, spread, hint = 21.0, 1.2, 8 * 147
	length := ResponseLength{Route: "summary", Hint: hint}
	sum := 0
	estimate := 8 * time.Second
	require.Equal(t, estimate, b.ExpectedDecode(length, estimate), "no response is known")
	for range 400 {
		events := max(1, int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
		sum += events
		b.respond(t, length, events)
	}
	observed := time.Duration(sum) * usualGap / 400
	require.InEpsilon(t, float64(observed), float64(b.ExpectedDecode(length, estimate)), 0.25)
	require.Equal(t, estimate, b.ExpectedDecode(ResponseLength{Route: "summary"}, estimate), "requests without a hint differ")
	require.Equal(t, estimate, b.ExpectedDecode(ResponseLength{Route: "other", Hint: hint}, estimate))
	require.Zero(t, b.ExpectedDecode(length, 0), "a service without an engine")
}

// Guards against a resumed response that counts as a whole one, and against one that counts as complete because it is
// longer than usual: by a log-normal distribution, a long response lacks more than a new one.
func TestDeliveredEventsReduceExpectedWork(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 12, 1))
	for range minLengths {
		b.respond(t, ResponseLength{Route: "summary"}, 10)
		b.respond(t, ResponseLength{Route: "summary"}, 100)
	}
	expected := func(delivered int) time.Duration {
		return b.ExpectedDecode(ResponseLength{Route: "summary", Delivered: delivered}, time.Second)
	}
	require.Less(t, expected(5), expected(0))
	require.Greater(t, expected(20), expected(5), "the short ones have ended")
	require.Less(t, expected(80), expected(20))
	require.Equal(t, usualGap, expected(10_000))
}

// Guards against a resumed response whose rest is recorded as a short one, and against truncated responses that are
// recorded as complete.
func TestWholeLengthOfResumedResponseIsRecorded(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 12, 1))
	for range minLengths {
		b.respond(t, ResponseLength{Route: "summary", Delivered: 90}, 10)
	}
	require.InEpsilon(t, float64(100*usualGap), float64(b.ExpectedDecode(ResponseLength{Route: "summary"}, time.Second)), 0.25)
	r := b.acquire(t)
	r.decode, r.events, r.length = time.Second, 5, ResponseLength{Route: "truncated"}
	r.Release(ResultFailed, b.clock.Now())
	require.NotContains(t, b.lengths.routes, "truncated")
}

// Guards against memory or a work without a bound for routes, hints and lengths that nobody expects.
func TestExpectedWorkIsBoundedForAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lengths responseLengths
		for range rapid.IntRange(1, 300).Draw(t, "responses") {
			route := fmt.Sprint(rapid.IntRange(0, 200).Draw(t, "route"))
			hint, events := rapid.Int().Draw(t, "hint"), rapid.Int().Draw(t, "events")
			lengths.record(route, hint, events)
			for range minLengths {
				lengths.record(route, hint, events)
			}
			remaining, ok := lengths.remaining(route, hint, rapid.Int().Draw(t, "delivered"))
			if !ok || !(remaining > 0) || math.IsInf(remaining, 0) {
				t.Fatalf("remaining %v, known %v", remaining, ok)
			}
			if len(lengths.routes) > maxLengthRoutes {
				t.Fatalf("%d routes", len(lengths.routes))
			}
		}
	})
}

// Guards against an estimate that keeps following the past: responses of a route may become longer with new weights.
func TestExpectedWorkFollowsChange(t *testing.T) {
	var lengths responseLengths
	for range 10 * maxLengths {
		lengths.record("summary", 0, 10)
	}
	for range 3 * maxLengths {
		lengths.record("summary", 0, 100)
	}
	remaining, ok := lengths.remaining("summary", 0, 0)
	require.True(t, ok)
	require.InEpsilon(t, 100, remaining, 0.25)
}
