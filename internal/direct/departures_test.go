package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// listedIncarnation is the entry of one start of server a, which is ready.
func listedIncarnation(incarnation member.Incarnation, revision fleet.Revision) fleet.Fact {
	fact := listedAt("a", "10.0.0.1:8000", revision)
	fact.Server.Incarnation = incarnation
	return fact
}

// deletedAt is that server a has no entry any more.
func deletedAt(revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ServerKey("a"), Revision: revision, Deleted: true}
}

func newDeparturesState() *FleetState {
	return NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
}

// leavingServerIDs are the servers that are believed to leave.
func leavingServerIDs(facts *FleetState) (leaving []fleet.ServerID) {
	for _, server := range facts.View().Servers("llm") {
		if server.Leaving {
			leaving = append(leaving, server.ID)
		}
	}
	return leaving
}

// While the store was silent a server that said in its answers that it leaves stood as ready in every list.
func TestDepartureOutlivesServerEntryUpdates(t *testing.T) {
	left := []fleet.Departure{{Server: "a", Incarnation: 5}}
	for name, test := range map[string]struct {
		meanwhile func(facts *FleetState)
		leaves    bool
	}{
		"nothing":          {func(*FleetState) {}, true},
		"written again":    {func(f *FleetState) { f.Apply([]fleet.Fact{listedIncarnation(5, 7)}, "store") }, true},
		"of before":        {func(f *FleetState) { f.Apply([]fleet.Fact{listedIncarnation(4, 7)}, "store") }, true},
		"gone and back":    {func(f *FleetState) { f.Apply([]fleet.Fact{deletedAt(7), listedIncarnation(5, 8)}, "store") }, true},
		"told without one": {func(f *FleetState) { f.MergeAgentReport("10.0.0.1:8000", 5, false, "agent") }, true},
		"agent of before":  {func(f *FleetState) { f.MergeAgentReport("10.0.0.1:8000", 4, false, "agent") }, true},
		"a later start":    {func(f *FleetState) { f.Apply([]fleet.Fact{listedIncarnation(6, 7)}, "store") }, false},
		"its agent hears a later start": {func(f *FleetState) {
			f.MergeAgentReport("10.0.0.1:8000", 6, false, "agent")
			f.MergeDepartures(left, "entry-2")
		}, false},
		"the later start is gone, and back": {func(f *FleetState) {
			f.Apply([]fleet.Fact{listedIncarnation(6, 7), deletedAt(8), listedIncarnation(6, 9)}, "store")
			f.MergeDepartures(left, "entry-2")
		}, false},
		"the later start leaves too": {func(f *FleetState) {
			f.MergeAgentReport("10.0.0.1:8000", 6, false, "agent")
			f.MergeAgentReport("10.0.0.1:8000", 6, true, "agent")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			facts := newDeparturesState()
			facts.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
			facts.MergeDepartures(left, "entry-2")
			require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(facts))
			test.meanwhile(facts)
			require.Equal(t, test.leaves, len(leavingServerIDs(facts)) == 1)
		})
	}
}

// While the store is away no entry tells that a server has started again under its id, and an answer does not either.
func TestDepartureAppliesToIncarnationRunningAtResponse(t *testing.T) {
	for name, test := range map[string]struct {
		bornBefore time.Duration
		leaves     bool
	}{
		"long there":    {3 * time.Second, true},
		"perhaps there": {time.Second, false},
		"started since": {-5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			facts := NewFleetState(clock, zerolog.Nop(), NewMetrics())
			facts.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
			facts.ObserveDeparture("a", 5, "request 1")
			born := clock.Now().Add(-test.bornBefore)
			clock.Advance(10 * time.Second)
			facts.Apply([]fleet.Fact{listedIncarnation(member.Incarnation(born.UnixMilli()), 7)}, "store")
			require.Equal(t, test.leaves, len(leavingServerIDs(facts)) == 1)
		})
	}
}

