package daemon

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// listen serves the node's replica to other processes.
func (n *testNode) listen(t *testing.T) {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterReplica(mux, n.replica))
	n.address = listenPeers(t, mux)
}

// linksToRelay returns the links of an entry box that pulls from and pushes to one relay.
func linksToRelay(relay *testNode) func() Links {
	return func() Links {
		return Links{PullSources: [][]member.Address{{relay.address}}, PushTargets: []member.Address{relay.address}}
	}
}

func newItem(key string, major uint64) state.Item {
	return state.Item{Key: key, Version: state.Version{Major: major}, Value: []byte(key)}
}

func TestChangesReachEveryEntryBoxThroughARelay(t *testing.T) {
	relay := newTestNode(t, 1, noLinks)
	relay.listen(t)
	toRelay := linksToRelay(relay)
	first, second := newTestNode(t, 2, toRelay), newTestNode(t, 3, toRelay)
	first.replica.Publish(newItem("a", 1))
	eventually(t, func() bool { _, ok := second.store.Get("a"); return ok }, "the change arrives")
}

func TestChangeIsPushedOnceRelayIsReachable(t *testing.T) {
	var address atomic.Value
	address.Store(member.Address("127.0.0.1:1"))
	n := newTestNode(t, 1, func() Links { return Links{PushTargets: []member.Address{address.Load().(member.Address)}} })
	n.replica.Publish(newItem("a", 1))
	relay := newTestNode(t, 2, noLinks)
	relay.listen(t)
	address.Store(relay.address)
	eventually(t, func() bool { _, ok := relay.store.Get("a"); return ok }, "the change reaches the relay")
}

func TestReturningPeerWithOldStateRevertsNothing(t *testing.T) {
	old := newTestNode(t, 1, noLinks)
	old.store.Apply([]state.Item{newItem("row", 1), newItem("only-old", 1)}, state.OriginLocal)
	old.listen(t)
	n := newTestNode(t, 2, linksToRelay(old))
	n.replica.Publish(newItem("row", 2))
	eventually(t, func() bool { _, ok := n.store.Get("only-old"); return ok }, "items of the old peer arrive")
	item, _ := n.store.Get("row")
	require.Equal(t, uint64(2), item.Version.Major)
	eventually(t, func() bool { item, _ := old.store.Get("row"); return item.Version.Major == 2 }, "the old peer receives the newer item")
}

func TestLargeStateArrivesInParts(t *testing.T) {
	relay := newTestNode(t, 1, noLinks)
	items := make([]state.Item, 0, 3*maxPullItems)
	for i := range 3 * maxPullItems {
		items = append(items, state.Item{Key: string(rune('a'+i%26)) + time.Duration(i).String(), Version: state.Version{Major: 1}})
	}
	relay.store.Apply(items, state.OriginLocal)
	relay.listen(t)
	n := newTestNode(t, 2, linksToRelay(relay))
	eventually(t, func() bool { return n.store.Len() == relay.store.Len() }, "all items arrive")
}

func TestSourceChangeRepairsOnlyDifferences(t *testing.T) {
	first, second := newTestNode(t, 1, noLinks), newTestNode(t, 2, noLinks)
	first.listen(t)
	second.listen(t)
	var common []state.Item
	for i := range 2000 {
		common = append(common, newItem(fmt.Sprint("common-", i), 1))
	}
	first.store.Apply(common, state.OriginLocal)
	second.store.Apply(common, state.OriginLocal)
	second.store.Apply([]state.Item{newItem("missed", 1)}, state.OriginLocal)
	var source atomic.Value
	source.Store(first)
	n := newTestNode(t, 3, func() Links { return linksToRelay(source.Load().(*testNode))() })
	eventually(t, func() bool { return n.store.Len() == len(common) }, "the items of the first source arrive")
	source.Store(second)
	eventually(t, func() bool { _, ok := n.store.Get("missed"); return ok }, "the missing item is repaired")
	differing, _ := second.store.Differing(first.store.Digests(), maxPullItems)
	require.Less(t, len(differing), 100, "one bucket differs, not all")
}

func TestFailedSourceIsReplacedByNext(t *testing.T) {
	relay := newTestNode(t, 1, noLinks)
	relay.listen(t)
	n := newTestNode(t, 2, func() Links { return Links{PullSources: [][]member.Address{{"127.0.0.1:1", relay.address}}} })
	relay.replica.Publish(newItem("a", 1))
	eventually(t, func() bool { _, ok := n.store.Get("a"); return ok }, "the item arrives from the second address")
}

