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

// listedIncarnation returns the entry of one incarnation of server a, which is ready.
func listedIncarnation(incarnation member.Incarnation, revision fleet.Revision) fleet.Fact {
	fact := listedAt("a", "10.0.0.1:8000", revision)
	fact.Server.Incarnation = incarnation
	return fact
}

// deletedAt returns the deletion of the entry of server a.
func deletedAt(revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ServerKey("a"), Revision: revision, Deleted: true}
}

func newDeparturesState() *FleetState {
	return NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
}

// leavingServerIDs returns the servers that are leaving in the view.
func leavingServerIDs(fleetState *FleetState) (leaving []fleet.ServerID) {
	for _, server := range fleetState.View().Servers("llm") {
		if server.Leaving {
			leaving = append(leaving, server.ID)
		}
	}
	return leaving
}

// Guards against listing a server as ready after it announced its departure in responses while the store was down.
func TestDepartureOutlivesServerEntryUpdates(t *testing.T) {
	reported := []fleet.Departure{{Server: "a", Incarnation: 5}}
	for name, test := range map[string]struct {
		update      func(fleetState *FleetState)
		wantLeaving bool
	}{
		"nothing":                              {func(*FleetState) {}, true},
		"entry is written again":               {func(f *FleetState) { f.Apply([]fleet.Fact{listedIncarnation(5, 7)}, "store") }, true},
		"entry of an earlier incarnation":      {func(f *FleetState) { f.Apply([]fleet.Fact{listedIncarnation(4, 7)}, "store") }, true},
		"entry is deleted and written again":   {func(f *FleetState) { f.Apply([]fleet.Fact{deletedAt(7), listedIncarnation(5, 8)}, "store") }, true},
		"agent reports no departure":           {func(f *FleetState) { f.MergeAgentReport("10.0.0.1:8000", 5, false, "agent") }, true},
		"agent reports an earlier incarnation": {func(f *FleetState) { f.MergeAgentReport("10.0.0.1:8000", 4, false, "agent") }, true},
		"entry of a later incarnation":         {func(f *FleetState) { f.Apply([]fleet.Fact{listedIncarnation(6, 7)}, "store") }, false},
		"agent reports a later incarnation": {func(f *FleetState) {
			f.MergeAgentReport("10.0.0.1:8000", 6, false, "agent")
			f.MergeDepartures(reported, "entry-2")
		}, false},
		"entry of a later incarnation is deleted and written again": {func(f *FleetState) {
			f.Apply([]fleet.Fact{listedIncarnation(6, 7), deletedAt(8), listedIncarnation(6, 9)}, "store")
			f.MergeDepartures(reported, "entry-2")
		}, false},
		"later incarnation leaves too": {func(f *FleetState) {
			f.MergeAgentReport("10.0.0.1:8000", 6, false, "agent")
			f.MergeAgentReport("10.0.0.1:8000", 6, true, "agent")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			fleetState := newDeparturesState()
			fleetState.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
			fleetState.MergeDepartures(reported, "entry-2")
			require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(fleetState))
			test.update(fleetState)
			require.Equal(t, test.wantLeaving, len(leavingServerIDs(fleetState)) == 1)
		})
	}
}

// While the store is down, neither an entry nor a response shows that a server has restarted under the same id.
func TestDepartureAppliesToIncarnationRunningAtResponse(t *testing.T) {
	for name, test := range map[string]struct {
		startedBefore time.Duration
		wantLeaving   bool
	}{
		"started well before the response":    {3 * time.Second, true},
		"started shortly before the response": {time.Second, false},
		"started after the response":          {-5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			fleetState := NewFleetState(clock, zerolog.Nop(), NewMetrics())
			fleetState.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
			fleetState.ObserveDeparture("a", 5, "request 1")
			startedAt := clock.Now().Add(-test.startedBefore)
			clock.Advance(10 * time.Second)
			fleetState.Apply([]fleet.Fact{listedIncarnation(member.Incarnation(startedAt.UnixMilli()), 7)}, "store")
			require.Equal(t, test.wantLeaving, len(leavingServerIDs(fleetState)) == 1)
		})
	}
}

// Some platforms do not report incarnations. A server that restarts gets another id there.
func TestAgentReportWithoutIncarnationIsIgnored(t *testing.T) {
	fleetState := newDeparturesState()
	fleetState.Apply([]fleet.Fact{listedIncarnation(0, 6)}, "store")
	fleetState.MergeAgentReport("10.0.0.1:8000", 0, true, "agent")
	require.Empty(t, leavingServerIDs(fleetState))
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a"}}, "request 1")
	require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(fleetState), "a response identifies its server")
}