// The platform of some deployments tells no starts: a server that starts again has another id there.
func TestAgentReportWithoutIncarnationIsIgnored(t *testing.T) {
	facts := newDeparturesState()
	facts.Apply([]fleet.Fact{listedIncarnation(0, 6)}, "store")
	facts.MergeAgentReport("10.0.0.1:8000", 0, true, "agent")
	require.Empty(t, leavingServerIDs(facts))
	facts.MergeDepartures([]fleet.Departure{{Server: "a"}}, "request 1")
	require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(facts), "an answer names its server")
}

// A word that comes before the entry holds once that is there.
func TestDepartureBeforeEntryApplies(t *testing.T) {
	facts := newDeparturesState()
	facts.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "entry-2")
	facts.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(facts))
}

func TestDepartureIsReportedOncePerFollower(t *testing.T) {
	facts := newDeparturesState()
	facts.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}, {Server: "b"}}, "entry-2")
	left, told := facts.DeparturesSince(0)
	require.Equal(t, []fleet.Departure{{Server: "a", Incarnation: 5}, {Server: "b"}}, departuresFromWire(departuresToWire(left)))
	facts.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "entry-3")
	left, told = facts.DeparturesSince(told)
	require.Empty(t, left, "it is no news")
	facts.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 6}}, "entry-3")
	left, _ = facts.DeparturesSince(told)
	require.Equal(t, []fleet.Departure{{Server: "a", Incarnation: 6}}, left)
}

// Servers that are replaced for months must not fill the memory of a box, and none that is listed is forgotten.
func TestDeparturesOfUnlistedServersAreBounded(t *testing.T) {
	facts := newDeparturesState()
	facts.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	facts.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "request 1")
	for i := range 5 * maxDepartures {
		facts.MergeDepartures([]fleet.Departure{{Server: fleet.ServerID(fmt.Sprintf("gone-%d", i))}}, "entry-2")
	}
	require.LessOrEqual(t, len(facts.departures.byServer), maxDepartures)
	require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(facts))
	left, _ := facts.DeparturesSince(0)
	require.True(t, slices.ContainsFunc(left, func(d fleet.Departure) bool {
		return d.Server == fleet.ServerID(fmt.Sprintf("gone-%d", 5*maxDepartures-1))
	}))
}

// An entry box tells it with what it tells anyway, and its receiver takes it from any message.
func TestDepartureIsSentWithoutWaitingForHeartbeat(t *testing.T) {
	told := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{} }}
	now := clockwork.NewFakeClock().Now()
	require.NotNil(t, told.nextMessage(statusSummary{}, nil, nil, now, false))
	require.Nil(t, told.nextMessage(statusSummary{departures: 1}, nil, nil, now, false), "the message says what is new")
	require.NotNil(t, told.nextMessage(statusSummary{departures: 1}, nil, nil, now, true))
}

// A server that leaves was ordered to take newer weights, and others waited for its turn.
func TestLeavingServerGetsNoNewerWeights(t *testing.T) {
	facts := newDeparturesState()
	engine := &fleet.Engine{Slots: 4, Models: []fleet.ModelName{"m"}, Layers: 1}
	facts.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{
		Version: 1, Services: []fleet.Service{{Name: "llm", Engine: engine}},
	}}}, "store")
	facts.Apply([]fleet.Fact{listedIncarnation(5, 6), listedAt("b", "10.0.0.2:8000", 6), publishedFact(2, 7)}, "store")
	l := &Loader{
		options:   LoaderOptions{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), FleetState: facts, Service: "llm", Address: "10.0.0.1:8000"},
		downloads: make(map[fleet.WeightsVersion]*versionDownload), changed: make(chan struct{}), incarnation: 5,
	}
	facts.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "entry-1")
	want, known := l.target()
	require.True(t, known)
	l.reconcile(t.Context(), &want, 1)
	require.Empty(t, l.downloads, "nothing is fetched")
	l.incarnation = 0
	require.False(t, l.isLeaving(), "it may be the one that had the address before")
	l.leaving = true
	require.True(t, l.isLeaving(), "by its own word")
	place, _ := l.swapPosition(&want, 2)
	require.Equal(t, 1, place, "behind those that stay")
	l.options.Address = "10.0.0.2:8000"
	place, servers := l.swapPosition(&want, 2)
	require.Equal(t, 0, place)
	require.Equal(t, 1, servers, "the other one is swapped as if it were alone")
}
