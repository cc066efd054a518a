package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// restWorld is a dispatcher before servers of a plain service.
type restWorld struct {
	t   *testing.T
	d   *Dispatcher
	now time.Time
}

func newRestWorld(t *testing.T, servers ...fleet.Server) *restWorld {
	t.Helper()
	w := &restWorld{t: t, now: time.Unix(100, 0), d: NewDispatcher(DispatcherOptions{
		Usual: 100 * time.Millisecond, First: 40 * time.Millisecond, Random: func() float64 { return 0.5 },
	})}
	w.list(servers...)
	return w
}

func plain(id fleet.ServerID, incarnation member.Incarnation) fleet.Server {
	return fleet.Server{ID: id, Service: "maps", Slots: 4, Incarnation: incarnation}
}

func (w *restWorld) list(servers ...fleet.Server) { w.d.Servers(servers, 0, near, w.now) }

// submit asks for a place for a caller who waits for six seconds.
func (w *restWorld) submit() (*Reservation, *Waiting, error) {
	return w.d.Submit(&Ask{Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second)}, func(*Reservation) {}, w.now)
}

func (w *restWorld) place() *Reservation {
	w.t.Helper()
	place, _, err := w.submit()
	require.NoError(w.t, err)
	require.NotNil(w.t, place)
	return place
}

// turnAway lets the server of a place ask for rest.
func (w *restWorld) turnAway(place *Reservation, rest time.Duration) {
	place.Rest(w.now.Add(rest), w.now)
	place.Release(ResultRefused, w.now)
}

// served returns on which servers requests are served that come one after the other.
func (w *restWorld) served(requests int) map[fleet.ServerID]int {
	w.t.Helper()
	served := make(map[fleet.ServerID]int)
	for range requests {
		place := w.place()
		served[place.Server.ID]++
		place.Started(w.now)
		place.Release(ResultDone, w.now)
	}
	return served
}

// A server that turned requests away and asked for three seconds of rest got 24 requests within it: it had
// nothing in flight, so each box took it for the emptiest.
func TestAServerThatAskedForRestGetsNothingUntilThat(t *testing.T) {
	w := newRestWorld(t, plain("a", 1), plain("b", 1))
	place := w.place()
	resting := place.Server.ID
	w.turnAway(place, 3*time.Second)
	w.now = w.now.Add(time.Second)
	require.Zero(t, w.served(50)[resting])
	w.now = w.now.Add(1999 * time.Millisecond)
	require.Zero(t, w.served(50)[resting])
	w.now = w.now.Add(time.Millisecond)
	require.NotZero(t, w.served(50)[resting], "its rest is over")
}

