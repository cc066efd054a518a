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

func newTestMembers(clock clockwork.Clock, box member.BoxID) *Members {
	return NewMembers(member.Record{Box: box, Peers: member.Address(box), Incarnation: 1, Status: member.StatusStarting}, clock, zerolog.Nop())
}

func recordsOf(t require.TestingT, records ...member.Record) []state.Item {
	items := make([]state.Item, 0, len(records))
	for _, record := range records {
		item, err := record.Item()
		require.NoError(t, err)
		items = append(items, item)
	}
	return items
}

// tellAll hands what one box knows of all boxes to another.
func tellAll(from, to *Members) { to.Learn(from.store.Since(state.Cursor{}, 0).Items, "") }

// statusOfA is what one box knows of the box a.
func statusOfA(t *testing.T, m *Members) member.Status {
	record, known := m.Record("a")
	require.True(t, known)
	return record.Status
}

func TestABoxThatWasTakenForSilentOverrulesThat(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b, c := newTestMembers(clock, "a"), newTestMembers(clock, "b"), newTestMembers(clock, "c")
	tellAll(a, b)
	b.Mark("a")
	tellAll(b, c)
	require.Equal(t, member.StatusSilent, statusOfA(t, c))
	require.Equal(t, 2, c.Up())
	tellAll(c, a)
	tellAll(a, c)
	require.Equal(t, member.StatusStarting, statusOfA(t, c))
	require.Equal(t, 3, c.Up())
}

// The time of day may be set back before a box starts again; its records would then be older
// than those of its life before, and nobody would hear of it.
func TestABoxWhoseClockWentBackIsHeardOfAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	before := NewMembers(member.Record{Box: "a", Incarnation: 9, Sequence: 4, Status: member.StatusUp}, clock, zerolog.Nop())
	b, again := newTestMembers(clock, "b"), NewMembers(member.Record{Box: "a", Incarnation: 3, Status: member.StatusStarting}, clock, zerolog.Nop())
	tellAll(before, b)
	tellAll(again, b)
	require.Equal(t, member.StatusUp, statusOfA(t, b))
	tellAll(b, again)
	tellAll(again, b)
	require.Equal(t, member.StatusStarting, statusOfA(t, b))
}

func TestABoxThatStaysSilentIsForgotten(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newTestMembers(clock, "a"), newTestMembers(clock, "b")
	tellAll(a, b)
	b.Mark("a")
	clock.Advance(forgetAfter - time.Millisecond)
	b.Expire()
	require.Len(t, b.All(), 2, "the fleet is not divided anew because some boxes are away")
	clock.Advance(time.Millisecond)
	b.Expire()
	require.Len(t, b.All(), 1)
	tellAll(a, b)
	require.Len(t, b.All(), 2)
}

// Each box hears a few others directly. All have to know of all, whoever marks whom, and
// whatever the order in which they talk.
func TestRecordsReachEveryBox(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		boxes := make([]*Members, rapid.IntRange(2, 12).Draw(t, "boxes"))
		for i := range boxes {
			boxes[i] = newTestMembers(clock, member.BoxID(fmt.Sprintf("box-%d", i)))
		}
		some := func(name string) int { return rapid.IntRange(0, len(boxes)-1).Draw(t, name) }
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				tellAll(boxes[some("from")], boxes[some("to")])
			case 1:
				boxes[some("marks")].Mark(member.BoxID(fmt.Sprintf("box-%d", some("marked"))))
			default:
				boxes[some("ready")].SetStatus(member.StatusUp)
			}
		}
		// On a ring, news passes every box in as many rounds as there are boxes; a mark that
		// comes round is overruled, and that comes round too.
		for range 2 * len(boxes) {
			for i := range boxes {
				tellAll(boxes[i], boxes[(i+1)%len(boxes)])
			}
		}
		for i := range boxes {
			require.Equal(t, boxes[0].All(), boxes[i].All())
			require.Equal(t, len(boxes), boxes[i].Up())
		}
	})
}

func TestOneThatIsToldOnlyOfTheBoxItselfHearsEachOfItsRecordsOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := newTestMembers(clock, "a"), newTestMembers(clock, "b")
	tellAll(b, a)
	cursor := memberCursor{members: a}
	require.Len(t, cursor.next(), 1)
	require.Empty(t, cursor.next())
	a.SetStatus(member.StatusUp)
	require.Len(t, cursor.next(), 1)
	all := memberCursor{members: a, all: true}
	require.Len(t, all.next(), 2)
	require.Empty(t, all.next())
}

// bigFleet is a fleet of boxes and servers, as one box sees it.
func bigFleet(boxes, servers int) (records []member.Record, view *fleet.View) {
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
	records, view := bigFleet(149, 204)
	users := make(map[member.Address]map[int]bool)
	for _, record := range records {
		plan := planCells(record.Box, records, view, sameRegion)
		require.Equal(t, 8, plan.cells)
		require.InDelta(t, 149/8, len(plan.mates), 5)
		owned := plan.owned(view.Servers("llm"))
		require.InDelta(t, 204.0/8, len(owned), 4)
		for _, server := range owned {
			if users[server.Address] == nil {
				users[server.Address] = make(map[int]bool)
			}
			users[server.Address][plan.own] = true
		}
		for mate := range plan.mates {
			require.True(t, planCells(mate, records, view, sameRegion).mates[record.Box])
		}
	}
	require.Len(t, users, 204)
	for address, cells := range users {
		require.Len(t, cells, 1, "%s", address)
	}
}

