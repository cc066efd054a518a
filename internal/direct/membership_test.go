package direct

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

func newTestMembership(clock clockwork.Clock, box member.BoxID) *Membership {
	return NewMembership(member.Record{Box: box, Peers: member.Address(box), Incarnation: 1, Status: member.StatusStarting}, clock, zerolog.Nop())
}

func recordItems(t require.TestingT, records ...member.Record) []state.Item {
	items := make([]state.Item, 0, len(records))
	for _, record := range records {
		item, err := record.Item()
		require.NoError(t, err)
		items = append(items, item)
	}
	return items
}

// mergeAll merges all records of one box into another.
func mergeAll(from, to *Membership) { to.Merge(from.store.Since(state.Cursor{}, 0).Items, "") }

// statusOfBoxA returns the status of box a in a membership.
func statusOfBoxA(t *testing.T, m *Membership) member.Status {
	record, known := m.Record("a")
	require.True(t, known)
	return record.Status
}

func TestBoxRefutesSilentMark(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b, c := newTestMembership(clock, "a"), newTestMembership(clock, "b"), newTestMembership(clock, "c")
	mergeAll(a, b)
	b.MarkSilent("a")
	mergeAll(b, c)
	require.Equal(t, member.StatusSilent, statusOfBoxA(t, c))
	require.Equal(t, 2, c.UpCount())
	mergeAll(c, a)
	mergeAll(a, c)
	require.Equal(t, member.StatusStarting, statusOfBoxA(t, c))
	require.Equal(t, 3, c.UpCount())
}

// Guards against a box that stays unknown after its clock was set back before a restart: its records are then
// older than those of the previous incarnation.
func TestRestartWithEarlierClockIsAccepted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	before := NewMembership(member.Record{Box: "a", Incarnation: 9, Sequence: 4, Status: member.StatusUp}, clock, zerolog.Nop())
	b, restarted := newTestMembership(clock, "b"), NewMembership(member.Record{Box: "a", Incarnation: 3, Status: member.StatusStarting}, clock, zerolog.Nop())
	mergeAll(before, b)
	mergeAll(restarted, b)
	require.Equal(t, member.StatusUp, statusOfBoxA(t, b))
	mergeAll(b, restarted)
	mergeAll(restarted, b)
	require.Equal(t, member.StatusStarting, statusOfBoxA(t, b))
}

func TestSilentBoxExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newTestMembership(clock, "a"), newTestMembership(clock, "b")
	mergeAll(a, b)
	b.MarkSilent("a")
	clock.Advance(silentExpiry - time.Millisecond)
	b.Expire()
	require.Len(t, b.All(), 2, "a box that is silent for less than silentExpiry stays in the fleet")
	clock.Advance(time.Millisecond)
	b.Expire()
	require.Len(t, b.All(), 1)
	mergeAll(a, b)
	require.Len(t, b.All(), 2)
}

// Each box follows only a few others. All records must reach every box, whichever boxes are marked silent and in
// whatever order the boxes exchange records.
func TestRecordsReachEveryBox(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		boxes := make([]*Membership, rapid.IntRange(2, 12).Draw(t, "boxes"))
		for i := range boxes {
			boxes[i] = newTestMembership(clock, member.BoxID(fmt.Sprintf("box-%d", i)))
		}
		drawIndex := func(name string) int { return rapid.IntRange(0, len(boxes)-1).Draw(t, name) }
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				mergeAll(boxes[drawIndex("from")], boxes[drawIndex("to")])
			case 1:
				boxes[drawIndex("marks")].MarkSilent(member.BoxID(fmt.Sprintf("box-%d", drawIndex("marked"))))
			default:
				boxes[drawIndex("ready")].SetStatus(member.StatusUp)
			}
		}
		// On a ring, a record reaches every box in at most as many rounds as there are boxes. A silent mark may
		// need that many to reach its box, and the refutation as many again.
		for range 2 * len(boxes) {
			for i := range boxes {
				mergeAll(boxes[i], boxes[(i+1)%len(boxes)])
			}
		}
		for i := range boxes {
			require.Equal(t, boxes[0].All(), boxes[i].All())
			require.Equal(t, len(boxes), boxes[i].UpCount())
		}
	})
}

