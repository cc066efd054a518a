package direct

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

func TestAgentKeepsSizeOfEarlierFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	var m fleetSizeMemory
	m.Note(fleetSize{boxes: 9}, now)
	require.Zero(t, m.Size(), "a box without a claim reports nothing")
	m.Note(fleetSize{since: 100, boxes: 7}, now)
	m.Note(fleetSize{since: 200, boxes: 4}, now.Add(time.Hour))
	require.Equal(t, fleetSize{since: 100, boxes: 7}, m.Size())
	m.Note(fleetSize{since: 100, boxes: 5}, now.Add(time.Hour))
	require.Equal(t, fleetSize{since: 100, boxes: 5}, m.Size(), "the same fleet may shrink")
	m.Note(fleetSize{since: 200, boxes: 4}, now.Add(time.Hour+unreachableExpiry))
	require.Equal(t, fleetSize{since: 200, boxes: 4}, m.Size())
}

func TestBoxThatStartsAnewCountsBoxesOfEarlierFleet(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewMembership(member.Record{Box: "entry-0", Incarnation: 200, Peers: "entry-0:1"}, clock, zerolog.Nop())
	require.Zero(t, m.fleetSize().since)
	m.NoteFleetSize("10.0.0.1:9", fleetSize{since: 100, boxes: 7})
	m.SetRetryClaim(1)
	require.Equal(t, fleetSize{since: 200, boxes: 1}, m.fleetSize())
	require.Equal(t, 7, m.EarlierFleetBoxes())
	m.NoteFleetSize("10.0.0.2:9", fleetSize{since: 200, boxes: 9})
	require.Equal(t, 7, m.EarlierFleetBoxes(), "the size of its own fleet is known from the records")

	item, err := member.Record{Box: "entry-1", Incarnation: 100, RetryClaim: 1, FleetSince: 100}.Item()
	require.NoError(t, err)
	m.Merge([]state.Item{item}, "entry-1")
	m.SetRetryClaim(1)
	require.Equal(t, fleetSize{since: 100, boxes: 2}, m.fleetSize(), "the box has met the earlier fleet")
	require.Zero(t, m.EarlierFleetBoxes())

	m.NoteFleetSize("10.0.0.1:9", fleetSize{since: 50, boxes: 8})
	require.Equal(t, 8, m.EarlierFleetBoxes())
	clock.Advance(unreachableExpiry)
	require.Zero(t, m.EarlierFleetBoxes())
}

func TestSizeOfFleetTravelsThroughAgent(t *testing.T) {
	fleetState, clock := newTestFleetState()
	entry := newTestStatusServer(fleetState)
	entry.membership.SetRetryClaim(1)
	f := &entryFollower{fleetState: fleetState, suspects: noSuspectRequests()}
	require.NoError(t, f.applyBatch(entry.factsBatch(state.Cursor{}, state.Receiver{}, true), "entry-1:1", false))
	require.Equal(t, entry.membership.fleetSize(), f.fleetState.fleetSize.Size())

	l := &Loader{options: LoaderOptions{Clock: clock, FleetState: f.fleetState}}
	first, _ := l.serverStatus()
	require.Equal(t, uint64(entry.membership.fleetSize().since), first.FleetSince)
	require.Equal(t, uint32(1), first.FleetBoxes)
	require.Zero(t, serverStatusDelta(first, first).FleetBoxes)
	grown := &wire.ServerStatus{FleetSince: first.FleetSince, FleetBoxes: 2}
	require.Equal(t, uint32(2), serverStatusDelta(first, grown).FleetBoxes)
	require.Equal(t, first.FleetSince, serverStatusDelta(first, grown).FleetSince)
}
