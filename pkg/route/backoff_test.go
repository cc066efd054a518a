package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// plainDispatcher is a dispatcher for a plain service, with a settable time.
type plainDispatcher struct {
	t   *testing.T
	d   *Dispatcher
	now time.Time
}

func newPlainDispatcher(t *testing.T, servers ...fleet.Server) *plainDispatcher {
	t.Helper()
	w := &plainDispatcher{t: t, now: time.Unix(100, 0), d: NewDispatcher(DispatcherOptions{
		TypicalHoldTime: 100 * time.Millisecond, TTFB: 40 * time.Millisecond, Random: func() float64 { return 0.5 },
	})}
	w.setServers(servers...)
	return w
}

func plainServer(id fleet.ServerID, incarnation member.Incarnation) fleet.Server {
	return fleet.Server{ID: id, Service: "maps", Slots: 4, Incarnation: incarnation}
}

func (w *plainDispatcher) setServers(servers ...fleet.Server) {
	w.d.SetServers(servers, 0, allLocal, w.now)
}

// incarnationStartedNow returns an incarnation of a server that starts at the current time.
func (w *plainDispatcher) incarnationStartedNow() member.Incarnation {
	return member.Incarnation(w.now.UnixMilli())
}

// submit requests a slot with an objective of one second and a deadline of six seconds.
func (w *plainDispatcher) submit() (*Reservation, *QueuedRequest, error) {
	return w.d.Submit(&SlotRequest{Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, func(*Reservation) {}, w.now)
}

// acquire is like submit, and fails the test unless a slot is granted immediately.
func (w *plainDispatcher) acquire() *Reservation {
	w.t.Helper()
	reservation, _, err := w.submit()
	require.NoError(w.t, err)
	require.NotNil(w.t, reservation)
	return reservation
}

// rejectWithBackoff simulates a server that rejects the request and requests a backoff.
func (w *plainDispatcher) rejectWithBackoff(reservation *Reservation, duration time.Duration) {
	w.rejectOnConnection(reservation, duration, nil)
}

// rejectOnConnection is like rejectWithBackoff, with a connection that isConnected reports as open.
func (w *plainDispatcher) rejectOnConnection(reservation *Reservation, duration time.Duration, isConnected func() bool) {
	reservation.BackOff(w.now.Add(duration), w.now, isConnected)
	reservation.Release(ResultRefused, w.now)
}

// serve submits requests one after the other and returns the number that each server has served.
func (w *plainDispatcher) serve(requests int) map[fleet.ServerID]int {
	w.t.Helper()
	served := make(map[fleet.ServerID]int)
	for range requests {
		reservation := w.acquire()
		served[reservation.Server.ID]++
		reservation.Started(w.now)
		reservation.Release(ResultDone, w.now)
	}
	return served
}

// Guards against sending requests to a server that has requested a backoff. A server without requests in flight has the
// lowest cost at each box, and can then receive 24 requests within its backoff of three seconds.
func TestServerGetsNoRequestsDuringBackoff(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1), plainServer("b", 1))
	reservation := w.acquire()
	backingOff := reservation.Server.ID
	w.rejectWithBackoff(reservation, 3*time.Second)
	w.now = w.now.Add(time.Second)
	require.Zero(t, w.serve(50)[backingOff])
	w.now = w.now.Add(1999 * time.Millisecond)
	require.Zero(t, w.serve(50)[backingOff])
	w.now = w.now.Add(time.Millisecond)
	require.NotZero(t, w.serve(50)[backingOff], "the backoff has ended")
}

