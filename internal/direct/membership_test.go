package direct

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
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

// mergeAll hands what one box knows of all boxes to another.
func mergeAll(from, to *Membership) { to.Merge(from.store.Since(state.Cursor{}, 0).Items, "") }

// statusOfBoxA is what one box knows of the box a.
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

// The time of day may be set back before a box starts again; its records would then be older
// than those of its life before, and nobody would hear of it.
func TestRestartWithEarlierClockIsAccepted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	before := NewMembership(member.Record{Box: "a", Incarnation: 9, Sequence: 4, Status: member.StatusUp}, clock, zerolog.Nop())
	b, again := newTestMembership(clock, "b"), NewMembership(member.Record{Box: "a", Incarnation: 3, Status: member.StatusStarting}, clock, zerolog.Nop())
	mergeAll(before, b)
	mergeAll(again, b)
	require.Equal(t, member.StatusUp, statusOfBoxA(t, b))
	mergeAll(b, again)
	mergeAll(again, b)
	require.Equal(t, member.StatusStarting, statusOfBoxA(t, b))
}

func TestSilentBoxExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newTestMembership(clock, "a"), newTestMembership(clock, "b")
	mergeAll(a, b)
	b.MarkSilent("a")
	clock.Advance(silentExpiry - time.Millisecond)
	b.Expire()
	require.Len(t, b.All(), 2, "the fleet is not divided anew because some boxes are away")
	clock.Advance(time.Millisecond)
	b.Expire()
	require.Len(t, b.All(), 1)
	mergeAll(a, b)
	require.Len(t, b.All(), 2)
}

// Each box hears a few others directly. All have to know of all, whoever marks whom, and
// whatever the order in which they talk.
func TestRecordsReachEveryBox(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		boxes := make([]*Membership, rapid.IntRange(2, 12).Draw(t, "boxes"))
		for i := range boxes {
			boxes[i] = newTestMembership(clock, member.BoxID(fmt.Sprintf("box-%d", i)))
		}
		some := func(name string) int { return rapid.IntRange(0, len(boxes)-1).Draw(t, name) }
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				mergeAll(boxes[some("from")], boxes[some("to")])
			case 1:
				boxes[some("marks")].MarkSilent(member.BoxID(fmt.Sprintf("box-%d", some("marked"))))
			default:
				boxes[some("ready")].SetStatus(member.StatusUp)
			}
		}
		// On a ring, news passes every box in as many rounds as there are boxes; a mark that
		// comes round is overruled, and that comes round too.
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

// newFleet is a fleet of boxes and servers, as one box sees it.
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

// Boxes that divide the fleet alike share servers with those only whom they tell of it, and
// every server is used by one cell.
func TestEachServerIsUsedByOneCell(t *testing.T) {
	records, view := newFleet(149, 204)
	users := make(map[member.Address]map[int]bool)
	for _, record := range records {
		plan := planCells(record.Box, records, view, sameRegion)
		require.Equal(t, 8, plan.count)
		require.InDelta(t, 149/8, len(plan.cellPeers), 5)
		owned := plan.ownServers(view.Servers("llm"))
		require.InDelta(t, 204.0/8, len(owned), 4)
		for _, server := range owned {
			if users[server.Address] == nil {
				users[server.Address] = make(map[int]bool)
			}
			users[server.Address][plan.ownCell] = true
		}
		for mate := range plan.cellPeers {
			require.True(t, planCells(mate, records, view, sameRegion).cellPeers[record.Box])
		}
	}
	require.Len(t, users, 204)
	for address, cells := range users {
		require.Len(t, cells, 1, "%s", address)
	}
}

// Guards against each cell applying the whole rate limit of a server that all cells use, and against no cell using the server.
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

func TestASmallFleetIsOneCell(t *testing.T) {
	records, view := newFleet(9, 20)
	plan := planCells("entry-0", records, view, sameRegion)
	require.Len(t, plan.cellPeers, 8)
	require.Len(t, plan.ownServers(view.Servers("llm")), 20)
}

