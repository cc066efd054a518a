package route

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// testDispatcher is a dispatcher with a fake clock.
type testDispatcher struct {
	*Dispatcher
	clock *clockwork.FakeClock
}

func newTestDispatcher(needsWeights bool, servers ...fleet.Server) *testDispatcher {
	b := &testDispatcher{Dispatcher: NewDispatcher(DispatcherOptions{TypicalHoldTime: time.Second, TTFB: 100 * time.Millisecond, NeedsWeights: needsWeights}), clock: clockwork.NewFakeClockAt(time.Unix(1000, 0))}
	b.SetServers(servers, 0, func(domain member.FailureDomain) bool { return domain != "far" }, b.clock.Now())
	return b
}

func (b *testDispatcher) request() *SlotRequest {
	return &SlotRequest{Arrived: b.clock.Now(), Objective: b.clock.Now().Add(400 * time.Millisecond), Deadline: b.clock.Now().Add(6 * time.Second)}
}

func (b *testDispatcher) acquire(t *testing.T) *Reservation {
	t.Helper()
	reservation, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.NoError(t, err)
	return reservation
}

func modelServer(id string, slots int, version fleet.WeightsVersion) fleet.Server {
	return fleet.Server{
		ID: fleet.ServerID(id), Slots: slots, Domain: "near",
		Models: []fleet.LoadedModel{{Name: "m", Version: version}},
	}
}

func TestFullServiceRejectsWithRetryAfter(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	b.acquire(t)
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	var busy *BusyError
	require.ErrorAs(t, err, &busy)
	require.Positive(t, busy.RetryAfter)
	require.LessOrEqual(t, busy.RetryAfter, 2*time.Second)
}

func TestRequestWaitsForSlotFreedInTime(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 20, 1))
	var held []*Reservation
	for range 20 {
		held = append(held, b.acquire(t))
	}
	got := make(chan error, 1)
	go func() {
		_, err := b.Acquire(context.Background(), b.request(), b.clock)
		got <- err
	}()
	require.Eventually(t, func() bool { return b.QueueLen() == 1 }, 10*time.Second, time.Millisecond)
	held[0].Release(ResultDone, b.clock.Now())
	require.NoError(t, <-got)
}

func TestPeerLoadCounts(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 2, 1), modelServer("b", 2, 1))
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 2}}, true, b.clock.Now())
	require.Equal(t, fleet.ServerID("b"), b.acquire(t).Server.ID)
	require.Equal(t, fleet.ServerID("b"), b.acquire(t).Server.ID)
	b.clock.Advance(peerLoadMaxAge)
	require.Equal(t, fleet.ServerID("a"), b.acquire(t).Server.ID, "an expired load does not count")
}

func TestNoRequestStartsOnVersionPastCutoff(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1), modelServer("b", 4, 2))
	b.RequireVersions(VersionRequirements{Required: 2, Preferred: 2, Newest: 2}, b.clock.Now())
	for range 4 {
		require.Equal(t, fleet.ServerID("b"), b.acquire(t).Server.ID)
	}
}

func TestOnlyResponsiveServersAreUsedShortlyBeforeCutoff(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.RequireVersions(VersionRequirements{Preferred: 2, Newest: 2}, b.clock.Now())
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
	b.RequireVersions(VersionRequirements{Newest: 2}, b.clock.Now())
	reservation := b.acquire(t)
	b.clock.Advance(responsiveTTFB / 2)
	reservation.Started(b.clock.Now())
	b.RequireVersions(VersionRequirements{Preferred: 2, Newest: 2}, b.clock.Now())
	b.acquire(t)
	b.clock.Advance(responsiveMaxAge)
	_, err = b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
}

func TestSwappingOrSilentServerGetsNoRequests(t *testing.T) {
	for _, state := range []ServerState{{Version: 1, Swapping: true}, {Silent: true}, {Version: 0}} {
		b := newTestDispatcher(true, modelServer("a", 4, 1))
		b.UpdateServer("a", state, b.clock.Now())
		_, err := b.Acquire(context.Background(), b.request(), b.clock)
		require.ErrorIs(t, err, ErrNoServer)
	}
}

func TestSilentServerIsIneligibleUntilItsAgentReports(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.UpdateServer("a", ServerState{Silent: true}, b.clock.Now())
	b.clock.Advance(time.Minute)
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
	b.UpdateServer("a", ServerState{Version: 1}, b.clock.Now())
	b.acquire(t)
}

func TestLeavingServerGetsNoRequests(t *testing.T) {
	leaving := modelServer("a", 4, 1)
	leaving.Leaving = true
	b := newTestDispatcher(true, leaving)
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
}

func TestTriedServerIsNotTriedAgain(t *testing.T) {
	b := newTestDispatcher(false, modelServer("a", 4, 0), modelServer("b", 4, 0))
	req := b.request()
	req.Tried = []fleet.ServerID{"a"}
	reservation, err := b.Acquire(context.Background(), req, b.clock)
	require.NoError(t, err)
	require.Equal(t, fleet.ServerID("b"), reservation.Server.ID)
}

