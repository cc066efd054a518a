package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

const (
	usualGap   = 50 * time.Millisecond
	slowPeriod = 600 * time.Millisecond
	slowFactor = 2.5
	// paceSlots is a number of slots with which servers are never full.
	paceSlots = 1000
)

// paceScenario is a dispatcher with some responses in progress on each of its servers, which deliver events at a
// regular pace.
type paceScenario struct {
	*testDispatcher
	streams  map[fleet.ServerID][]*Reservation
	lastSent map[*Reservation]time.Time
}

func newPaceScenario(t *testing.T, decode time.Duration) *paceScenario {
	t.Helper()
	servers := make([]fleet.Server, 7)
	for i := range servers {
		servers[i] = modelServer(fmt.Sprint(i), paceSlots, 1)
	}
	s := &paceScenario{newTestDispatcher(true, servers...), make(map[fleet.ServerID][]*Reservation), make(map[*Reservation]time.Time)}
	for _, server := range servers {
		for range 2 {
			req := s.request()
			req.Decode = decode
			r := s.reserve(s.backends[server.ID], req, s.clock.Now())
			r.Started(s.clock.Now())
			r.AwaitEvents(s.clock.Now())
			s.streams[server.ID] = append(s.streams[server.ID], r)
			s.lastSent[r] = s.clock.Now()
		}
	}
	return s
}

// run lets all servers deliver events for a time; the slow server is slower by slowFactor.
func (s *paceScenario) run(period time.Duration, slow fleet.ServerID) {
	const tick = 5 * time.Millisecond
	for range period / tick {
		s.clock.Advance(tick)
		now := s.clock.Now()
		for id, streams := range s.streams {
			gap := usualGap
			if id == slow {
				gap = time.Duration(slowFactor * float64(usualGap))
			}
			for _, r := range streams {
				if now.Sub(s.lastSent[r]) >= gap {
					r.EventsReceived(1, now)
					r.AwaitEvents(now)
					s.lastSent[r] = now
				}
			}
		}
	}
}

// share returns the share of the requests that is sent to a server.
func (s *paceScenario) share(t *testing.T, id fleet.ServerID) float64 {
	t.Helper()
	const requests = 1000
	sent := 0
	for range requests {
		r := s.acquire(t)
		if r.Server.ID == id {
			sent++
		}
		r.Release(ResultAbandoned, s.clock.Now())
	}
	return float64(sent) / requests
}

// Guards against a server that receives as many requests while it is slow as before, against one that is excluded for
// it, and against one that is avoided long after it has recovered. The periods and the factor are those of
// docs/contributors/hard-load.md.
func TestSlowServerReceivesFewerRequestsWhileItIsSlow(t *testing.T) {
	s := newPaceScenario(t, time.Second)
	s.run(2*time.Second, "")
	require.Equal(t, 1.0, s.slowdown(s.backends["0"], s.clock.Now()))
	s.run(slowPeriod/2, "0")
	require.Equal(t, 1, s.SlowServers(s.clock.Now()))
	c, ok := s.candidate(s.backends["0"], s.request(), s.clock.Now())
	require.True(t, ok, "a slow server is not excluded")
	other, ok := s.candidate(s.backends["1"], s.request(), s.clock.Now())
	require.True(t, ok)
	require.Greater(t, c.costPerRequest, other.costPerRequest*(1+slowFactor)/2)
	require.LessOrEqual(t, c.costPerRequest, other.costPerRequest*slowFactor*1.01)
	require.Less(t, s.share(t, "0"), 1.0/7/2)
	s.run(slowPeriod/2, "0")
	before := s.slowdown(s.backends["0"], s.clock.Now())
	for range 12 {
		s.run(usualGap, "")
		now := s.slowdown(s.backends["0"], s.clock.Now())
		require.LessOrEqual(t, now, before, "the slowdown falls")
		require.Less(t, before-now, (slowFactor-1)/2, "it falls gradually")
		before = now
	}
	require.Less(t, before, 1.1, "0.6 s after the server has recovered")
}

// Guards against a server that is avoided on the evidence of responses that ended some time ago.
func TestPaceHasNoEffectWithoutRecentSamples(t *testing.T) {
	s := newPaceScenario(t, time.Second)
	s.run(2*time.Second, "")
	s.run(slowPeriod, "0")
	for _, r := range s.streams["0"] {
		r.Release(ResultDone, s.clock.Now())
	}
	require.Greater(t, s.slowdown(s.backends["0"], s.clock.Now()), 1.0)
	s.clock.Advance(paceMaxAge)
	require.Equal(t, 1.0, s.slowdown(s.backends["0"], s.clock.Now()))
}

