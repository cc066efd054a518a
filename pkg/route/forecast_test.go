package route

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// retry returns the request of a caller that was rejected before and can no longer meet its
// objective.
func (b *testDispatcher) retry() *SlotRequest {
	now := b.clock.Now()
	return &SlotRequest{Arrived: now, Objective: now.Add(-time.Second), Deadline: now.Add(4 * time.Second), Retry: true}
}

// submit requests a slot and reports whether the request is queued.
func (b *testDispatcher) submit(t *testing.T, req *SlotRequest) (waits bool, err error) {
	t.Helper()
	reservation, w, err := b.Submit(req, func(*Reservation) {}, b.clock.Now())
	require.Nil(t, reservation)
	return w != nil, err
}

// Guards against queueing late requests in vain: new requests take all slots for two seconds, and more
// than half of the late requests are rejected after the wait.
func TestLateRequestIsQueuedOnlyIfNewRequestsLeaveASlot(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	for range 10 {
		b.acquire(t)
	}
	b.clock.Advance(2 * rateWindow)
	waits, err := b.submit(t, b.retry())
	require.NoError(t, err)
	require.True(t, waits, "ten slots are free again within the second")
	b.clock.Advance(forecastMaxAge)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 9, Late: 5}, b.clock.Now())
	_, err = b.submit(t, b.retry())
	var busy *BusyError
	require.ErrorAs(t, err, &busy, "one slot a second is left, six requests wait for it")
	b.clock.Advance(forecastMaxAge)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 11}, b.clock.Now())
	_, err = b.submit(t, b.retry())
	require.ErrorAs(t, err, &busy, "no slot is left")
}

func TestQueuedRequestIsRejectedWhenItCannotStartInTime(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	for range 10 {
		b.acquire(t)
	}
	b.clock.Advance(2 * rateWindow)
	reservation, w, err := b.Submit(b.retry(), func(*Reservation) {}, b.clock.Now())
	require.NoError(t, err)
	require.Nil(t, reservation)
	next, waits, err := b.Review(w, b.clock.Now())
	require.NoError(t, err)
	require.True(t, waits)
	require.Equal(t, reviewInterval, next.Sub(b.clock.Now()))
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
		reservation, err := b.Acquire(context.Background(), b.request(), b.clock)
		require.NoError(t, err)
		reservation.Release(ResultDone, b.clock.Now())
		b.clock.Advance(100 * time.Millisecond)
	}
	require.Equal(t, 10, b.Demand(b.clock.Now()).Arrivals)
	b.clock.Advance(rateWindow + rateWindow/rateBuckets)
	require.Zero(t, b.Demand(b.clock.Now()).Arrivals)
}

// While no server is eligible because all are being swapped, retries are queued.
func TestSwappingServersCountForRetries(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.UpdateServer("a", ServerState{Version: 1, Swapping: true}, b.clock.Now())
	waits, err := b.submit(t, b.retry())
	require.NoError(t, err)
	require.True(t, waits)
	_, err = b.submit(t, b.request())
	require.ErrorIs(t, err, ErrNoServer, "a new request can be retried")
	b.UpdateServer("a", ServerState{Silent: true}, b.clock.Now())
	b.clock.Advance(4 * time.Second)
	_, err = b.submit(t, b.retry())
	require.ErrorIs(t, err, ErrNoServer)
	require.Equal(t, 2*time.Second, RetryAfter(err, 6*time.Second))
}

// Guards against a box with a high mean time to first byte that classifies every request as late. It then
// gets no slot, so no response can lower the mean.
func TestBoxWithHighMeanTTFBKeepsSendingRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.ttfb, b.ttfbDeviation = 300*time.Millisecond, 200*time.Millisecond
	for range 100 {
		reservation := b.acquire(t)
		b.clock.Advance(20 * time.Millisecond)
		reservation.Started(b.clock.Now())
		reservation.Release(ResultDone, b.clock.Now())
	}
	require.Less(t, b.ttfb+b.ttfbDeviation, 100*time.Millisecond)
}