func TestOwnRecordIsReportedOncePerChange(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newTestMembership(clock, "a"), newTestMembership(clock, "b")
	mergeAll(b, a)
	cursor := memberCursor{membership: a}
	require.Len(t, cursor.next(), 1)
	require.Empty(t, cursor.next())
	a.SetStatus(member.StatusUp)
	require.Len(t, cursor.next(), 1)
	all := memberCursor{membership: a, all: true}
	require.Len(t, all.next(), 2)
	require.Empty(t, all.next())
}

// newFleet returns the records of a fleet's entry boxes and a view with its servers.
func newFleet(boxes, servers int) (records []member.Record, view *fleet.View) {
	region := func(i int) string { return string(rune('a' + i%5)) }
	for i := range boxes {
		name := fmt.Sprintf("entry-%d", i)
		records = append(records, member.Record{
			Box: member.BoxID(name), Region: member.Region(region(i)), FailureDomain: member.FailureDomain(region(i)),
			Peers: member.Address(name), Incarnation: 1, Status: member.StatusUp,
		})
	}
	var listed []fleet.Server
	for i := range servers {
		listed = append(listed, fleet.Server{
			ID: fleet.ServerID(fmt.Sprintf("i-%d", i)), Service: "llm", Address: member.Address(fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)),
			Domain: member.FailureDomain(region(i)), Slots: 8,
		})
	}
	configuration := &fleet.Configuration{Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{}}}}
	return records, fleet.EmptyView().WithConfiguration(configuration, 1).WithServers(listed)
}

func sameRegion(domain member.FailureDomain) member.Region { return member.Region(domain) }

// Guards against a server that boxes of different cells use without exchanging their load. Every box must compute
// the same cells.
func TestEachServerIsUsedByOneCell(t *testing.T) {
	records, view := newFleet(149, 204)
	users := make(map[member.Address]map[int]bool)
	for _, record := range records {
		plan := planCells(record.Box, records, view, sameRegion)
		require.Equal(t, 8, plan.cellCount)
		require.InDelta(t, 149/8, len(plan.cellPeers), 5)
		owned := plan.ownServers(view.Servers("llm"))
		require.InDelta(t, 204.0/8, len(owned), 4)
		for _, server := range owned {
			if users[server.Address] == nil {
				users[server.Address] = make(map[int]bool)
			}
			users[server.Address][plan.ownCell] = true
		}
		for cellPeer := range plan.cellPeers {
			require.True(t, planCells(cellPeer, records, view, sameRegion).cellPeers[record.Box])
		}
	}
	require.Len(t, users, 204)
	for address, cells := range users {
		require.Len(t, cells, 1, "%s", address)
	}
}

// Guards against each cell applying the whole rate limit of a server that all cells use, and against no cell using
// the server.
func TestCellsDivideRateLimitOfSharedServer(t *testing.T) {
	records, view := newFleet(149, 204)
	for _, limit := range []float64{0, 0.05, 1, 1.9, 5, 16, 1000} {
		server := fleet.Server{ID: "shared", Address: "shared", Limit: fleet.RateLimit{Set: true, PerSecond: limit}}
		shares := make(map[int]float64)
		for _, record := range records {
			plan := planCells(record.Box, records, view, sameRegion)
			for _, owned := range plan.ownServers([]fleet.Server{server}) {
				shares[plan.ownCell] = owned.Limit.PerSecond
			}
		}
		sum := 0.0
		for _, share := range shares {
			sum += share
		}
		require.NotEmpty(t, shares)
		require.InDelta(t, limit, sum, 1e-9)
		require.LessOrEqual(t, float64(len(shares)), max(1, limit/minCellRate))
	}
}

func TestSmallFleetIsOneCell(t *testing.T) {
	records, view := newFleet(9, 20)
	plan := planCells("entry-0", records, view, sameRegion)
	require.Len(t, plan.cellPeers, 8)
	require.Len(t, plan.ownServers(view.Servers("llm")), 20)
}