// Guards against each cell applying the whole rate limit of a server that all cells use, and against no cell using the server.
func TestCellsShareTheRateLimitOfAServerThatAllOfThemUse(t *testing.T) {
	records, view := bigFleet(149, 204)
	for _, limit := range []float64{0, 0.05, 1, 1.9, 5, 16, 1000} {
		server := fleet.Server{ID: "shared", Address: "shared", Limit: fleet.RateLimit{Set: true, PerSecond: limit}}
		shares := make(map[int]float64)
		for _, record := range records {
			plan := planCells(record.Box, records, view, sameRegion)
			for _, owned := range plan.owned([]fleet.Server{server}) {
				shares[plan.own] = owned.Limit.PerSecond
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
	records, view := bigFleet(9, 20)
	plan := planCells("entry-0", records, view, sameRegion)
	require.Len(t, plan.mates, 8)
	require.Len(t, plan.owned(view.Servers("llm")), 20)
}

// Each box of a large fleet follows few others, and news still reaches all of them.
func TestNewsReachesEveryBoxOfALargeFleet(t *testing.T) {
	records, view := bigFleet(600, 1200)
	followers, most := make(map[member.Address][]member.Address), 0
	for _, record := range records {
		facts, clock := newTestFacts()
		e := newTestBoxes(facts)
		e.self, e.members, e.regionOf, e.replanned = record, newTestMembers(clock, record.Box), sameRegion, make(chan struct{})
		e.members.Learn(recordsOf(t, records...), "")
		e.facts.view.Store(view)
		e.replan()
		interests := e.interests()
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
func TestABoxThatIsFollowedAnewIsHeardAtOnce(t *testing.T) {
	facts, _ := newTestFacts()
	e := newTestBoxes(facts)
	e.following, e.told = make(map[string]followed), func(member.BoxID, route.Load, route.Demands, bool, time.Time) {}
	e.begin = func(address string, want interest) context.CancelFunc {
		e.take(address, want, &wire.EntryStatus{Box: address, Peers: address, Ready: true})
		return func() {}
	}
	e.followOnly(map[string]interest{"other": {members: true}})
	require.Len(t, e.Boxes(), 1)
	e.followOnly(map[string]interest{"other": {load: true}})
	require.Len(t, e.Boxes(), 1)
	e.followOnly(nil)
	require.Empty(t, e.Boxes())
}

// newTestFollower is one of a large fleet, which it knows.
func newTestFollower(t *testing.T) (*EntryBoxes, []member.Record) {
	records, view := bigFleet(149, 204)
	facts, clock := newTestFacts()
	e := newTestBoxes(facts)
	e.self, e.members, e.regionOf, e.replanned = records[0], newTestMembers(clock, records[0].Box), sameRegion, make(chan struct{})
	e.following, e.told = make(map[string]followed), func(member.BoxID, route.Load, route.Demands, bool, time.Time) {}
	e.begin = func(string, interest) context.CancelFunc { return func() {} }
	e.members.Learn(recordsOf(t, records...), "")
	facts.view.Store(view)
	e.replan()
	e.followOnly(e.interests())
	return e, records
}

// Two parts of a fleet that lost each other for long forget each other; the settings' addresses
// are all that is left then.
func TestASeedIsFollowedWhileNobodyIsKnownThere(t *testing.T) {
	e, records := newTestFollower(t)
	var seed member.Record
	for _, record := range records {
		if _, follows := e.interests()[string(record.Peers)]; !follows && record.Box != e.self.Box {
			seed = record
		}
	}
	e.AddSeeds([]string{string(seed.Peers), "10.9.9.9:1"})
	require.Contains(t, e.interests(), "10.9.9.9:1")
	require.NotContains(t, e.interests(), string(seed.Peers), "it is known, and neighbours tell of it")
	e.members.Mark(seed.Box)
	require.Contains(t, e.interests(), string(seed.Peers))
}

// A box that is cut off hears nobody. Did it mark those that it misses, all would be taken for
// silent by the whole fleet once it is back.
func TestABoxThatIsCutOffMarksNobody(t *testing.T) {
	e, _ := newTestFollower(t)
	for address := range e.following {
		e.mark(address)
	}
	require.Equal(t, 149, e.members.Up())
	heard := 0
	for address := range e.following {
		if heard++; 2*heard > len(e.following) {
			e.mark(address)
			continue
		}
		e.take(address, interest{}, &wire.EntryStatus{Box: address, Peers: address})
	}
	require.Less(t, e.members.Up(), 149, "half of them are enough")
}

// Callers are led to boxes that are not followed by what others tell of them, and not to one
// that is followed and silent, whatever others tell.
func TestCallersAreLedToBoxesThatOthersTellOf(t *testing.T) {
	e, records := newTestFollower(t)
	for _, record := range records[1:] {
		record.Callers = "callers-" + record.Peers
		record.Sequence++
		e.members.Learn(recordsOf(t, record), "")
	}
	ready := e.Ready()
	require.Len(t, ready, 148-len(e.following))
	for address := range e.following {
		e.take(address, interest{}, &wire.EntryStatus{Box: address, Peers: address, Ready: true})
	}
	require.Len(t, e.Ready(), 148)
	e.members.Mark(ready[0].Box)
	require.Len(t, e.Ready(), 147)
}

func TestTheFirstInRankThatHearsFromTheStoreReadsIt(t *testing.T) {
	now := time.Unix(1000, 0)
	names := []member.BoxID{"a", "b", "c", "d"}
	ranked := member.Rank("reader/riga", names, len(names))
	first, second, third := ranked[0], ranked[1], ranked[2]
	r := newReaders(third, "riga", testTimes.storeAway())
	require.True(t, r.isReader(1, now), "nobody else is known to read")
	r.heard(second, now)
	require.False(t, r.isReader(1, now))
	require.True(t, r.isReader(0, now), "two read where there is one region")
	r.heard(first, now)
	require.False(t, r.isReader(0, now))
	told := r.toWire(now, now)
	require.Len(t, told, leastReaders)
	require.Equal(t, string(first), told[0].Box)
	require.True(t, r.isReader(1, now.Add(testTimes.storeAway())), "those before it no longer hear from the store")
}

// An old word of an answer that comes by a longer way must not make a reader look dead, nor a
// dead one look alive.
func TestOnlyTheNewestWordOfAReaderCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newReaders("self", "riga", testTimes.storeAway())
	words := []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}
	rand.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
	for _, age := range words {
		r.heard("other", now.Add(-age))
	}
	require.Equal(t, map[member.BoxID]time.Time{"other": now}, maps.Clone(r.answered))
	require.Empty(t, r.fresh(time.Time{}, now.Add(testTimes.storeAway())))
}

// fleetOf is the entry boxes of a fleet, each with what it remembers of callers and whom it follows.
type fleetOf struct {
	boxes map[member.Address]*EntryBoxes
	// returns and interests are each box's.
	returns   map[member.Address]*route.RejectedCallers
	interests map[member.Address]map[string]interest
}

func newFleetOf(t *testing.T, boxes, servers int) *fleetOf {
	t.Helper()
	records, view := bigFleet(boxes, servers)
	f := &fleetOf{
		boxes: make(map[member.Address]*EntryBoxes), returns: make(map[member.Address]*route.RejectedCallers),
		interests: make(map[member.Address]map[string]interest),
	}
	for _, record := range records {
		facts, clock := newTestFacts()
		e := newTestBoxes(facts)
		e.self, e.members, e.regionOf, e.replanned = record, NewMembers(record, clock, zerolog.Nop()), sameRegion, make(chan struct{})
		e.members.Learn(recordsOf(t, records...), "")
		e.facts.view.Store(view)
		e.replan()
		f.boxes[record.Peers], f.returns[record.Peers], f.interests[record.Peers] = e, &route.RejectedCallers{}, e.interests()
	}
	return f
}

// tell lets each box tell those that follow it until nobody hears anything new, and returns how often each was told.
func (f *fleetOf) tell(now time.Time) map[member.Address]int {
	times := make(map[member.Address]int)
	told := make(map[[2]member.Address]uint64)
	for news := true; news; {
		news = false
		for to, interests := range f.interests {
			for address, want := range interests {
				if !want.load && want.relay == 0 {
					continue
				}
				link := [2]member.Address{member.Address(address), to}
				var callers []route.RejectedCaller
				callers, told[link] = f.returns[link[0]].Since(told[link], want.relay)
				f.returns[to].Merge(callers, want.relay, now)
				times[to] += len(callers)
				news = news || len(callers) > 0
			}
		}
	}
	return times
}

// Of ten callers that a box of one of two cells had refused five came back to the other cell, which took them for new ones: on a day
// that asked for a third more than the servers could do, a fifth of what these did was answers to callers who were late already.
func TestWhoWasSentAwayIsKnownInEveryCell(t *testing.T) {
	for name, fleet := range map[string]struct{ boxes, servers int }{
		"one cell": {9, 20}, "2 cells": {41, 45}, "8 cells": {149, 204}, "32 cells": {600, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := newFleetOf(t, fleet.boxes, fleet.servers), time.Unix(100, 0)
			f.returns["entry-0"].Record(route.RejectedCaller{Fingerprint: 7, FirstRequestAt: now, TimeoutAt: now.Add(6 * time.Second)}, now)
			times := f.tell(now)
			delete(times, "entry-0")
			require.Len(t, times, fleet.boxes-1)
			for box, times := range times {
				require.Equal(t, 1, times, "%s", box)
			}
		})
	}
}