// Guards against late requests that take all slots at once after an outage. New requests then get no slot
// until the responses to the late ones have started and ended.
func TestLateRequestsUseOnlySlotsNotNeededByNewRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	late := func() (*Reservation, error) {
		req := b.retry()
		req.NoWait = true
		return b.Acquire(t.Context(), req, b.clock)
	}
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 7, AwaitingFirstByte: 1}, b.clock.Now())
	reservation, err := late()
	require.NoError(t, err)
	_, err = late()
	require.NoError(t, err)
	_, err = late()
	require.Error(t, err, "7 new requests a second need 7 of 10 slots, 3 responses have not started")
	require.Equal(t, 2, b.Demand(b.clock.Now()).AwaitingFirstByte)
	b.acquire(t)
	for range 2 {
		reservation.Started(b.clock.Now())
	}
	require.Equal(t, 2, b.Demand(b.clock.Now()).AwaitingFirstByte)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 7}, b.clock.Now())
	_, err = late()
	require.NoError(t, err)
	reservation.Release(ResultDone, b.clock.Now())
	require.Equal(t, 3, b.Demand(b.clock.Now()).AwaitingFirstByte)
}

// Guards against rejecting retries for good that arrive while half of the servers are swapping weights,
// half a second before these servers return.
func TestLateRequestIsQueuedForServersBackInTime(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1), modelServer("b", 10, 1))
	for range 20 {
		b.acquire(t)
	}
	b.clock.Advance(2 * rateWindow)
	b.UpdatePeerDemand("entry-2", Demand{Arrivals: 12}, b.clock.Now())
	b.UpdateServer("a", ServerState{Version: 1, Swapping: true}, b.clock.Now())
	b.UpdateServer("b", ServerState{Version: 2}, b.clock.Now())
	req := b.retry()
	req.CallerTimeout = 2 * time.Second
	waits, err := b.submit(t, req)
	require.NoError(t, err)
	require.True(t, waits, "one server is not enough for the new requests, two are")
	req = b.retry()
	req.CallerTimeout = defaultSwapTime
	_, err = b.submit(t, req)
	require.Error(t, err, "the caller times out before the other server returns")
}

// A server with a swap planned soon is not available to requests that arrive during the swap.
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

// Guards against rejecting retries at once after a power failure, a second before the servers have
// loaded their weights again.
func TestForecastAssumesOutageLastsAsLongAgain(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 0))
	list := func() {
		b.SetServers([]fleet.Server{modelServer("a", 10, 0)}, 0, func(member.FailureDomain) bool { return true }, b.clock.Now())
	}
	isQueued := func(timeout time.Duration) bool {
		req := b.retry()
		req.CallerTimeout = timeout + callerTimeoutReserve
		_, w, err := b.Submit(req, func(*Reservation) {}, b.clock.Now())
		if w != nil {
			require.True(t, b.Cancel(w))
		}
		require.Equal(t, w == nil, err != nil)
		return w != nil
	}
	b.clock.Advance(time.Second)
	list()
	require.True(t, isQueued(1500*time.Millisecond))
	require.False(t, isQueued(900*time.Millisecond))
	b.clock.Advance(2 * time.Second)
	list()
	require.False(t, isQueued(2*time.Second), "the outage has lasted three seconds")
	b.UpdateServer("a", ServerState{Version: 1}, b.clock.Now())
	require.True(t, b.backends["a"].ineligibleSince.IsZero())
}

// Guards against starting too few late requests: with one prompt in prefill at every server, 35 start in
// the time of one prompt where 130 could, and 500 are rejected.
func TestLateRequestLeavesHalfOfSlackToNewRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 100, 1))
	for range 100 {
		reservation := b.acquire(t)
		reservation.Started(b.clock.Now())
		reservation.Release(ResultDone, b.clock.Now())
	}
	require.Positive(t, b.slack)
	b.clock.Advance(2 * rateWindow)
	late := func(prefill time.Duration) error {
		req := b.retry()
		req.NoWait, req.Prefill = true, prefill
		_, err := b.Acquire(t.Context(), req, b.clock)
		return err
	}
	for range 100 {
		if err := late(10 * time.Millisecond); err != nil {
			break
		}
	}
	require.InDelta(t, b.slack/2, b.OwnLoad()["a"].Prefill, float64(20*time.Millisecond))
	require.Error(t, late(b.slack), "the request would use up the slack of new requests")
}