// A departure that is received before the server's entry applies once the entry is present.
func TestDepartureBeforeEntryApplies(t *testing.T) {
	fleetState := newDeparturesState()
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "entry-2")
	fleetState.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(fleetState))
}

func TestDepartureIsReportedOncePerFollower(t *testing.T) {
	fleetState := newDeparturesState()
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}, {Server: "b"}}, "entry-2")
	reported, cursor := fleetState.DeparturesSince(0)
	require.Equal(t, []fleet.Departure{{Server: "a", Incarnation: 5}, {Server: "b"}}, departuresFromWire(departuresToWire(reported)))
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "entry-3")
	reported, cursor = fleetState.DeparturesSince(cursor)
	require.Empty(t, reported, "a known departure is not reported again")
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 6}}, "entry-3")
	reported, _ = fleetState.DeparturesSince(cursor)
	require.Equal(t, []fleet.Departure{{Server: "a", Incarnation: 6}}, reported)
}

// Replacing servers for months must not exhaust the memory of a box, and departures of listed servers must be
// kept.
func TestDeparturesOfUnlistedServersAreBounded(t *testing.T) {
	fleetState := newDeparturesState()
	fleetState.Apply([]fleet.Fact{listedIncarnation(5, 6)}, "store")
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "request 1")
	for i := range 5 * maxDepartures {
		fleetState.MergeDepartures([]fleet.Departure{{Server: fleet.ServerID(fmt.Sprintf("gone-%d", i))}}, "entry-2")
	}
	require.LessOrEqual(t, len(fleetState.departures.byServer), maxDepartures)
	require.Equal(t, []fleet.ServerID{"a"}, leavingServerIDs(fleetState))
	reported, _ := fleetState.DeparturesSince(0)
	require.True(t, slices.ContainsFunc(reported, func(d fleet.Departure) bool {
		return d.Server == fleet.ServerID(fmt.Sprintf("gone-%d", 5*maxDepartures-1))
	}))
}

// Unreported departures cause a message at once. A different departure count in the summary does not.
func TestDepartureIsSentWithoutWaitingForHeartbeat(t *testing.T) {
	cursor := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{} }}
	now := clockwork.NewFakeClock().Now()
	require.NotNil(t, cursor.nextMessage(statusSummary{}, nil, nil, now, false))
	require.Nil(t, cursor.nextMessage(statusSummary{departures: 1}, nil, nil, now, false), "a departure count alone does not cause a message")
	require.NotNil(t, cursor.nextMessage(statusSummary{departures: 1}, nil, nil, now, true))
}

// Guards against ordering a leaving server to load newer weights while others wait for its swap window.
func TestLeavingServerGetsNoNewerWeights(t *testing.T) {
	fleetState := newDeparturesState()
	engine := &fleet.Engine{Slots: 4, Models: []fleet.ModelName{"m"}, Layers: 1}
	fleetState.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{
		Version: 1, Services: []fleet.Service{{Name: "llm", Engine: engine}},
	}}}, "store")
	fleetState.Apply([]fleet.Fact{listedIncarnation(5, 6), listedAt("b", "10.0.0.2:8000", 6), publishedFact(2, 7)}, "store")
	l := &Loader{
		options:   LoaderOptions{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), FleetState: fleetState, Service: "llm", Address: "10.0.0.1:8000"},
		downloads: make(map[fleet.WeightsVersion]*versionDownload), changed: make(chan struct{}), incarnation: 5,
	}
	fleetState.MergeDepartures([]fleet.Departure{{Server: "a", Incarnation: 5}}, "entry-1")
	target, known := l.target()
	require.True(t, known)
	l.reconcile(t.Context(), &target, 1)
	require.Empty(t, l.downloads, "nothing is downloaded")
	l.incarnation = 0
	require.False(t, l.isLeaving(), "the departure may belong to the server that had the address before")
	l.leaving = true
	require.True(t, l.isLeaving(), "the server has announced its departure to the agent")
	position, _ := l.swapPosition(&target, 2)
	require.Equal(t, 1, position, "a leaving server comes after the others")
	l.options.Address = "10.0.0.2:8000"
	position, servers := l.swapPosition(&target, 2)
	require.Equal(t, 0, position)
	require.Equal(t, 1, servers, "a leaving server is not counted for the others")
}
