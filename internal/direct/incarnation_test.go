package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// serverFact is an entry that names the address that all of these tests are about.
func serverFact(id fleet.ServerID, service member.Service, incarnation member.Incarnation, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ServerKey(id), Revision: revision, Server: &fleet.Server{
		ID: id, Service: service, Address: "10.0.0.1:1", Slots: 1, Incarnation: incarnation,
	}}
}

func incarnationsByServer(facts *FleetState, service member.Service) map[fleet.ServerID]member.Incarnation {
	found := make(map[fleet.ServerID]member.Incarnation)
	for _, s := range facts.View().Servers(service) {
		found[s.ID] = s.Incarnation
	}
	return found
}

// An entry of another writer with a server's address was newer than the server's own, and
// hid it, though no route leads to the service that it named.
func TestEntryOfUnconfiguredServiceHidesNoServer(t *testing.T) {
	facts, _ := newTestFleetState()
	configuration := func(version uint64, names ...member.Service) fleet.Fact {
		c := &fleet.Configuration{Version: version}
		for _, name := range names {
			c.Services = append(c.Services, fleet.Service{Name: name})
		}
		return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: fleet.Revision(version), Configuration: c}
	}
	facts.Apply([]fleet.Fact{configuration(1, "llm"), serverFact("a", "llm", 5, 2), serverFact("x", "nobody", 9, 3)}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 5}, incarnationsByServer(facts, "llm"))
	facts.Apply([]fleet.Fact{configuration(4, "llm", "nobody")}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"x": 9}, incarnationsByServer(facts, "nobody"), "it counts once the service is configured")
}

func TestLatestIncarnationWinsInAnyOrder(t *testing.T) {
	facts, clock := newTestFleetState()
	future := member.Incarnation(clock.Now().Add(time.Hour).UnixMilli())
	facts.Apply([]fleet.Fact{serverFact("a", "llm", 50, 2)}, "store")
	for revision, incarnation := range []member.Incarnation{40, 0, future} {
		facts.Apply([]fleet.Fact{serverFact("a", "llm", incarnation, fleet.Revision(3+revision))}, "store")
		require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 50}, incarnationsByServer(facts, "llm"), "start %d", incarnation)
	}
	facts.Apply([]fleet.Fact{serverFact("a", "llm", 60, 9)}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 60}, incarnationsByServer(facts, "llm"))
	// Another id at the address: the later start is right, also when its entry is the older one.
	facts.Apply([]fleet.Fact{serverFact("b", "llm", 55, 10)}, "store")
	require.Equal(t, map[fleet.ServerID]member.Incarnation{"a": 60}, incarnationsByServer(facts, "llm"))
}

func TestAgentResetsServerStateOnRestart(t *testing.T) {
	_, clock := newTestFleetState()
	l := &Loader{changed: make(chan struct{}), options: LoaderOptions{Clock: clock}}
	require.NoError(t, l.noteIncarnation(5))
	l.verified.at, l.swapAt = map[int]time.Time{1: clock.Now()}, clock.Now()
	require.NoError(t, l.noteIncarnation(5))
	require.NoError(t, l.noteIncarnation(0), "a report that does not tell is of the same start")
	require.ErrorIs(t, l.noteIncarnation(4), errEarlierIncarnation)
	require.NotEmpty(t, l.verified.at)
	require.NoError(t, l.noteIncarnation(6))
	require.Empty(t, l.verified.at)
	require.Zero(t, l.swapAt)
}