func TestUnreachableServerIsEjectedTemporarily(t *testing.T) {
	b := newTestDispatcher(false, modelServer("a", 4, 0))
	b.acquire(t).Release(ResultUnreachable, b.clock.Now())
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
	b.clock.Advance(serverEjectInitial)
	b.acquire(t)
}

func TestRetryWaitsForSwappingServer(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.UpdateServer("a", ServerState{Version: 1, Swapping: true}, b.clock.Now())
	got := make(chan error, 1)
	go func() {
		req := b.request()
		req.Retry = true
		_, err := b.Acquire(context.Background(), req, b.clock)
		got <- err
	}()
	require.Eventually(t, func() bool { return b.QueueLen() == 1 }, 10*time.Second, time.Millisecond)
	b.UpdateServer("a", ServerState{Version: 2}, b.clock.Now())
	require.NoError(t, <-got)
}

func TestCanceledRequestIsRemovedFromQueue(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 20, 1))
	for range 20 {
		b.acquire(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan error, 1)
	go func() {
		_, err := b.Acquire(ctx, b.request(), b.clock)
		got <- err
	}()
	require.Eventually(t, func() bool { return b.QueueLen() == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-got, context.Canceled)
	require.Zero(t, b.QueueLen())
}

// Checks with random operations that a box never reserves more than a server's slots, that no
// server that is swapping or whose version is past its cutoff gets a request, and that every slot is
// released.
func TestSlotsAreNeverExceededAndAlwaysReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []fleet.Server{modelServer("a", 2, 1), modelServer("b", 3, 1), modelServer("c", 1, 2)}
		b := newTestDispatcher(true, servers...)
		type reportedState struct {
			ServerState
			at time.Time
		}
		states := make(map[fleet.ServerID]reportedState)
		var held []*Reservation
		required := fleet.WeightsVersion(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				req := b.request()
				req.NoWait = true
				reservation, err := b.Acquire(context.Background(), req, b.clock)
				var busy *BusyError
				if err != nil && !errors.As(err, &busy) && !errors.Is(err, ErrNoServer) {
					t.Fatalf("acquire: %v", err)
				}
				if err == nil {
					state := states[reservation.Server.ID]
					if reservation.Version < required || state.Swapping && b.clock.Now().Sub(state.at) < swapStatusMaxAge {
						t.Fatalf("slot on %s with version %d, required %d, state %+v", reservation.Server.ID, reservation.Version, required, states[reservation.Server.ID])
					}
					held = append(held, reservation)
				}
			case 2:
				if len(held) > 0 {
					held[0].Release(Result(rapid.IntRange(0, 5).Draw(t, "result")), b.clock.Now())
					held = held[1:]
				}
			case 3:
				id := rapid.SampledFrom(servers).Draw(t, "server").ID
				state := ServerState{Version: fleet.WeightsVersion(rapid.IntRange(1, 3).Draw(t, "version")), Swapping: rapid.Bool().Draw(t, "swapping")}
				states[id] = reportedState{state, b.clock.Now()}
				b.UpdateServer(id, state, b.clock.Now())
			case 4:
				required = fleet.WeightsVersion(rapid.IntRange(0, 2).Draw(t, "required"))
				b.RequireVersions(VersionRequirements{Required: required, Preferred: required, Newest: 3}, b.clock.Now())
			}
			for id, count := range b.OwnLoad() {
				for _, server := range servers {
					if server.ID == id && count.Requests > server.Slots {
						t.Fatalf("%s has %d of %d slots in use", id, count.Requests, server.Slots)
					}
				}
			}
			b.clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		for _, reservation := range held {
			reservation.Release(ResultDone, b.clock.Now())
		}
		if own := b.OwnLoad(); len(own) != 0 {
			t.Fatalf("slots still in use: %v", own)
		}
	})
}

// Requests sent over a link that has become slow are delayed, while responses that started before
// still make the server look responsive.
func TestStalledServerGetsNoRequestsShortlyBeforeCutoff(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	started, waiting := b.acquire(t), b.acquire(t)
	b.clock.Advance(responsiveTTFB / 2)
	started.Started(b.clock.Now())
	b.RequireVersions(VersionRequirements{Preferred: 2, Newest: 2}, b.clock.Now())
	b.clock.Advance(responsiveTTFB / 2)
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
	waiting.Release(ResultFailed, b.clock.Now())
	b.acquire(t)
}

