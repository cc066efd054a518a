package direct

import (
	"context"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// serveFacts serves the facts of a box and returns its address.
func serveFacts(t *testing.T, fleetState *FleetState) member.Address {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, newTestStatusServer(fleetState)))
	listener, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	t.Cleanup(func() { require.NoError(t, server.Stop(context.Background())) })
	return member.Address(listener.Addr().String())
}

// pullAll pulls the facts of a box into another one.
func pullAll(t *testing.T, boxes *EntryBoxes, from member.Address) {
	t.Helper()
	boxes.peers = daemon.NewPeerPool()
	require.NoError(t, boxes.pullFacts(t.Context(), from))
}

// newRealTimeFleetState returns an empty fleet state with the clock of the machine.
func newRealTimeFleetState() *FleetState {
	return NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
}

// applySnapshot applies a snapshot that a box reads from the store.
func applySnapshot(fleetState *FleetState, at fleet.Revision, facts ...fleet.Fact) {
	reader := &storeReader{fleetState: fleetState}
	reader.apply(&storeResponse{snapshot: true, facts: provider.FactBatch{Facts: facts, Revision: at}}, true)
}

// readSnapshot returns a box that has just started and read the store at a revision.
func readSnapshot(at fleet.Revision, facts ...fleet.Fact) *FleetState {
	fleetState := newRealTimeFleetState()
	applySnapshot(fleetState, at, facts...)
	return fleetState
}

// serverIDs returns the servers in the view.
func serverIDs(fleetState *FleetState) (ids []fleet.ServerID) {
	for _, server := range fleetState.View().Servers("llm") {
		ids = append(ids, server.ID)
	}
	return ids
}

// Guards against a box that keeps a server because the box that reads the store started after the server's deletion.
func TestServerDeletedBeforeReaderStartedIsDropped(t *testing.T) {
	survivor := newRealTimeFleetState()
	survivor.Apply([]fleet.Fact{listed("a", 3), listed("b", 4)}, "store")
	boxes := newTestEntryBoxes(survivor)
	pullAll(t, boxes, serveFacts(t, readSnapshot(9, listed("b", 4), listed("c", 9))))
	require.Equal(t, []fleet.ServerID{"b", "c"}, serverIDs(survivor))
}

// Guards against a box that has just started and announces no change because the newest change is a deletion.
func TestDeletionBeforeSnapshotIsAnnounced(t *testing.T) {
	survivor := readSnapshot(4, listed("a", 3), listed("b", 4))
	started := newTestStatusServer(readSnapshot(9, listed("b", 4)))
	boxes := newTestEntryBoxes(survivor, started.fullStatus())
	_, behind := boxes.pickNewer(nil)
	require.True(t, behind)
	require.NoError(t, boxes.applyBatch("reader:1", started.factsBatch(boxes.cursors["reader:1"], survivor.mirror.Receiver(), false)))
	require.Equal(t, []fleet.ServerID{"b"}, serverIDs(survivor))
	_, behind = boxes.pickNewer(nil)
	require.False(t, behind)
	require.Equal(t, started.fleetState.Watermarks(), survivor.Watermarks(), "it announces the deletion to others")
}

// Guards against a box that has just started and takes a deleted server from a box that missed the deletion.
func TestDeletedServerIsNotTakenFromOutdatedBox(t *testing.T) {
	outdated := newRealTimeFleetState()
	outdated.Apply([]fleet.Fact{listed("a", 3), listed("b", 4)}, "store")
	started := readSnapshot(9, listed("b", 4), listed("c", 9))
	pullAll(t, newTestEntryBoxes(started), serveFacts(t, outdated))
	require.Equal(t, []fleet.ServerID{"b", "c"}, serverIDs(started))
}

// Guards against a pull that ends after the snapshot that the same box reads from the store.
func TestDeletedServerOfInterruptedPullIsDropped(t *testing.T) {
	outdated := newRealTimeFleetState()
	outdated.Apply([]fleet.Fact{listed("a", 3)}, "store")
	started := newRealTimeFleetState()
	boxes := newTestEntryBoxes(started)
	batch := newTestStatusServer(outdated).factsBatch(boxes.cursors["outdated:1"], state.Receiver{}, false)
	applySnapshot(started, 9, listed("b", 4))
	require.NoError(t, boxes.applyBatch("outdated:1", batch))
	require.Equal(t, []fleet.ServerID{"b"}, serverIDs(started))
}

// Guards against an agent that keeps the servers of the entry box that it followed before.
func TestAgentDropsServersThatNextEntryBoxLacks(t *testing.T) {
	before := readSnapshot(4, listed("a", 3), listed("b", 4))
	agent := newRealTimeFleetState()
	follower := &entryFollower{fleetState: agent, suspects: noSuspectRequests(), peers: daemon.NewPeerPool()}
	followUntilListed := func(entryBox *FleetState, id fleet.ServerID) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			defer cancel()
			for changed := agent.Changed(); !slices.Contains(serverIDs(agent), id); changed = agent.Changed() {
				<-changed
			}
		}()
		follower.follow(ctx, string(serveFacts(t, entryBox)))
	}
	followUntilListed(before, "b")
	followUntilListed(readSnapshot(9, listed("b", 4), listed("c", 9)), "c")
	require.Equal(t, []fleet.ServerID{"b", "c"}, serverIDs(agent))
}
