package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// limitedServer returns a plain server with a rate limit.
func limitedServer(id fleet.ServerID, perSecond float64) fleet.Server {
	server := plainServer(id, 1)
	server.Limit = fleet.RateLimit{Set: true, PerSecond: perSecond}
	return server
}

// newLimitedDispatcher returns a plainDispatcher with a seeded source of random numbers.
func newLimitedDispatcher(t *testing.T, servers ...fleet.Server) *plainDispatcher {
	t.Helper()
	w := newPlainDispatcher(t)
	w.d.random = rand.New(rand.NewPCG(1, 1)).Float64 //nolint:gosec // deterministic test input
	w.setServers(servers...)
	return w
}

// serveFor submits a request every 10 ms and completes it immediately. It returns the number of requests that each
// server received and the number of requests that were rejected.
func (w *plainDispatcher) serveFor(duration time.Duration) (served map[fleet.ServerID]int, rejected int) {
	served = make(map[fleet.ServerID]int)
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		reservation, waiting, err := w.submit()
		switch {
		case err != nil:
			rejected++
		case reservation == nil:
			w.d.Cancel(waiting)
		case reservation.Check(w.now) == nil:
			served[reservation.Server.ID]++
			reservation.Started(w.now)
			reservation.Release(ResultDone, w.now)
		default:
			reservation.Release(ResultAbandoned, w.now)
		}
	}
	return served, rejected
}

func TestLimitedServerGetsItsRateAndOthersTheRemainder(t *testing.T) {
	for _, perSecond := range []float64{0, 0.05, 0.5, 1.9, 10, 1e6} {
		w := newLimitedDispatcher(t, limitedServer("a", perSecond), plainServer("b", 1))
		served, rejected := w.serveFor(40 * time.Second)
		require.Zero(t, rejected)
		maxServed := 40*max(probeRate, perSecond) + 1
		require.LessOrEqual(t, float64(served["a"]), maxServed, "limit %v", perSecond)
		require.GreaterOrEqual(t, float64(served["a"]), 0.9*min(maxServed-2, 2000), "limit %v", perSecond)
	}
}

// Guards against never detecting that a limit of 0 has been lifted.
func TestServerWithRateLimitOfZeroIsProbed(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 0))
	served, rejected := w.serveFor(100 * time.Second)
	require.InDelta(t, 100*probeRate, served["a"], 1)
	require.Greater(t, rejected, 9000, "all other requests are rejected immediately")
}

func TestCheckFailsIfServerBecameLimitedAfterReservation(t *testing.T) {
	w := newLimitedDispatcher(t, plainServer("a", 1))
	reservation := w.acquire()
	w.setServers(limitedServer("a", 2))
	require.ErrorIs(t, reservation.Check(w.now), ErrRateLimited)
	w.now = w.now.Add(500 * time.Millisecond)
	require.NoError(t, reservation.Check(w.now))
	other := &Reservation{Server: reservation.Server, dispatcher: w.d}
	require.ErrorIs(t, other.Check(w.now), ErrRateLimited, "the first request took the token")
}

func TestCheckTakesAnotherTokenWhenRateLimitIsLowered(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 10))
	w.now = w.now.Add(time.Second)
	reservation := w.acquire()
	require.NoError(t, reservation.Check(w.now))
	w.setServers(limitedServer("a", 20))
	require.NoError(t, reservation.Check(w.now))
	w.setServers(limitedServer("a", 0))
	w.d.buckets["a"].tokens = 0
	require.ErrorIs(t, reservation.Check(w.now), ErrRateLimited)
}

func TestRequestsOfOtherBoxesCountTowardsRateLimit(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 4), plainServer("b", 1))
	w.now = w.now.Add(10 * time.Second)
	for sent := uint32(1); sent <= 160; sent++ {
		w.d.UpdatePeerLoad("entry-2", Load{"a": {Sent: sent}}, sent == 1, w.now)
		served, _ := w.serveFor(250 * time.Millisecond)
		if sent > 4 {
			require.Zero(t, served["a"], "another box uses the whole limit")
		}
	}
	w.d.UpdatePeerLoad("entry-2", Load{"a": {Sent: 3}}, true, w.now)
	served, _ := w.serveFor(4 * time.Second)
	require.InDelta(t, 13, served["a"], 2, "a lower count means that the box has restarted")
}

// Guards against a restarted box exceeding a limit that its peers already use up.
func TestFirstCountOfPeerPausesSending(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 4), plainServer("b", 1))
	w.now = w.now.Add(10 * time.Second)
	w.d.UpdatePeerLoad("entry-2", Load{"a": {Sent: 1000}}, true, w.now)
	served, _ := w.serveFor(maxDebtTime)
	require.Zero(t, served["a"])
	served, _ = w.serveFor(4 * time.Second)
	require.InDelta(t, 16, served["a"], 2)
}

func TestRemovedRateLimitIsNotApplied(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 1), plainServer("b", 1))
	served, _ := w.serveFor(2 * time.Second)
	require.LessOrEqual(t, served["a"], 2)
	w.setServers(plainServer("a", 1), plainServer("b", 1))
	served, _ = w.serveFor(2 * time.Second)
	require.Greater(t, served["a"], 50)
	require.Empty(t, w.d.LimitedServers(w.now))
}

// Guards against requests queueing for capacity that the rate limits do not allow.
func TestCapacityIsSumOfRateLimitsWhenAllServersAreLimited(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 5), limitedServer("b", 5))
	w.serveFor(2 * time.Second)
	require.InDelta(t, 10, w.d.currentCapacity(w.now).maxRate, 1e-9)
	served, _ := w.serveFor(10 * time.Second)
	require.InDelta(t, 100, served["a"]+served["b"], 6)
	_, _, err := w.submit()
	for err == nil {
		_, _, err = w.submit()
	}
	var busy *BusyError
	require.ErrorAs(t, err, &busy)
	require.LessOrEqual(t, w.d.QueueLen(), 10, "the objective is one second")
	require.Equal(t, 2, busy.Limited)
	require.Positive(t, busy.RetryAfter)
}

// Guards against rejecting a retry while the load is below the rate limit.
func TestRetryIsServedBelowRateLimit(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 20))
	for range 50 {
		w.now = w.now.Add(200 * time.Millisecond)
		reservation, _, err := w.d.Submit(&SlotRequest{
			Arrived: w.now, Objective: w.now.Add(-time.Second), Deadline: w.now.Add(4 * time.Second), Retry: true,
		}, nil, w.now)
		require.NoError(t, err)
		require.NotNil(t, reservation)
		reservation.Started(w.now)
		reservation.Release(ResultDone, w.now)
	}
}

func TestForecastIncludesRateLimits(t *testing.T) {
	w := newLimitedDispatcher(t, limitedServer("a", 10))
	wait, ok := w.d.lateForecast(w.now).timeToStart(20)
	require.True(t, ok)
	require.InDelta(t, 2, wait.Seconds(), 0.3)
	_, ok = w.d.lateForecast(w.now).timeToStart(40)
	require.False(t, ok)
	require.False(t, math.IsNaN(w.d.currentCapacity(w.now).maxRate))
}