// Guards against sending request after request to a server that hangs in the middle of each response.
func TestServerThatStaysSilentIsUsedLast(t *testing.T) {
	for result, wantOther := range map[Result]bool{ResultSilent: true, ResultAbandoned: false} {
		b := newTestDispatcher(true, modelServer("a", 8, 1))
		b.acquire(t).Release(result, b.clock.Now())
		b.SetServers([]fleet.Server{modelServer("a", 8, 1), modelServer("b", 8, 1)}, 0, func(member.FailureDomain) bool { return true }, b.clock.Now())
		others := 0
		for range 4 {
			if b.acquire(t).Server.ID == "b" {
				others++
			}
		}
		require.Equal(t, wantOther, others == 4, "%s: %d of 4 requests went to the other server", result, others)
	}
}

func TestStalledServerIsUsedLast(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 8, 1))
	b.acquire(t)
	b.clock.Advance(stallTimeout + time.Millisecond)
	b.SetServers([]fleet.Server{modelServer("a", 8, 1), modelServer("b", 4, 1)}, 0, func(member.FailureDomain) bool { return true }, b.clock.Now())
	for range 4 {
		require.Equal(t, fleet.ServerID("b"), b.acquire(t).Server.ID)
	}
	require.Equal(t, fleet.ServerID("a"), b.acquire(t).Server.ID)
}

// After a power failure the list still has the previous servers, and each server reports that it is
// a different one.
func TestReplacedServerIsEjectedUntilItsAgentReportsNewWeights(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	b.UpdateServer("a", ServerState{Version: 1}, b.clock.Now())
	b.acquire(t).Release(ResultReplaced, b.clock.Now())
	_, err := b.Acquire(context.Background(), b.request(), b.clock)
	require.ErrorIs(t, err, ErrNoServer)
	b.UpdateServer("a", ServerState{Version: 2}, b.clock.Now())
	late := b.acquire(t)
	b.UpdateServer("a", ServerState{Version: 3}, b.clock.Now())
	late.Release(ResultReplaced, b.clock.Now())
	b.acquire(t)
}

// Guards against late requests that take slots as if they were in time and so make later requests late too.
func TestLateRequestUsesOnlySpareCapacity(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 10, 1))
	late := func() *SlotRequest {
		return &SlotRequest{Arrived: b.clock.Now(), Objective: b.clock.Now().Add(-time.Second), Deadline: b.clock.Now().Add(6 * time.Second), Prefill: 30 * time.Millisecond, NoWait: true}
	}
	first := b.request()
	first.Prefill = 30 * time.Millisecond
	reservation, err := b.Acquire(t.Context(), first, b.clock)
	require.NoError(t, err)
	_, err = b.Acquire(t.Context(), late(), b.clock)
	require.Error(t, err, "the server is in prefill")
	reservation.Started(b.clock.Now())
	for range 7 {
		reservation, err = b.Acquire(t.Context(), late(), b.clock)
		require.NoError(t, err)
		reservation.Started(b.clock.Now())
	}
	_, err = b.Acquire(t.Context(), late(), b.clock)
	require.Error(t, err, "the remaining slots are for requests in time")
	b.acquire(t)
}

// Guards against callers that are rejected while the service is full, all retry at the same time and are then rejected
// for good.
func TestRetryAfterIsStaggeredForRejectedRequests(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	b.acquire(t)
	var last time.Duration
	for i := range 6 {
		_, err := b.Acquire(t.Context(), b.request(), b.clock)
		var busy *BusyError
		require.ErrorAs(t, err, &busy)
		require.LessOrEqual(t, busy.RetryAfter, 2*time.Second, "the wait is at most a third of the remaining time")
		require.GreaterOrEqual(t, busy.RetryAfter, last-minRetryAfter, "request %d", i)
		last = busy.RetryAfter
	}
	require.Greater(t, last, 1500*time.Millisecond)
}

// The second rejection is final, so a retry is queued even if it is late.
func TestRetryWaitsForSlot(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	held := b.acquire(t)
	req := &SlotRequest{Arrived: b.clock.Now(), Objective: b.clock.Now().Add(-time.Second), Deadline: b.clock.Now().Add(4 * time.Second), Retry: true}
	got := make(chan error, 1)
	go func() {
		_, err := b.Acquire(context.Background(), req, b.clock)
		got <- err
	}()
	require.Eventually(t, func() bool { return b.QueueLen() == 1 }, 10*time.Second, time.Millisecond)
	held.Release(ResultDone, b.clock.Now())
	require.NoError(t, <-got)
}

// An attempt without progress repeatedly requests a slot on another server. Counting these requests
// as scheduled retries raised the Retry-After of all other callers to its maximum.
func TestOnlyRejectedNewRequestsAreScheduledForRetry(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	b.acquire(t)
	for range 50 {
		req := b.request()
		req.NoWait = true
		_, err := b.Acquire(t.Context(), req, b.clock)
		require.Error(t, err)
	}
	_, err := b.Acquire(t.Context(), b.request(), b.clock)
	var busy *BusyError
	require.ErrorAs(t, err, &busy)
	require.Less(t, busy.RetryAfter, 1500*time.Millisecond)
}
