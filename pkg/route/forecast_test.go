package route

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// retry is a caller that was refused and can't be answered in time any more.
func (b *testDispatcher) retry() *SlotRequest {
	now := b.clock.Now()
	return &SlotRequest{Arrived: now, Objective: now.Add(-time.Second), Deadline: now.Add(4 * time.Second), Retry: true}
}

// submit asks for a place and reports whether the request waits for one.
func (b *testDispatcher) submit(t *testing.T, ask *SlotRequest) (waits bool, err error) {
	t.Helper()
	place, w, err := b.Submit(ask, func(*Reservation) {}, b.clock.Now())
	require.Nil(t, place)
	return w != nil, err
}

// Late requests were held for two seconds while first ones took all places, and more than
// half of them were refused all the same.
func TestLateRequestIsQueuedOnlyIfNewRequestsLeaveASlot(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	for range 10 {
		b.acquire(t)
	}
	b.clock.Advance(2 * rateWindow)
	waits, err := b.submit(t, b.retry())
	require.NoError(t, err)
	require.True(t, waits, "ten places are free again within the second")
	b.clock.Advance(forecastMaxAge)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 9, Late: 5}, b.clock.Now())
	_, err = b.submit(t, b.retry())
	var busy *BusyError
	require.ErrorAs(t, err, &busy, "one place a second is left, six wait for it")
	b.clock.Advance(forecastMaxAge)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 11}, b.clock.Now())
	_, err = b.submit(t, b.retry())
	require.ErrorAs(t, err, &busy, "no place is left")
}

func TestQueuedRequestIsRejectedWhenItCannotStartInTime(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	for range 10 {
		b.acquire(t)
	}
	b.clock.Advance(2 * rateWindow)
	place, w, err := b.Submit(b.retry(), func(*Reservation) {}, b.clock.Now())
	require.NoError(t, err)
	require.Nil(t, place)
	again, waits, err := b.Review(w, b.clock.Now())
	require.NoError(t, err)
	require.True(t, waits)
	require.Equal(t, reviewInterval, again.Sub(b.clock.Now()))
	b.clock.Advance(forecastMaxAge)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 20}, b.clock.Now())
	_, waits, err = b.Review(w, b.clock.Now())
	require.Error(t, err)
	require.False(t, waits)
	require.Zero(t, b.QueueLen())
}

func TestPeerDemandExpires(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 9, InTime: 2, Late: 5}, b.clock.Now())
	require.Equal(t, Demand{Arrivals: 9, InTime: 2, Late: 5}, b.totalPeerDemand(b.clock.Now()))
	b.clock.Advance(peerLoadMaxAge)
	require.Zero(t, b.totalPeerDemand(b.clock.Now()))
}

func TestDemandCountsNewRequestsOfLastSecond(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	for range 30 {
		place, err := b.Acquire(context.Background(), b.request(), b.clock)
		require.NoError(t, err)
		place.Release(ResultDone, b.clock.Now())
		b.clock.Advance(100 * time.Millisecond)
	}
	require.Equal(t, 10, b.Demand(b.clock.Now()).Arrivals)
	b.clock.Advance(rateWindow + rateWindow/rateBuckets)
	require.Zero(t, b.Demand(b.clock.Now()).Arrivals)
}

// While no server takes requests because all are being swapped, who comes back is held.
func TestSwappingServersCountForRetries(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.UpdateServer("a", ServerState{Version: 1, Swapping: true}, b.clock.Now())
	waits, err := b.submit(t, b.retry())
	require.NoError(t, err)
	require.True(t, waits)
	_, err = b.submit(t, b.request())
	require.ErrorIs(t, err, ErrNoServer, "one who comes first can come back")
	b.UpdateServer("a", ServerState{Silent: true}, b.clock.Now())
	b.clock.Advance(4 * time.Second)
	_, err = b.submit(t, b.retry())
	require.ErrorIs(t, err, ErrNoServer)
	require.Equal(t, 2*time.Second, RetryAfter(err, 6*time.Second))
}

// A box whose answers had begun late took every request for a late one, and got no place
// that could have shown it better.
func TestBoxWithHighMeanTTFBKeepsSendingRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.ttfb, b.ttfbDeviation = 300*time.Millisecond, 200*time.Millisecond
	for range 100 {
		place := b.acquire(t)
		b.clock.Advance(20 * time.Millisecond)
		place.Started(b.clock.Now())
		place.Release(ResultDone, b.clock.Now())
	}
	require.Less(t, b.ttfb+b.ttfbDeviation, 100*time.Millisecond)
}