// Each box of a large fleet follows few others, and an update still reaches all boxes in a few hops.
func TestUpdateReachesEveryBoxOfLargeFleet(t *testing.T) {
	records, view := newFleet(600, 1200)
	followers, maxFollowed := make(map[member.Address][]member.Address), 0
	for _, record := range records {
		fleetState, clock := newTestFleetState()
		e := newTestEntryBoxes(fleetState)
		e.self, e.membership, e.regionOf, e.replanned = record, newTestMembership(clock, record.Box), sameRegion, make(chan struct{})
		e.membership.Merge(recordItems(t, records...), "")
		e.fleetState.view.Store(view)
		e.replan()
		subscriptions := e.subscriptions()
		maxFollowed = max(maxFollowed, len(subscriptions))
		for address := range subscriptions {
			followers[member.Address(address)] = append(followers[member.Address(address)], record.Peers)
		}
	}
	require.Less(t, maxFollowed, 23+member.NeighboursPerBox)
	reached, frontier := map[member.Address]bool{"entry-0": true}, []member.Address{"entry-0"}
	hops := 0
	for ; len(frontier) > 0; hops++ {
		var next []member.Address
		for _, from := range frontier {
			for _, to := range followers[from] {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	require.Len(t, reached, 600)
	require.LessOrEqual(t, hops-1, 4, "each hop takes a status interval and a round trip")
}

// Guards against a box that becomes unknown when its subscription changes: the new stream's full status arrived
// before the old status was dropped, and the later partial ones were ignored. Callers were then directed to 14 of
// 24 boxes only.
func TestResubscribedBoxIsKnownImmediately(t *testing.T) {
	fleetState, _ := newTestFleetState()
	e := newTestEntryBoxes(fleetState)
	e.following, e.onReport = make(map[string]followed), func(member.BoxID, route.Load, route.Demands, bool, time.Time) {}
	e.startFollow = func(address string, want subscription) context.CancelFunc {
		e.handleStatus(address, want, &wire.EntryStatus{Box: address, Peers: address, Ready: true})
		return func() {}
	}
	e.setFollowing(map[string]subscription{"other": {members: true}})
	require.Len(t, e.Boxes(), 1)
	e.setFollowing(map[string]subscription{"other": {load: true}})
	require.Len(t, e.Boxes(), 1)
	e.setFollowing(nil)
	require.Empty(t, e.Boxes())
}

// newFollowingBoxes returns the EntryBoxes of one box in a large fleet, with all records known and all
// subscriptions started, and the records of the fleet.
func newFollowingBoxes(t *testing.T) (*EntryBoxes, []member.Record) {
	records, view := newFleet(149, 204)
	fleetState, clock := newTestFleetState()
	e := newTestEntryBoxes(fleetState)
	e.self, e.membership, e.regionOf, e.replanned = records[0], newTestMembership(clock, records[0].Box), sameRegion, make(chan struct{})
	e.following, e.onReport = make(map[string]followed), func(member.BoxID, route.Load, route.Demands, bool, time.Time) {}
	e.startFollow = func(string, subscription) context.CancelFunc { return func() {} }
	e.membership.Merge(recordItems(t, records...), "")
	fleetState.view.Store(view)
	e.replan()
	e.setFollowing(e.subscriptions())
	return e, records
}

// Two parts of a fleet that are disconnected for long remove each other from their membership. Then only the seed
// addresses of the settings can connect them again.
func TestSeedIsFollowedWhileUnknown(t *testing.T) {
	e, records := newFollowingBoxes(t)
	var seed member.Record
	for _, record := range records {
		if _, follows := e.subscriptions()[string(record.Peers)]; !follows && record.Box != e.self.Box {
			seed = record
		}
	}
	e.AddSeeds([]string{string(seed.Peers), "10.9.9.9:1"})
	require.Contains(t, e.subscriptions(), "10.9.9.9:1")
	require.NotContains(t, e.subscriptions(), string(seed.Peers), "the box is known, and neighbours report its record")
	e.membership.MarkSilent(seed.Box)
	require.Contains(t, e.subscriptions(), string(seed.Peers))
}

// Guards against a disconnected box that marks all others silent: once it is connected again, its marks would
// spread to the whole fleet.
func TestDisconnectedBoxMarksNoBoxSilent(t *testing.T) {
	e, _ := newFollowingBoxes(t)
	for address := range e.following {
		e.markSilent(address)
	}
	require.Equal(t, 149, e.membership.UpCount())
	visited := 0
	for address := range e.following {
		if visited++; 2*visited > len(e.following) {
			e.markSilent(address)
			continue
		}
		e.handleStatus(address, subscription{}, &wire.EntryStatus{Box: address, Peers: address})
	}
	require.Less(t, e.membership.UpCount(), 149, "messages from half of the followed boxes suffice")
}

// The directory includes a box that is not followed if its record says that it is up, and excludes a followed box
// without a status, whatever its record says.
func TestReadyIncludesBoxesReportedByOthers(t *testing.T) {
	e, records := newFollowingBoxes(t)
	for _, record := range records[1:] {
		record.Callers = "callers-" + record.Peers
		record.Sequence++
		e.membership.Merge(recordItems(t, record), "")
	}
	ready := e.Ready()
	require.Len(t, ready, 148-len(e.following))
	for address := range e.following {
		e.handleStatus(address, subscription{}, &wire.EntryStatus{Box: address, Peers: address, Ready: true})
	}
	require.Len(t, e.Ready(), 148)
	e.membership.MarkSilent(ready[0].Box)
	require.Len(t, e.Ready(), 147)
}

func TestHighestRankedActiveReadersReadStore(t *testing.T) {
	now := time.Unix(1000, 0)
	names := []member.BoxID{"a", "b", "c", "d"}
	ranked := member.Rank("reader/riga", names, len(names))
	first, second, third := ranked[0], ranked[1], ranked[2]
	r := newReaderSet(third, "riga", testIntervals.readerTimeout())
	require.True(t, r.isReader(1, now), "no other box is known to read")
	r.update(second, now)
	require.False(t, r.isReader(1, now))
	require.True(t, r.isReader(0, now), "a single region has two readers")
	r.update(first, now)
	require.False(t, r.isReader(0, now))
	readers := r.toWire(now, now)
	require.Len(t, readers, minStoreReaders)
	require.Equal(t, string(first), readers[0].Box)
	require.True(t, r.isReader(1, now.Add(testIntervals.readerTimeout())), "the store no longer responds to the boxes ranked before it")
}

// Guards against an outdated report that arrives late over a longer path: it must not replace a newer one and make
// an active reader look inactive, nor an inactive one active.
func TestNewestReaderUpdateWins(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReaderSet("self", "riga", testIntervals.readerTimeout())
	ages := []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}
	rand.Shuffle(len(ages), func(i, j int) { ages[i], ages[j] = ages[j], ages[i] })
	for _, age := range ages {
		r.update("other", now.Add(-age))
	}
	require.Equal(t, map[member.BoxID]time.Time{"other": now}, maps.Clone(r.respondedAt))
	require.Empty(t, r.active(time.Time{}, now.Add(testIntervals.readerTimeout())))
}

// entryBoxFleet holds the entry boxes of a fleet by peer address, each with its rejected callers and its
// subscriptions.
type entryBoxFleet struct {
	boxes           map[member.Address]*EntryBoxes
	rejectedCallers map[member.Address]*route.RejectedCallers
	subscriptions   map[member.Address]map[string]subscription
}

func newEntryBoxFleet(t *testing.T, boxes, servers int) *entryBoxFleet {
	t.Helper()
	records, view := newFleet(boxes, servers)
	f := &entryBoxFleet{
		boxes: make(map[member.Address]*EntryBoxes), rejectedCallers: make(map[member.Address]*route.RejectedCallers),
		subscriptions: make(map[member.Address]map[string]subscription),
	}
	for _, record := range records {
		fleetState, clock := newTestFleetState()
		e := newTestEntryBoxes(fleetState)
		e.self, e.membership, e.regionOf, e.replanned = record, NewMembership(record, clock, zerolog.Nop()), sameRegion, make(chan struct{})
		e.membership.Merge(recordItems(t, records...), "")
		e.fleetState.view.Store(view)
		e.replan()
		f.boxes[record.Peers], f.rejectedCallers[record.Peers], f.subscriptions[record.Peers] = e, &route.RejectedCallers{}, e.subscriptions()
	}
	return f
}

// exchangeRejected sends rejected callers from each box to its followers until there are no new ones, and returns
// the number of callers that each box has received.
func (f *entryBoxFleet) exchangeRejected(now time.Time) map[member.Address]int {
	counts := make(map[member.Address]int)
	cursors := make(map[[2]member.Address]uint64)
	for changed := true; changed; {
		changed = false
		for to, subscriptions := range f.subscriptions {
			for address, want := range subscriptions {
				if !want.load && want.relay == 0 {
					continue
				}
				link := [2]member.Address{member.Address(address), to}
				var callers []route.RejectedCaller
				callers, cursors[link] = f.rejectedCallers[link[0]].Since(cursors[link], want.relay)
				f.rejectedCallers[to].Merge(callers, want.relay, now)
				counts[to] += len(callers)
				changed = changed || len(callers) > 0
			}
		}
	}
	return counts
}

// Guards against retrying callers that count as new in another cell. With two cells, half of the rejected callers
// retry in the other cell: at a load one third above the servers' capacity, one fifth of the servers' work then
// went to callers that were already late.
func TestRejectedCallerIsKnownInEveryCell(t *testing.T) {
	for name, fleet := range map[string]struct{ boxes, servers int }{
		"one cell": {9, 20}, "2 cells": {41, 45}, "8 cells": {149, 204}, "32 cells": {600, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := newEntryBoxFleet(t, fleet.boxes, fleet.servers), time.Unix(100, 0)
			f.rejectedCallers["entry-0"].Record(route.RejectedCaller{Fingerprint: 7, FirstRequestAt: now, TimeoutAt: now.Add(6 * time.Second)}, now)
			counts := f.exchangeRejected(now)
			delete(counts, "entry-0")
			require.Len(t, counts, fleet.boxes-1)
			for box, count := range counts {
				require.Equal(t, 1, count, "%s", box)
			}
		})
	}
}

// Guards against keeping records back from a box that sent them before it restarted.
func TestRestartedBoxReceivesRecordsItHasSent(t *testing.T) {
	m := NewMembership(member.Record{Box: "a", Incarnation: 1, Status: member.StatusUp}, clockwork.NewFakeClock(), zerolog.Nop())
	merge := func(record member.Record) {
		item, err := record.Item()
		require.NoError(t, err)
		m.Merge([]state.Item{item}, "d:1")
	}
	merge(member.Record{Box: "b", Incarnation: 1, Status: member.StatusUp})
	merge(member.Record{Box: "d", Incarnation: 1, Peers: "d:1", Status: member.StatusUp})
	merge(member.Record{Box: "d", Incarnation: 2, Peers: "d:1", Status: member.StatusStarting})
	var sent []string
	for _, item := range (&memberCursor{membership: m, all: true}).next() {
		sent = append(sent, item.Key)
	}
	require.Equal(t, []string{"member/a", "member/b", "member/d"}, sent)
}

// Guards against sending all records on each new stream between boxes that hold nearly the same ones.
func TestNewStreamCarriesOnlyRecordsThatDiffer(t *testing.T) {
	const boxes, changed = 500, 3
	clock := clockwork.NewFakeClock()
	a, b := newTestMembership(clock, "a"), newTestMembership(clock, "b")
	for i := range boxes {
		items := recordItems(t, member.Record{Box: member.BoxID(fmt.Sprintf("box-%d", i)), Incarnation: 1, Status: member.StatusUp})
		a.Merge(items, "c")
		if i < boxes-changed {
			b.Merge(items, "c")
		}
	}
	a.Merge(recordItems(t, b.Own()), "b")
	cursor := newMemberCursor(a, &wire.FollowRequest{Members: true, RecordDigests: b.recordDigests()})
	received := 0
	for items := cursor.next(); len(items) > 0; items = cursor.next() {
		b.Merge(itemsFromWire(itemsToWire(items)), "a")
		received += len(items)
	}
	require.Equal(t, a.All(), b.All())
	require.LessOrEqual(t, received, boxes/10)

	a.SetStatus(member.StatusUp)
	require.Len(t, cursor.next(), 1)
}

// Guards against marks of live boxes at a start, when connections wait longer than silentAfter to be accepted.
func TestBoxesThatAcceptLateAtStartAreNotMarkedSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 30, 5, 2*time.Second)
		defer c.stop()
		for i, box := range c.boxes {
			if i%3 == 0 {
				box.acceptsAfter.Store(time.Now().Add(1500 * time.Millisecond).UnixNano())
			}
		}
		time.Sleep(5 * time.Second)
		for _, box := range c.boxes {
			require.Len(t, box.entries.membership.All(), len(c.boxes), "%s", box.id)
			// The only change of a record that is not marked is that of its status to up.
			require.Equal(t, uint64(1), box.entries.membership.Own().Sequence, "%s", box.id)
		}
	})
}

