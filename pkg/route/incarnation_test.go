package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

func serverWithIncarnation(incarnation member.Incarnation) fleet.Server {
	return fleet.Server{
		ID: "a", Service: "llm", Slots: 2, Incarnation: incarnation,
		Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
	}
}

func newEngineDispatcher() *Dispatcher {
	return NewDispatcher(DispatcherOptions{TypicalHoldTime: time.Second, TTFB: 100 * time.Millisecond, NeedsWeights: true})
}

func allLocal(member.FailureDomain) bool { return true }

// A server that had started again under its id was believed to hold the weights, and to
// have in flight the requests, of the start before.
func TestStateOfEarlierIncarnationIsDiscarded(t *testing.T) {
	now := time.Unix(100, 0)
	for name, restart := range map[string]func(d *Dispatcher){
		"told by its agent": func(d *Dispatcher) { d.UpdateServer("a", ServerState{Incarnation: 6}, now) },
		"told by the list": func(d *Dispatcher) {
			server := serverWithIncarnation(6)
			server.Models = nil
			d.SetServers([]fleet.Server{server}, 0, allLocal, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newEngineDispatcher()
			d.SetServers([]fleet.Server{serverWithIncarnation(5)}, 0, allLocal, now)
			d.UpdateServer("a", ServerState{Incarnation: 5, Version: 1, Swapping: false}, now)
			ask := &SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}
			place, _, err := d.Submit(ask, nil, now)
			require.NoError(t, err)
			require.Equal(t, 1, d.OwnLoad()["a"].Requests)

			restart(d)
			require.Zero(t, d.OwnLoad()["a"].Requests, "what ran there is gone")
			_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.ErrorIs(t, err, ErrNoServer, "it holds no weights")
			place.Release(ResultFailed, now)

			d.UpdateServer("a", ServerState{Incarnation: 5, Version: 1}, now)
			_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.ErrorIs(t, err, ErrNoServer, "what is told of the start before comes too late")
			d.SetServers([]fleet.Server{serverWithIncarnation(5)}, 0, allLocal, now.Add(2*serverStatusMaxAge))
			_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, nil, now.Add(2*serverStatusMaxAge))
			require.ErrorIs(t, err, ErrNoServer, "so does a list of before")

			d.UpdateServer("a", ServerState{Incarnation: 6, Version: 1}, now)
			second, _, err := d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.NoError(t, err)
			require.Equal(t, 1, d.OwnLoad()["a"].Requests, "ending the first changed nothing")
			second.Release(ResultDone, now)
			require.Zero(t, d.OwnLoad()["a"].Requests)
		})
	}
}

// Platforms that do not tell starts, and agents that do, go together.
func TestAgentMayReportIncarnationThatListLacks(t *testing.T) {
	now := time.Unix(100, 0)
	d := newEngineDispatcher()
	d.SetServers([]fleet.Server{serverWithIncarnation(0)}, 0, allLocal, now)
	d.UpdateServer("a", ServerState{Incarnation: 5, Version: 1}, now)
	_, _, err := d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
	require.NoError(t, err)
	d.UpdateServer("a", ServerState{Incarnation: 7}, now)
	_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
	require.ErrorIs(t, err, ErrNoServer)
}