func TestWhatEndsARestAndWhatDoesNot(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile func(w *restWorld)
		resting   bool
	}{
		"nothing":                   {func(*restWorld) {}, true},
		"its entry goes and comes":  {func(w *restWorld) { w.list(); w.list(plain("a", 5)) }, true},
		"its entry is of before":    {func(w *restWorld) { w.list(); w.list(plain("a", 4)) }, true},
		"its agent tells of work":   {func(w *restWorld) { w.d.State("a", ServerState{Incarnation: 5, Version: 2}, w.now) }, true},
		"it starts again, listed":   {func(w *restWorld) { w.list(plain("a", 6)) }, false},
		"its agent tells the start": {func(w *restWorld) { w.d.State("a", ServerState{Incarnation: 6}, w.now) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestWorld(t, plain("a", 5))
			w.turnAway(w.place(), 3*time.Second)
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

func TestOfTwoRestsTheLaterEndHolds(t *testing.T) {
	w := newRestWorld(t, plain("a", 1))
	first, second := w.place(), w.place()
	w.turnAway(first, 3*time.Second)
	w.turnAway(second, time.Second)
	w.now = w.now.Add(2 * time.Second)
	_, _, err := w.submit()
	require.Error(t, err)
}

func TestTheRestOfAnEarlierStartComesTooLate(t *testing.T) {
	w := newRestWorld(t, plain("a", 5))
	before := w.place()
	w.list(plain("a", 6))
	w.turnAway(before, 3*time.Second)
	require.Equal(t, fleet.ServerID("a"), w.place().Server.ID)
}

// A place may be had some hundred milliseconds before anything is sent, as a connection is opened.
func TestAPlaceIsNoLongerGoodOnceItsServerWantsRestOrLeaves(t *testing.T) {
	w := newRestWorld(t, plain("a", 1))
	place, other := w.place(), w.place()
	require.NoError(t, place.Check(w.now))
	w.turnAway(other, time.Second)
	require.ErrorIs(t, place.Check(w.now), ErrResting)
	w.now = w.now.Add(time.Second)
	require.NoError(t, place.Check(w.now))
	leaving := plain("a", 1)
	leaving.Leaving = true
	w.list(leaving)
	require.ErrorIs(t, place.Check(w.now), ErrLeaving)
	w.list(plain("a", 2))
	require.NoError(t, place.Check(w.now))
}

// All boxes come back to a server that has rested at one moment, each with all that waits there; what it turns away
// has used up an attempt.
func TestAServerThatHasRestedGetsOneRequestFirst(t *testing.T) {
	w := newRestWorld(t, plain("a", 1))
	running := w.place()
	running.Started(w.now)
	w.turnAway(w.place(), time.Second)
	w.now = w.now.Add(time.Second)
	running.Release(ResultDone, w.now)
	trial := w.place()
	place, waiting, err := w.submit()
	require.NoError(t, err)
	require.Nil(t, place)
	require.NotNil(t, waiting, "others wait for what becomes of the first")
	trial.Started(w.now)
	require.Equal(t, 1, w.d.Own()["a"].Requests-1, "the one that waited has its place")
	w.place()
}

func TestOthersFollowATrialThatStandsStill(t *testing.T) {
	w := newRestWorld(t, plain("a", 1))
	w.turnAway(w.place(), time.Second)
	w.now = w.now.Add(time.Second)
	w.place()
	w.now = w.now.Add(stallTime)
	w.place()
}

// Callers were told to come back in 0.1 s, whatever rest all servers had asked for.
func TestWhereAllRestCallersAreToldWhenTheFirstHasRested(t *testing.T) {
	w := newRestWorld(t, plain("a", 1), plain("b", 1))
	first, second := w.place(), w.place()
	w.turnAway(first, 2*time.Second)
	for second.Server.ID == first.Server.ID {
		second = w.place()
	}
	w.turnAway(second, 5*time.Second)
	var told []time.Duration
	for range 40 {
		_, _, err := w.submit()
		var busy *BusyError
		require.ErrorAs(t, err, &busy, "refused at once")
		require.GreaterOrEqual(t, busy.RetryAfter, 2*time.Second)
		told = append(told, busy.RetryAfter)
	}
	require.Greater(t, told[39]-told[0], 200*time.Millisecond, "not all at one moment")
	resting := w.d.Resting(&Ask{Objective: w.now, Deadline: w.now.Add(time.Second)}, w.now)
	require.GreaterOrEqual(t, RetryAfter(resting, time.Second), 2*time.Second, "so is one that was turned away")
	w.now = w.now.Add(2 * time.Second)
	require.NoError(t, w.d.Resting(&Ask{Objective: w.now, Deadline: w.now.Add(time.Second)}, w.now))
}

// Without the rest in it, the forecast would take the server to be away for as long again as it has been.
func TestACallerWhoReturnsWaitsForAServerThatHasSoonRested(t *testing.T) {
	w := newRestWorld(t, plain("a", 1))
	w.turnAway(w.place(), time.Second)
	w.now = w.now.Add(900 * time.Millisecond)
	_, waiting, err := w.d.Submit(&Ask{
		Arrived: w.now, Objective: w.now.Add(time.Second), Deadline: w.now.Add(6 * time.Second), Returning: true,
	}, func(*Reservation) {}, w.now)
	require.NoError(t, err)
	require.NotNil(t, waiting)
}

// Guards against ending the rest of a server when its current start is listed only after the answer that asked for rest.
func TestARestHoldsForAStartThatWasRunningWhenItWasAsked(t *testing.T) {
	for name, test := range map[string]struct {
		startedBefore time.Duration
		rests         bool
	}{
		"started 2.1 s before the answer": {2100 * time.Millisecond, true},
		"started 1.9 s before the answer": {1900 * time.Millisecond, false},
		"started after the answer":        {-100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestWorld(t, plain("a", 1))
			w.now = time.Unix(1000, 0)
			asked := w.now
			w.turnAway(w.place(), 3*time.Second)
			w.now = w.now.Add(time.Second)
			w.list(plain("a", member.Incarnation(asked.Add(-test.startedBefore).UnixMilli())))
			require.Equal(t, test.rests, !w.d.anyEligible(w.now))
		})
	}
}