// Guards against a change of the costs for services without an engine, whose streams have events at any interval.
func TestPaceHasNoEffectWithoutEngine(t *testing.T) {
	s := newPaceScenario(t, 0)
	s.run(2*time.Second, "")
	s.run(slowPeriod, "0")
	for _, b := range s.backendList {
		require.Equal(t, 1.0, s.slowdown(b, s.clock.Now()))
		require.Empty(t, b.streaming)
	}
	require.Zero(t, s.eventGap)
}

// Guards against a caller that reads slowly and makes the server of its response look slow.
func TestSlowReaderDoesNotMakeItsServerSlow(t *testing.T) {
	s := newPaceScenario(t, time.Second)
	s.run(2*time.Second, "")
	r := s.streams["0"][0]
	for range 5 {
		r.EventsReceived(1, s.clock.Now())
		s.run(slowPeriod, "")
		require.Less(t, s.slowdown(s.backends["0"], s.clock.Now()), 1.01, "the caller reads")
		r.AwaitEvents(s.clock.Now())
	}
}

// Guards against a factor outside its bounds, which would exclude or prefer a server, and against state that remains for
// responses that have ended.
func TestPaceIsBoundedForAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestDispatcher(true, modelServer("a", 5, 1))
		var held []*Reservation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			b.clock.Advance(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait")))
			now := b.clock.Now()
			index := 0
			if len(held) > 0 {
				index = rapid.IntRange(0, len(held)-1).Draw(t, "index")
			}
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0 && len(held) < 5:
				req := b.request()
				req.Decode = time.Second
				held = append(held, b.reserve(b.backends["a"], req, now))
			case len(held) == 0:
			case action == 1:
				held[index].EventsReceived(rapid.IntRange(-1, 1<<40).Draw(t, "events"), now)
			case action == 2:
				held[index].AwaitEvents(now)
			case action == 3:
				r := held[index]
				held = append(held[:index], held[index+1:]...)
				r.Release(ResultDone, now)
				r.AwaitEvents(now)
			}
			slowdown := b.slowdown(b.backends["a"], b.clock.Now())
			if slowdown < 1 || slowdown > maxPaceSample || len(b.backends["a"].streaming) > len(held) {
				t.Fatalf("slowdown %v, %d responses of %d", slowdown, len(b.backends["a"].streaming), len(held))
			}
		}
	})
}

// Guards against a server that stays slow for boxes without a response in progress there, and against reports that keep
// requests away from it after their box has stopped reporting.
func TestPaceReportedByOtherBoxesCounts(t *testing.T) {
	s, observer := newPaceScenario(t, time.Second), newPaceScenario(t, time.Second)
	s.run(2*time.Second, "")
	observer.run(2*time.Second, "")
	require.Zero(t, observer.OwnLoad(observer.clock.Now())["0"].Lateness)
	observer.run(slowPeriod, "0")
	load := observer.OwnLoad(observer.clock.Now())
	require.Positive(t, load["0"].Lateness)
	require.Zero(t, load["1"].Lateness)
	s.UpdatePeerLoad("observer", load, true, s.clock.Now())
	slowdown := s.slowdown(s.backends["0"], s.clock.Now())
	require.Greater(t, slowdown, 1.2)
	require.LessOrEqual(t, slowdown, slowFactor)
	require.Equal(t, 1.0, s.slowdown(s.backends["1"], s.clock.Now()))
	s.run(peerLoadMaxAge, "")
	s.peerLoads.expire(s.clock.Now())
	require.Equal(t, 1.0, s.slowdown(s.backends["0"], s.clock.Now()))
}

// Guards against a box that excludes a server because of an absurd report.
func TestReportedLatenessIsBounded(t *testing.T) {
	s := newPaceScenario(t, time.Second)
	s.run(2*time.Second, "")
	s.UpdatePeerLoad("broken", Load{"0": {Lateness: 1 << 40}}, true, s.clock.Now())
	require.LessOrEqual(t, s.slowdown(s.backends["0"], s.clock.Now()), maxPaceSample)
	_, ok := s.candidate(s.backends["0"], s.request(), s.clock.Now())
	require.True(t, ok)
}

// Guards against an effect of reports on a box that has forwarded no events, such as one that has just started: it knows
// no typical time between events to weigh them with.
func TestReportedLatenessHasNoEffectWithoutOwnEvents(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 5, 1))
	b.UpdatePeerLoad("other", Load{"a": {Requests: 1, Lateness: 20}}, true, b.clock.Now())
	require.Equal(t, 1.0, b.slowdown(b.backends["a"], b.clock.Now()))
}
