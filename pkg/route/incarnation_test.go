package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

func startOf(incarnation member.Incarnation) fleet.Server {
	return fleet.Server{
		ID: "a", Service: "llm", Slots: 2, Incarnation: incarnation,
		Models: []fleet.LoadedModel{{Name: "m", Version: 1}},
	}
}

func newEngineDispatcher() *Dispatcher {
	return NewDispatcher(DispatcherOptions{Usual: time.Second, First: 100 * time.Millisecond, Engine: true})
}

func near(member.FailureDomain) bool { return true }

// A server that had started again under its id was believed to hold the weights, and to
// have in flight the requests, of the start before.
func TestNothingIsBelievedOfAnEarlierStartOfAServer(t *testing.T) {
	now := time.Unix(100, 0)
	for name, restart := range map[string]func(d *Dispatcher){
		"told by its agent": func(d *Dispatcher) { d.State("a", ServerState{Incarnation: 6}, now) },
		"told by the list": func(d *Dispatcher) {
			server := startOf(6)
			server.Models = nil
			d.Servers([]fleet.Server{server}, 0, near, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newEngineDispatcher()
			d.Servers([]fleet.Server{startOf(5)}, 0, near, now)
			d.State("a", ServerState{Incarnation: 5, Version: 1, Swapping: false}, now)
			ask := &Ask{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}
			place, _, err := d.Submit(ask, nil, now)
			require.NoError(t, err)
			require.Equal(t, 1, d.Own()["a"].Requests)

			restart(d)
			require.Zero(t, d.Own()["a"].Requests, "what ran there is gone")
			_, _, err = d.Submit(&Ask{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.ErrorIs(t, err, ErrNoServer, "it holds no weights")
			place.Release(ResultFailed, now)

			d.State("a", ServerState{Incarnation: 5, Version: 1}, now)
			_, _, err = d.Submit(&Ask{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.ErrorIs(t, err, ErrNoServer, "what is told of the start before comes too late")
			d.Servers([]fleet.Server{startOf(5)}, 0, near, now.Add(2*serverStatusAge))
			_, _, err = d.Submit(&Ask{Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, nil, now.Add(2*serverStatusAge))
			require.ErrorIs(t, err, ErrNoServer, "so does a list of before")

			d.State("a", ServerState{Incarnation: 6, Version: 1}, now)
			second, _, err := d.Submit(&Ask{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.NoError(t, err)
			require.Equal(t, 1, d.Own()["a"].Requests, "ending the first changed nothing")
			second.Release(ResultDone, now)
			require.Zero(t, d.Own()["a"].Requests)
		})
	}
}

// Platforms that do not tell starts, and agents that do, go together.
func TestAnAgentMayTellAStartThatTheListDoesNot(t *testing.T) {
	now := time.Unix(100, 0)
	d := newEngineDispatcher()
	d.Servers([]fleet.Server{startOf(0)}, 0, near, now)
	d.State("a", ServerState{Incarnation: 5, Version: 1}, now)
	_, _, err := d.Submit(&Ask{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
	require.NoError(t, err)
	d.State("a", ServerState{Incarnation: 7}, now)
	_, _, err = d.Submit(&Ask{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
	require.ErrorIs(t, err, ErrNoServer)
}
