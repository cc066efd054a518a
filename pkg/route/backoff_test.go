package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// plainDispatcher is a dispatcher before servers of a plain service.
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

// submit asks for a place for a caller who waits for six seconds.
func (w *plainDispatcher) submit() (*Reservation, *QueuedRequest, error) {
	return w.d.Submit(&SlotRequest{Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, func(*Reservation) {}, w.now)
}

func (w *plainDispatcher) acquire() *Reservation {
	w.t.Helper()
	place, _, err := w.submit()
	require.NoError(w.t, err)
	require.NotNil(w.t, place)
	return place
}

// rejectWithBackoff lets the server of a place ask for rest.
func (w *plainDispatcher) rejectWithBackoff(place *Reservation, rest time.Duration) {
	place.BackOff(w.now.Add(rest), w.now)
	place.Release(ResultRefused, w.now)
}

// serve returns on which servers requests are served that come one after the other.
func (w *plainDispatcher) serve(requests int) map[fleet.ServerID]int {
	w.t.Helper()
	served := make(map[fleet.ServerID]int)
	for range requests {
		place := w.acquire()
		served[place.Server.ID]++
		place.Started(w.now)
		place.Release(ResultDone, w.now)
	}
	return served
}

// A server that turned requests away and asked for three seconds of rest got 24 requests within it: it had
// nothing in flight, so each box took it for the emptiest.
func TestServerGetsNoRequestsDuringBackoff(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1), plainServer("b", 1))
	place := w.acquire()
	resting := place.Server.ID
	w.rejectWithBackoff(place, 3*time.Second)
	w.now = w.now.Add(time.Second)
	require.Zero(t, w.serve(50)[resting])
	w.now = w.now.Add(1999 * time.Millisecond)
	require.Zero(t, w.serve(50)[resting])
	w.now = w.now.Add(time.Millisecond)
	require.NotZero(t, w.serve(50)[resting], "its rest is over")
}

func TestOnlyNewIncarnationEndsBackoff(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile func(w *plainDispatcher)
		resting   bool
	}{
		"nothing":                   {func(*plainDispatcher) {}, true},
		"its entry goes and comes":  {func(w *plainDispatcher) { w.setServers(); w.setServers(plainServer("a", 5)) }, true},
		"its entry is of before":    {func(w *plainDispatcher) { w.setServers(); w.setServers(plainServer("a", 4)) }, true},
		"its agent tells of work":   {func(w *plainDispatcher) { w.d.UpdateServer("a", ServerState{Incarnation: 5, Version: 2}, w.now) }, true},
		"it starts again, listed":   {func(w *plainDispatcher) { w.setServers(plainServer("a", 6)) }, false},
		"its agent tells the start": {func(w *plainDispatcher) { w.d.UpdateServer("a", ServerState{Incarnation: 6}, w.now) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlainDispatcher(t, plainServer("a", 5))
			w.rejectWithBackoff(w.acquire(), 3*time.Second)
			w.now = w.now.Add(time.Second)
			test.meanwhile(w)
			_, _, err := w.submit()
			if test.resting {
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
	w.setServers(plainServer("a", 6))
	w.rejectWithBackoff(before, 3*time.Second)
	require.Equal(t, fleet.ServerID("a"), w.acquire().Server.ID)
}

// A place may be had some hundred milliseconds before anything is sent, as a connection is opened.
func TestCheckFailsIfServerBacksOffOrLeaves(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	place, other := w.acquire(), w.acquire()
	require.NoError(t, place.Check(w.now))
	w.rejectWithBackoff(other, time.Second)
	require.ErrorIs(t, place.Check(w.now), ErrBackingOff)
	w.now = w.now.Add(time.Second)
	require.NoError(t, place.Check(w.now))
	leaving := plainServer("a", 1)
	leaving.Leaving = true
	w.setServers(leaving)
	require.ErrorIs(t, place.Check(w.now), ErrLeaving)
	w.setServers(plainServer("a", 2))
	require.NoError(t, place.Check(w.now))
}

// All boxes come back to a server that has rested at one moment, each with all that waits there; what it turns away
// has used up an attempt.
func TestServerIsProbedWithOneRequestAfterBackoff(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1))
	running := w.acquire()
	running.Started(w.now)
	w.rejectWithBackoff(w.acquire(), time.Second)
	w.now = w.now.Add(time.Second)
	running.Release(ResultDone, w.now)
	trial := w.acquire()
	place, waiting, err := w.submit()
	require.NoError(t, err)
	require.Nil(t, place)
	require.NotNil(t, waiting, "others wait for what becomes of the first")
	trial.Started(w.now)
	require.Equal(t, 1, w.d.OwnLoad()["a"].Requests-1, "the one that waited has its place")
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

// Callers were told to come back in 0.1 s, whatever rest all servers had asked for.
func TestRetryAfterIsEndOfEarliestBackoffIfAllServersBackOff(t *testing.T) {
	w := newPlainDispatcher(t, plainServer("a", 1), plainServer("b", 1))
	first, second := w.acquire(), w.acquire()
	w.rejectWithBackoff(first, 2*time.Second)
	for second.Server.ID == first.Server.ID {
		second = w.acquire()
	}
	w.rejectWithBackoff(second, 5*time.Second)
	var told []time.Duration
	for range 40 {
		_, _, err := w.submit()
		var busy *BusyError
		require.ErrorAs(t, err, &busy, "refused at once")
		require.GreaterOrEqual(t, busy.RetryAfter, 2*time.Second)
		told = append(told, busy.RetryAfter)
	}
	require.Greater(t, told[39]-told[0], 200*time.Millisecond, "not all at one moment")
	resting := w.d.BackoffError(&SlotRequest{Objective: w.now, Deadline: w.now.Add(time.Second)}, w.now)
	require.GreaterOrEqual(t, RetryAfter(resting, time.Second), 2*time.Second, "so is one that was turned away")
	w.now = w.now.Add(2 * time.Second)
	require.NoError(t, w.d.BackoffError(&SlotRequest{Objective: w.now, Deadline: w.now.Add(time.Second)}, w.now))
}

// Without the rest in it, the forecast would take the server to be away for as long again as it has been.
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

// Guards against ending the rest of a server when its current start is listed only after the answer that asked for rest.
func TestBackoffAppliesToIncarnationRunningWhenRequested(t *testing.T) {
	for name, test := range map[string]struct {
		startedBefore time.Duration
		rests         bool
	}{
		"started 2.1 s before the answer": {2100 * time.Millisecond, true},
		"started 1.9 s before the answer": {1900 * time.Millisecond, false},
		"started after the answer":        {-100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlainDispatcher(t, plainServer("a", 1))
			w.now = time.Unix(1000, 0)
			asked := w.now
			w.rejectWithBackoff(w.acquire(), 3*time.Second)
			w.now = w.now.Add(time.Second)
			w.setServers(plainServer("a", member.Incarnation(asked.Add(-test.startedBefore).UnixMilli())))
			require.Equal(t, test.rests, !w.d.anyEligible(w.now))
		})
	}
}