func TestOnlyNewIncarnationEndsBackoff(t *testing.T) {
	for name, test := range map[string]struct {
		change     func(w *plainDispatcher)
		backingOff bool
	}{
		"nothing changes":               {func(*plainDispatcher) {}, true},
		"unlisted and listed again":     {func(w *plainDispatcher) { w.setServers(); w.setServers(plainServer("a", 5)) }, true},
		"listed with older incarnation": {func(w *plainDispatcher) { w.setServers(); w.setServers(plainServer("a", 4)) }, true},
		"agent reports new weights":     {func(w *plainDispatcher) { w.d.UpdateServer("a", ServerState{Incarnation: 5, Version: 2}, w.now) }, true},
		"listed with new incarnation":   {func(w *plainDispatcher) { w.setServers(plainServer("a", w.incarnationStartedNow())) }, false},
		"agent reports a new incarnation": {func(w *plainDispatcher) {
			w.d.UpdateServer("a", ServerState{Incarnation: w.incarnationStartedNow()}, w.now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlainDispatcher(t, plainServer("a", 5))
			w.rejectWithBackoff(w.acquire(), 3*time.Second)
			w.now = w.now.Add(time.Second)
			test.change(w)
			_, _, err := w.submit()
			if test.backingOff {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
			}
		})
	}
}

func TestLaterEndOfTwoBackoffsApplies(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	first, second := w.acquire(), w.acquire()
	w.rejectWithBackoff(first, 3*time.Second)
	w.rejectWithBackoff(second, time.Second)
	w.now = w.now.Add(2 * time.Second)
	_, _, err := w.submit()
	require.Error(t, err)
}

func TestBackoffOfEarlierIncarnationIsIgnored(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 5))
	before := w.acquire()
	w.setServers(plainServer("a", w.incarnationStartedNow()))
	w.rejectWithBackoff(before, 3*time.Second)
	require.Equal(t, fleet.ServerID("a"), w.acquire().Server.ID)
}

// Guards against sending a request to a server that requested a backoff or started leaving after the slot was reserved.
// Opening a connection can take several hundred milliseconds.
func TestCheckFailsIfServerBacksOffOrLeaves(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	reservation, other := w.acquire(), w.acquire()
	require.NoError(t, reservation.Check(w.now))
	w.rejectWithBackoff(other, time.Second)
	require.ErrorIs(t, reservation.Check(w.now), ErrBackingOff)
	w.now = w.now.Add(time.Second)
	require.NoError(t, reservation.Check(w.now))
	leaving := plainServer("a", 1)
	leaving.Leaving = true
	w.setServers(leaving)
	require.ErrorIs(t, reservation.Check(w.now), ErrLeaving)
	w.setServers(plainServer("a", 2))
	require.NoError(t, reservation.Check(w.now))
}

// Guards against sending to a server whose entry was deleted while the connection was opened.
func TestCheckFailsIfServerIsNoLongerListed(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1), plainServer("b", 1))
	reservation := w.acquire()
	require.NoError(t, reservation.Check(w.now))
	other := plainServer("a", 1)
	if reservation.Server.ID == other.ID {
		other = plainServer("b", 1)
	}
	w.setServers(other)
	require.ErrorIs(t, reservation.Check(w.now), ErrLeaving)
	w.setServers(other, reservation.Server)
	require.NoError(t, reservation.Check(w.now), "the entry is back")
}

// Guards against overloading a server when its backoff ends. All boxes would send all their queued requests to it at
// the same time, and each request that it rejects uses up an attempt.
func TestServerIsProbedWithOneRequestAfterBackoff(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	running := w.acquire()
	running.Started(w.now)
	w.rejectWithBackoff(w.acquire(), time.Second)
	w.now = w.now.Add(time.Second)
	running.Release(ResultDone, w.now)
	probe := w.acquire()
	reservation, waiting, err := w.submit()
	require.NoError(t, err)
	require.Nil(t, reservation)
	require.NotNil(t, waiting, "other requests wait for the result of the probe")
	probe.Started(w.now)
	require.Equal(t, 1, w.d.OwnLoad()["a"].Requests-1, "the queued request got its slot")
	w.acquire()
}

func TestStalledProbeDoesNotBlockOtherRequests(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	w.rejectWithBackoff(w.acquire(), time.Second)
	w.now = w.now.Add(time.Second)
	w.acquire()
	w.now = w.now.Add(stallTimeout)
	w.acquire()
}

