package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// serverFact returns an entry with the address that all of these tests use.
func serverFact(id fleet.ServerID, service member.Service, incarnation member.Incarnation, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ServerKey(id), Revision: revision, Server: &fleet.Server{
		ID: id, Service: service, Address: "10.0.0.1:1", Slots: 1, Incarnation: incarnation,
	}}
}

func incarnationsByServer(fleetState *FleetState, service member.Service) map[fleet.ServerID]member.Incarnation {
	found := make(map[fleet.ServerID]member.Incarnation)
	for _, s := range fleetState.View().Servers(service) {
		found[s.ID] = s.Incarnation
	}
	return found
}

// Guards against an entry of another writer that has a server's address and is newer than the server's own entry.
// It hid the server, although no route uses the service in it.
func TestEntryOfUnconfiguredServiceHidesNoServer(t *testing.T) {
	fleetState, _ := newTestFleetState()
	configuration := func(version uint64, names ...member.Service) fleet.Fact {
		c := &fleet.Configuration{Version: version}
		for _, name := range names {
			c.Services = append(c.Services, fleet.Service{Name: name})
		}
		return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: fleet.Revision(version), Configuration: c}
	}
	fleetState.Apply([]fleet.Fact{configuration(1, "llm"), serverFact("a", "llm", 5, 2), serverFact("x", "nobody", 9, 3)}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 5}, incarnationsByServer(fleetState, "llm"))
	fleetState.Apply([]fleet.Fact{configuration(4, "llm", "nobody")}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"x": 9}, incarnationsByServer(fleetState, "nobody"), "the entry is used once the service is configured")
}

func TestLatestIncarnationWinsInAnyOrder(t *testing.T) {
	fleetState, clock := newTestFleetState()
	future := member.Incarnation(clock.Now().Add(time.Hour).UnixMilli())
	fleetState.Apply([]fleet.Fact{serverFact("a", "llm", 50, 2)}, "store")
	for revision, incarnation := range []member.Incarnation{40, 0, future} {
		fleetState.Apply([]fleet.Fact{serverFact("a", "llm", incarnation, fleet.Revision(3+revision))}, "store")
		require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 50}, incarnationsByServer(fleetState, "llm"), "incarnation %d", incarnation)
	}
	fleetState.Apply([]fleet.Fact{serverFact("a", "llm", 60, 9)}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 60}, incarnationsByServer(fleetState, "llm"))
	// Of two ids with one address, the one with the later incarnation is valid, even if its entry is older.
	fleetState.Apply([]fleet.Fact{serverFact("b", "llm", 55, 10)}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 60}, incarnationsByServer(fleetState, "llm"))
}

// Guards against sending requests to a server that leaves, because its box's clock was ahead at its start before.
func TestServerLeavesByALaterEntryOfAnEarlierIncarnation(t *testing.T) {
	entry := func(incarnation member.Incarnation, revision fleet.Revision, leaving bool) fleet.Fact {
		fact := serverFact("a", "llm", incarnation, revision)
		fact.Server.Leaving = leaving
		return fact
	}
	secondEra := fleet.NewRevision(2, 9)
	for _, test := range []struct {
		name    string
		entries []fleet.Fact
		leaving bool
	}{
		{"earlier start leaves later", []fleet.Fact{entry(50, 2, false), entry(40, 3, true)}, true},
		{"earlier start is ready later", []fleet.Fact{entry(50, 2, false), entry(40, 3, true), entry(40, 4, false)}, true},
		{"later start is ready again", []fleet.Fact{entry(50, 2, false), entry(40, 3, true), entry(50, 4, false)}, false},
		{"third start", []fleet.Fact{entry(50, 2, false), entry(40, 3, true), entry(60, 4, false)}, false},
		{"earlier start left before", []fleet.Fact{entry(50, 5, false), entry(40, 3, true)}, false},
		{"a copy of the store has the earlier start", []fleet.Fact{entry(50, 2, false), entry(40, secondEra, true)}, false},
	} {
		fleetState, _ := newTestFleetState()
		for _, fact := range test.entries {
			fleetState.Apply([]fleet.Fact{fact}, "store")
		}
		servers := fleetState.View().Servers("llm")
		require.Len(t, servers, 1, test.name)
		require.Equal(t, test.leaving, servers[0].Leaving, test.name)
	}
}

// Guards against an agent that passes over all reports of a server whose box's clock was ahead at its start before, and a single
// late one being taken for a new start.
func TestAgentTakesAnEarlierIncarnationThatIsReportedAgain(t *testing.T) {
	_, clock := newTestFleetState()
	l := &Loader{changed: make(chan struct{}), options: LoaderOptions{Clock: clock}}
	require.NoError(t, l.noteIncarnation(50))
	l.swapAt = clock.Now()
	require.ErrorIs(t, l.noteIncarnation(40), errEarlierIncarnation)
	require.NoError(t, l.noteIncarnation(50))
	require.ErrorIs(t, l.noteIncarnation(40), errEarlierIncarnation, "the report between was of the later start")
	require.NotZero(t, l.swapAt)
	require.NoError(t, l.noteIncarnation(40))
	require.Zero(t, l.swapAt)
	require.NoError(t, l.noteIncarnation(40))
}

func TestAgentResetsServerStateOnRestart(t *testing.T) {
	_, clock := newTestFleetState()
	l := &Loader{changed: make(chan struct{}), options: LoaderOptions{Clock: clock}}
	require.NoError(t, l.noteIncarnation(5))
	l.verified.at, l.swapAt = map[int]time.Time{1: clock.Now()}, clock.Now()
	require.NoError(t, l.noteIncarnation(5))
	require.NoError(t, l.noteIncarnation(0), "a report without an incarnation is from the same one")
	require.ErrorIs(t, l.noteIncarnation(4), errEarlierIncarnation)
	require.NotEmpty(t, l.verified.at)
	require.NoError(t, l.noteIncarnation(6))
	require.Empty(t, l.verified.at)
	require.Zero(t, l.swapAt)
}