// After an outage late requests took all places in one go, and until their answers began
// and ended there was none for those that came first.
func TestLateRequestsUseOnlySlotsNotNeededByNewRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	late := func() (*Reservation, error) {
		ask := b.retry()
		ask.NoWait = true
		return b.Acquire(t.Context(), ask, b.clock)
	}
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 7, AwaitingFirstByte: 1}, b.clock.Now())
	place, err := late()
	require.NoError(t, err)
	_, err = late()
	require.NoError(t, err)
	_, err = late()
	require.Error(t, err, "7 first requests a second need 7 of 10 places, 3 answers are beginning")
	require.Equal(t, 2, b.Demand(b.clock.Now()).AwaitingFirstByte)
	b.acquire(t)
	for range 2 {
		place.Started(b.clock.Now())
	}
	require.Equal(t, 2, b.Demand(b.clock.Now()).AwaitingFirstByte)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 7}, b.clock.Now())
	_, err = late()
	require.NoError(t, err)
	place.Release(ResultDone, b.clock.Now())
	require.Equal(t, 3, b.Demand(b.clock.Now()).AwaitingFirstByte)
}

// Who came back while half of the servers were being swapped was refused for good, half a
// second before they were back.
func TestLateRequestIsQueuedForServersBackInTime(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1), modelServer("b", 10, 1))
	for range 20 {
		b.acquire(t)
	}
	b.clock.Advance(2 * rateWindow)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 12}, b.clock.Now())
	b.UpdateServer("a", ServerState{Version: 1, Swapping: true}, b.clock.Now())
	b.UpdateServer("b", ServerState{Version: 2}, b.clock.Now())
	ask := b.retry()
	ask.CallerTimeout = 2 * time.Second
	waits, err := b.submit(t, ask)
	require.NoError(t, err)
	require.True(t, waits, "one server is not enough for those who come first, two are")
	ask = b.retry()
	ask.CallerTimeout = defaultSwapTime
	_, err = b.submit(t, ask)
	require.Error(t, err, "it leaves before the other one is back")
}

// A server that is swapped soon is not there for those who come back then.
func TestForecastIncludesPlannedSwap(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	now := b.clock.Now()
	b.UpdateServer("a", ServerState{Version: 1, SwapAt: now.Add(forecastStep)}, now)
	f := b.lateForecast(now)
	require.Positive(t, f.lateStarts[0])
	require.Zero(t, f.lateStarts[2])
	require.Positive(t, f.lateStarts[forecastSteps-1])
	wait, ok := f.timeToStart(f.lateStarts[0] + f.lateStarts[forecastSteps-1]/2)
	require.True(t, ok)
	require.Greater(t, wait, defaultSwapTime)
	_, ok = f.timeToStart(1000)
	require.False(t, ok)
}

func TestSwapTimeIsAveraged(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	for version := range fleet.WeightsVersion(20) {
		b.UpdateServer("a", ServerState{Version: version + 1}, b.clock.Now())
		b.UpdateServer("a", ServerState{Version: version + 1, Swapping: true}, b.clock.Now())
		b.clock.Advance(400 * time.Millisecond)
	}
	require.InDelta(t, 400, b.swapTime.Milliseconds(), 10)
}

// After a loss of power who came back was refused at once, a second before the servers had
// their weights again.
func TestForecastAssumesOutageLastsAsLongAgain(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 0))
	list := func() {
		b.SetServers([]fleet.Server{modelServer("a", 10, 0)}, 0, func(member.FailureDomain) bool { return true }, b.clock.Now())
	}
	held := func(patience time.Duration) bool {
		ask := b.retry()
		ask.CallerTimeout = patience + callerTimeoutReserve
		_, w, err := b.Submit(ask, func(*Reservation) {}, b.clock.Now())
		if w != nil {
			require.True(t, b.Cancel(w))
		}
		require.Equal(t, w == nil, err != nil)
		return w != nil
	}
	b.clock.Advance(time.Second)
	list()
	require.True(t, held(1500*time.Millisecond))
	require.False(t, held(900*time.Millisecond))
	b.clock.Advance(2 * time.Second)
	list()
	require.False(t, held(2*time.Second), "it has lasted three seconds")
	b.UpdateServer("a", ServerState{Version: 1}, b.clock.Now())
	require.True(t, b.backends["a"].ineligibleSince.IsZero())
}

// With every server reading one prompt, 35 late requests began in the time of one prompt
// where 130 might have, and 500 were refused.
func TestLateRequestLeavesHalfOfSlackToNewRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 100, 1))
	for range 100 {
		place := b.acquire(t)
		place.Started(b.clock.Now())
		place.Release(ResultDone, b.clock.Now())
	}
	require.Positive(t, b.slack)
	b.clock.Advance(2 * rateWindow)
	late := func(reading time.Duration) error {
		ask := b.retry()
		ask.NoWait, ask.Prefill = true, reading
		_, err := b.Acquire(t.Context(), ask, b.clock)
		return err
	}
	for range 100 {
		if err := late(10 * time.Millisecond); err != nil {
			break
		}
	}
	require.InDelta(t, b.slack/2, b.OwnLoad()["a"].Prefill, float64(20*time.Millisecond))
	require.Error(t, late(b.slack), "it would take all that they have to spare")
}