// A relay serves other relays only the items that were published at it or pushed to it.
// Otherwise an item would pass between two relays more than once.
func TestRelaysDoNotForwardItemsFromOtherRelays(t *testing.T) {
	one := newTestNode(t, 1, noLinks)
	one.listen(t)
	two := newTestNode(t, 2, func() Links {
		return Links{IsRelay: true, LocalOnly: true, PullSources: [][]member.Address{{one.address}}}
	})
	two.listen(t)
	one.replica.Publish(newItem("a", 1))
	eventually(t, func() bool { _, ok := two.store.Get("a"); return ok }, "the item reaches the other relay")
	require.Empty(t, two.store.SinceLocal(state.Cursor{}, 0).Items)
	two.replica.Publish(newItem("b", 1))
	require.Len(t, two.store.SinceLocal(state.Cursor{}, 0).Items, 1)
}

// newTestHeartbeater starts a heartbeater that sends heartbeats to the given monitors.
func newTestHeartbeater(t *testing.T, clock clockwork.Clock, record member.Record, monitors func() []member.Address) *Heartbeater {
	t.Helper()
	h := NewHeartbeater(record, HeartbeaterOptions{
		Peers: newTestPeerPool(t), Clock: clock, Log: nopLogger(), Interval: 20 * time.Millisecond, Monitors: monitors,
		FillRequest: func(*wire.HeartbeatRequest) {}, OnResponse: func(member.Address, *wire.HeartbeatResponse) {},
	})
	t.Cleanup(func() { stopService(t, h) })
	return h
}

// newMonitoredNode returns a node with a monitor that serves other processes.
func newMonitoredNode(t *testing.T, instance uint64, silence time.Duration) *testNode {
	t.Helper()
	n := newTestNode(t, instance, noLinks)
	m := NewMonitor("", n.view, n.replica, newTestPeerPool(t), clockwork.NewRealClock(), nopLogger(), NewMetrics(), silence)
	t.Cleanup(func() { stopService(t, m) })
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterMonitor(mux, m))
	n.address = listenPeers(t, mux)
	return n
}

func agentRecord(box member.BoxID) member.Record {
	return member.Record{Box: box, Role: member.RoleAgent, Region: "kita", FailureDomain: "kita-a", Peers: "127.0.0.1:1"}
}

func hasStatus(n *testNode, status member.Status) func() bool {
	return func() bool { record, ok := n.view.Member("b"); return ok && record.Status == status }
}

func TestBoxWithoutHeartbeatsIsMarkedSilentUntilRestart(t *testing.T) {
	n := newMonitoredNode(t, 1, 100*time.Millisecond)
	monitors := func() []member.Address { return []member.Address{n.address} }
	h := newTestHeartbeater(t, clockwork.NewRealClock(), agentRecord("b"), monitors)
	eventually(t, hasStatus(n, member.StatusUp), "the box is known")
	stopService(t, h)
	eventually(t, hasStatus(n, member.StatusSilent), "the box is marked silent")
	newTestHeartbeater(t, clockwork.NewRealClock(), agentRecord("b"), monitors)
	eventually(t, hasStatus(n, member.StatusUp), "the restarted box is up")
}

func TestWrongSilentMarkIsRefuted(t *testing.T) {
	n := newMonitoredNode(t, 1, time.Hour)
	newTestHeartbeater(t, clockwork.NewRealClock(), agentRecord("b"), func() []member.Address { return []member.Address{n.address} })
	eventually(t, hasStatus(n, member.StatusUp), "the box is known")
	record, _ := n.view.Member("b")
	record.Status = member.StatusSilent
	marked, err := record.Item()
	require.NoError(t, err)
	n.replica.Publish(marked)
	eventually(t, func() bool {
		now, _ := n.view.Member("b")
		return now.Status == member.StatusUp && now.Sequence > record.Sequence
	}, "the box writes a newer record")
}

func TestBoxWithClockSetBackGetsHigherIncarnation(t *testing.T) {
	n := newMonitoredNode(t, 1, time.Hour)
	monitors := func() []member.Address { return []member.Address{n.address} }
	ahead := newTestHeartbeater(t, clockwork.NewRealClock(), agentRecord("b"), monitors)
	eventually(t, hasStatus(n, member.StatusUp), "the box is known")
	earlier := ahead.Record().Incarnation
	stopService(t, ahead)
	back := clockwork.NewFakeClockAt(time.Now().Add(-24 * time.Hour))
	restarted := newTestHeartbeater(t, back, agentRecord("b"), monitors)
	eventually(t, func() bool {
		record, _ := n.view.Member("b")
		return record.Incarnation > earlier && record.Incarnation == restarted.Record().Incarnation
	}, "the new incarnation is higher than the old one")
}
