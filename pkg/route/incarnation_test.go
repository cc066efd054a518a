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

// Guards against assuming that a server that has restarted under the same ID still has the weights and the
// requests in flight of its earlier incarnation.
func TestStateOfEarlierIncarnationIsDiscarded(t *testing.T) {
	now := time.Unix(100, 0)
	for name, restart := range map[string]func(d *Dispatcher){
		"reported by agent": func(d *Dispatcher) { d.UpdateServer("a", ServerState{Incarnation: 6}, now) },
		"reported by list": func(d *Dispatcher) {
			server := serverWithIncarnation(6)
			server.Models = nil
			d.SetServers([]fleet.Server{server}, 0, allLocal, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newEngineDispatcher()
			d.SetServers([]fleet.Server{serverWithIncarnation(5)}, 0, allLocal, now)
			d.UpdateServer("a", ServerState{Incarnation: 5, Version: 1, Swapping: false}, now)
			req := &SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}
			reservation, _, err := d.Submit(req, nil, now)
			require.NoError(t, err)
			require.Equal(t, 1, d.OwnLoad()["a"].Requests)

			restart(d)
			require.Zero(t, d.OwnLoad()["a"].Requests, "requests of the earlier incarnation do not count")
			_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.ErrorIs(t, err, ErrNoServer, "the server has no weights")
			reservation.Release(ResultFailed, now)

			d.UpdateServer("a", ServerState{Incarnation: 5, Version: 1}, now)
			_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.ErrorIs(t, err, ErrNoServer, "a report about the earlier incarnation is ignored")
			d.SetServers([]fleet.Server{serverWithIncarnation(5)}, 0, allLocal, now.Add(2*serverStatusMaxAge))
			_, _, err = d.Submit(&SlotRequest{Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, nil, now.Add(2*serverStatusMaxAge))
			require.ErrorIs(t, err, ErrNoServer, "a list with the earlier incarnation is ignored")

			d.UpdateServer("a", ServerState{Incarnation: 6, Version: 1}, now)
			second, _, err := d.Submit(&SlotRequest{Objective: now.Add(time.Second), Deadline: now.Add(6 * time.Second)}, nil, now)
			require.NoError(t, err)
			require.Equal(t, 1, d.OwnLoad()["a"].Requests, "releasing the first reservation changed nothing")
			second.Release(ResultDone, now)
			require.Zero(t, d.OwnLoad()["a"].Requests)
		})
	}
}

// A platform that does not report incarnations can be used with agents that do.
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