// Guards against streams between all boxes of a large fleet once it has a configuration and no server is listed yet.
func TestConfigurationWithoutServersKeepsTheDivision(t *testing.T) {
	records, view := newFleet(547, 0)
	regionOf := func(domain member.FailureDomain) member.Region { return member.Region(domain) }
	unconfigured := planCells(records[0].Box, records, fleet.EmptyView(), regionOf)
	configured := planCells(records[0].Box, records, view, regionOf)
	require.Equal(t, unconfigured.cellPeers, configured.cellPeers)
	require.Less(t, len(configured.cellPeers), 24)
}

func TestPlanIsPostponedOnlyWhileALargeFleetGrowsFast(t *testing.T) {
	start := time.Unix(0, 0)
	at := start.Add
	var small, steady, fast planGrowth
	require.False(t, small.isFast(minSettledBoxes, 1, start))
	require.False(t, steady.isFast(101, 100, start))

	require.True(t, fast.isFast(200, 1, at(0)))
	require.True(t, fast.isFast(300, 1, at(settleTime/2)))
	require.True(t, fast.isFast(300, 1, at(settleTime)))
	require.False(t, fast.isFast(300, 1, at(2*settleTime)), "no growth for settleTime")

	var endless planGrowth
	for d := time.Duration(0); d < maxSettleTime; d += settleTime / 2 {
		require.True(t, endless.isFast(200+int(d/time.Millisecond), 1, at(d)))
	}
	require.False(t, endless.isFast(5000, 1, at(maxSettleTime)))
}