// Guards against a Retry-After that ignores the backoffs of the servers: callers receive a Retry-After of 0.1 s while
// all servers are backing off.
func TestRetryAfterIsEndOfEarliestBackoffIfAllServersBackOff(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1), plainServer("b", 1))
	first, second := w.acquire(), w.acquire()
	w.rejectWithBackoff(first, 2*time.Second)
	for second.Server.ID == first.Server.ID {
		second = w.acquire()
	}
	w.rejectWithBackoff(second, 5*time.Second)
	var waits []time.Duration
	for range 40 {
		_, _, err := w.submit()
		var busy *BusyError
		require.ErrorAs(t, err, &busy, "rejected immediately")
		require.GreaterOrEqual(t, busy.RetryAfter, 2*time.Second)
		waits = append(waits, busy.RetryAfter)
	}
	require.Greater(t, waits[39]-waits[0], 200*time.Millisecond, "retries are staggered")
	backoffErr := w.d.BackoffError(&SlotRequest{Objective: w.now, Deadline: w.now.Add(time.Second)}, w.now)
	require.GreaterOrEqual(t, RetryAfter(backoffErr, time.Second), 2*time.Second, "the same applies to a request that a server rejected")
	w.now = w.now.Add(2 * time.Second)
	require.NoError(t, w.d.BackoffError(&SlotRequest{Objective: w.now, Deadline: w.now.Add(time.Second)}, w.now))
}

// Guards against a forecast that ignores the backoff. It would assume that the server stays ineligible for as long
// again as it has been.
func TestRetryWaitsForServerWhoseBackoffEndsSoon(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	w.rejectWithBackoff(w.acquire(), time.Second)
	w.now = w.now.Add(900 * time.Millisecond)
	_, waiting, err := w.d.Submit(&SlotRequest{
		Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second), Retry: true,
	}, func(*Reservation) {}, w.now)
	require.NoError(t, err)
	require.NotNil(t, waiting)
}

// Guards against ending a backoff too early: when the current incarnation of the server is listed only after the
// response that requested the backoff, it must not be mistaken for a later incarnation.
func TestBackoffAppliesToIncarnationRunningWhenRequested(t *testing.T) {
	for name, test := range map[string]struct {
		startedBefore time.Duration
		backingOff    bool
	}{
		"started 2.1 s before the response": {2100 * time.Millisecond, true},
		"started 1.9 s before the response": {1900 * time.Millisecond, false},
		"started after the response":        {-100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlainDispatcher(t, plainServer("a", 1))
			w.now = time.Unix(1000, 0)
			requestedAt := w.now
			w.rejectWithBackoff(w.acquire(), 3*time.Second)
			w.now = w.now.Add(time.Second)
			w.setServers(plainServer("a", member.Incarnation(requestedAt.Add(-test.startedBefore).UnixMilli())))
			require.Equal(t, test.backingOff, !w.d.anyEligible(&SlotRequest{}, w.now))
		})
	}
}

// Guards against ending the backoff of an incarnation that requested it soon after its start and is listed only after
// its response. Its start time is also that of a possible later incarnation, and only the connection identifies it.
func TestBackoffAppliesToIncarnationThatHoldsTheConnection(t *testing.T) {
	for name, test := range map[string]struct {
		startedBefore time.Duration
		isConnected   bool
		backingOff    bool
	}{
		"open, started 1.1 s before the response":   {1100 * time.Millisecond, true, true},
		"closed, started 1.1 s before the response": {1100 * time.Millisecond, false, false},
		"open, started 1.9 s after the response":    {-1900 * time.Millisecond, true, true},
		"open, started 2.1 s after the response":    {-2100 * time.Millisecond, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlainDispatcher(t, plainServer("a", 1))
			w.now = time.Unix(1000, 0)
			requestedAt, connected := w.now, test.isConnected
			w.rejectOnConnection(w.acquire(), 4*time.Second, func() bool { return connected })
			w.now = w.now.Add(3 * time.Second)
			w.setServers(plainServer("a", member.Incarnation(requestedAt.Add(-test.startedBefore).UnixMilli())))
			require.Equal(t, test.backingOff, !w.d.anyEligible(&SlotRequest{}, w.now))
			connected = false
			w.setServers()
			w.setServers(plainServer("a", member.Incarnation(requestedAt.Add(-test.startedBefore).UnixMilli())))
			require.Equal(t, test.backingOff, !w.d.anyEligible(&SlotRequest{}, w.now), "the incarnation is known, whatever becomes of the connection")
		})
	}
}