// Each box of a large fleet follows few others, and news still reaches all of them.
func TestUpdateReachesEveryBoxOfLargeFleet(t *testing.T) {
	records, view := newFleet(600, 1200)
	followers, most := make(map[member.Address][]member.Address), 0
	for _, record := range records {
		facts, clock := newTestFleetState()
		e := newTestEntryBoxes(facts)
		e.self, e.membership, e.regionOf, e.replanned = record, newTestMembership(clock, record.Box), sameRegion, make(chan struct{})
		e.membership.Merge(recordItems(t, records...), "")
		e.fleetState.view.Store(view)
		e.replan()
		interests := e.subscriptions()
		most = max(most, len(interests))
		for address := range interests {
			followers[member.Address(address)] = append(followers[member.Address(address)], record.Peers)
		}
	}
	require.Less(t, most, 23+member.NeighboursPerBox)
	reached, newest := map[member.Address]bool{"entry-0": true}, []member.Address{"entry-0"}
	hops := 0
	for ; len(newest) > 0; hops++ {
		var next []member.Address
		for _, from := range newest {
			for _, to := range followers[from] {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		newest = next
	}
	require.Len(t, reached, 600)
	require.LessOrEqual(t, hops-1, 4, "each hop takes an interval of telling and a round trip")
}

// A box was followed for another reason than before, told all at once, and was then forgotten:
// nothing that it told later was of use, and callers were led to fourteen of 24 boxes.
func TestResubscribedBoxIsKnownImmediately(t *testing.T) {
	facts, _ := newTestFleetState()
	e := newTestEntryBoxes(facts)
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

// newFollowingBoxes is one of a large fleet, which it knows.
func newFollowingBoxes(t *testing.T) (*EntryBoxes, []member.Record) {
	records, view := newFleet(149, 204)
	facts, clock := newTestFleetState()
	e := newTestEntryBoxes(facts)
	e.self, e.membership, e.regionOf, e.replanned = records[0], newTestMembership(clock, records[0].Box), sameRegion, make(chan struct{})
	e.following, e.onReport = make(map[string]followed), func(member.BoxID, route.Load, route.Demands, bool, time.Time) {}
	e.startFollow = func(string, subscription) context.CancelFunc { return func() {} }
	e.membership.Merge(recordItems(t, records...), "")
	facts.view.Store(view)
	e.replan()
	e.setFollowing(e.subscriptions())
	return e, records
}

// Two parts of a fleet that lost each other for long forget each other; the settings' addresses
// are all that is left then.
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
	require.NotContains(t, e.subscriptions(), string(seed.Peers), "it is known, and neighbours tell of it")
	e.membership.MarkSilent(seed.Box)
	require.Contains(t, e.subscriptions(), string(seed.Peers))
}

// A box that is cut off hears nobody. Did it mark those that it misses, all would be taken for
// silent by the whole fleet once it is back.
func TestDisconnectedBoxMarksNoBoxSilent(t *testing.T) {
	e, _ := newFollowingBoxes(t)
	for address := range e.following {
		e.markSilent(address)
	}
	require.Equal(t, 149, e.membership.UpCount())
	heard := 0
	for address := range e.following {
		if heard++; 2*heard > len(e.following) {
			e.markSilent(address)
			continue
		}
		e.handleStatus(address, subscription{}, &wire.EntryStatus{Box: address, Peers: address})
	}
	require.Less(t, e.membership.UpCount(), 149, "half of them are enough")
}

// Callers are led to boxes that are not followed by what others tell of them, and not to one
// that is followed and silent, whatever others tell.
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
	require.True(t, r.isReader(1, now), "nobody else is known to read")
	r.update(second, now)
	require.False(t, r.isReader(1, now))
	require.True(t, r.isReader(0, now), "two read where there is one region")
	r.update(first, now)
	require.False(t, r.isReader(0, now))
	told := r.toWire(now, now)
	require.Len(t, told, minStoreReaders)
	require.Equal(t, string(first), told[0].Box)
	require.True(t, r.isReader(1, now.Add(testIntervals.readerTimeout())), "those before it no longer hear from the store")
}

// An old word of an answer that comes by a longer way must not make a reader look dead, nor a
// dead one look alive.
func TestNewestReaderUpdateWins(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReaderSet("self", "riga", testIntervals.readerTimeout())
	words := []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}
	rand.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
	for _, age := range words {
		r.update("other", now.Add(-age))
	}
	require.Equal(t, map[member.BoxID]time.Time{"other": now}, maps.Clone(r.respondedAt))
	require.Empty(t, r.active(time.Time{}, now.Add(testIntervals.readerTimeout())))
}

// entryBoxFleet is the entry boxes of a fleet, each with what it remembers of callers and whom it follows.
type entryBoxFleet struct {
	boxes map[member.Address]*EntryBoxes
	// rejectedCallers and interests are each box's.
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
		facts, clock := newTestFleetState()
		e := newTestEntryBoxes(facts)
		e.self, e.membership, e.regionOf, e.replanned = record, NewMembership(record, clock, zerolog.Nop()), sameRegion, make(chan struct{})
		e.membership.Merge(recordItems(t, records...), "")
		e.fleetState.view.Store(view)
		e.replan()
		f.boxes[record.Peers], f.rejectedCallers[record.Peers], f.subscriptions[record.Peers] = e, &route.RejectedCallers{}, e.subscriptions()
	}
	return f
}

// exchangeRejected lets each box tell those that follow it until nobody hears anything new, and returns how often each was told.
func (f *entryBoxFleet) exchangeRejected(now time.Time) map[member.Address]int {
	times := make(map[member.Address]int)
	told := make(map[[2]member.Address]uint64)
	for news := true; news; {
		news = false
		for to, interests := range f.subscriptions {
			for address, want := range interests {
				if !want.load && want.relay == 0 {
					continue
				}
				link := [2]member.Address{member.Address(address), to}
				var callers []route.RejectedCaller
				callers, told[link] = f.rejectedCallers[link[0]].Since(told[link], want.relay)
				f.rejectedCallers[to].Merge(callers, want.relay, now)
				times[to] += len(callers)
				news = news || len(callers) > 0
			}
		}
	}
	return times
}

// Of ten callers that a box of one of two cells had refused five came back to the other cell, which took them for new ones: on a day
// that asked for a third more than the servers could do, a fifth of what these did was answers to callers who were late already.
func TestRejectedCallerIsKnownInEveryCell(t *testing.T) {
	for name, fleet := range map[string]struct{ boxes, servers int }{
		"one cell": {9, 20}, "2 cells": {41, 45}, "8 cells": {149, 204}, "32 cells": {600, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := newEntryBoxFleet(t, fleet.boxes, fleet.servers), time.Unix(100, 0)
			f.rejectedCallers["entry-0"].Record(route.RejectedCaller{Fingerprint: 7, FirstRequestAt: now, TimeoutAt: now.Add(6 * time.Second)}, now)
			times := f.exchangeRejected(now)
			delete(times, "entry-0")
			require.Len(t, times, fleet.boxes-1)
			for box, times := range times {
				require.Equal(t, 1, times, "%s", box)
			}
		})
	}
}