// Guards against a box that starts in a large fleet and counts as the only one of its cell until its plan is made.
func TestStartingBoxSharesServersWhileItsPlanIsPostponed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes = 2 * minSettledBoxes
		c := newTestCluster(t, boxes, 5, 5*time.Second)
		defer c.stop()
		c.store.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: &fleet.Configuration{
			Version: 2, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{Slots: 8}}},
		}})
		for i := range boxes {
			c.store.write(modelEntry(i, 0))
		}
		time.Sleep(10 * time.Second)
		box := c.boxes[boxes/2]
		box.kill()
		time.Sleep(time.Second)
		box.start()
		wasPostponed := false
		for range 20 {
			time.Sleep(replanInterval / 2)
			if box.entries.isPlanPostponed() {
				wasPostponed = true
				_, all := box.entries.CellSize()
				require.Greater(t, all, minSettledBoxes)
			}
		}
		require.True(t, wasPostponed)
		require.False(t, box.entries.isPlanPostponed())
	})
}

func TestRecordsAreLoggedEachUpToABudget(t *testing.T) {
	start := time.Unix(0, 0)
	var budget recordLogBudget
	require.False(t, budget.exceeds(maxItemsLogged-1, start))
	require.True(t, budget.exceeds(2, start))
	require.False(t, budget.exceeds(1, start))
	require.False(t, budget.exceeds(2, start.Add(recordLogInterval)))
}
