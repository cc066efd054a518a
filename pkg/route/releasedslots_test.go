package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// newBoxWithReleasedSlot returns a box that has released a slot on server a since its last report. Server a is busier than
// server b.
func newBoxWithReleasedSlot(t *testing.T, a, b fleet.Server) *testDispatcher {
	d := newTestDispatcher(true, a)
	held := []*Reservation{d.acquire(t), d.acquire(t)}
	d.SetServers([]fleet.Server{a, b}, 0, func(domain member.FailureDomain) bool { return domain != "far" }, d.clock.Now())
	d.UpdatePeerLoad("entry-2", Load{a.ID: {Requests: 8}, b.ID: {Requests: 4}}, true, d.clock.Now())
	d.OwnLoad()
	held[0].Release(ResultDone, d.clock.Now())
	return d
}

// Guards against a server that attracts requests by failing them, as each failure releases a slot.
func TestSlotOfFailedAttemptHasNoPrecedence(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultSilent, ResultAbandoned, ResultRefused} {
		d := newTestDispatcher(true, modelServer("a", 12, 1))
		reservation := d.acquire(t)
		d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
		d.OwnLoad()
		reservation.Release(result, d.clock.Now())
		require.Zero(t, d.releasedSlots(d.backends["a"]))
	}
}

// Guards against two boxes that take the same slot of the least loaded server, while the slots that they have just released
// stay idle until the next reports.
func TestReleasedSlotIsTakenBeforeSlotsThatOtherBoxesSee(t *testing.T) {
	for range 20 {
		d := newBoxWithReleasedSlot(t, modelServer("a", 12, 1), modelServer("b", 12, 1))
		d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
		require.Equal(t, fleet.ServerID("a"), d.acquire(t).Server.ID)
		require.Zero(t, d.releasedSlots(d.backends["a"]), "one slot was released")
	}
}

// After a report all boxes see the slot, so it has no precedence.
func TestReportEndsPrecedenceOfReleasedSlots(t *testing.T) {
	d := newBoxWithReleasedSlot(t, modelServer("a", 12, 1), modelServer("b", 12, 1))
	d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
	require.Equal(t, 1, d.releasedSlots(d.backends["a"]))
	d.OwnLoad()
	require.Zero(t, d.releasedSlots(d.backends["a"]))
	require.Equal(t, fleet.ServerID("b"), d.acquire(t).Server.ID)
}

// A single box, or one that receives no reports, sends requests to the least loaded server, as no other box takes its slots.
func TestBoxWithoutReportsPrefersLeastLoadedServer(t *testing.T) {
	d := newBoxWithReleasedSlot(t, modelServer("a", 12, 1), modelServer("b", 12, 1))
	require.Equal(t, fleet.ServerID("b"), d.acquire(t).Server.ID)
	d = newBoxWithReleasedSlot(t, modelServer("a", 12, 1), modelServer("b", 12, 1))
	d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
	d.clock.Advance(peerLoadMaxAge)
	require.Equal(t, fleet.ServerID("b"), d.acquire(t).Server.ID)
}

// Guards against requests that share a server while others are empty.
func TestReleasedSlotHasNoPrecedenceWhileSlotsArePlenty(t *testing.T) {
	d := newBoxWithReleasedSlot(t, modelServer("a", 12, 1), modelServer("b", 12, 1))
	d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
	d.UpdatePeerLoad("entry-2", Load{"a": {Requests: 5}}, true, d.clock.Now())
	require.Equal(t, fleet.ServerID("b"), d.acquire(t).Server.ID)
}

// Guards against requests that stay in another region, or at a server that fails them at once and so releases its slots
// fastest, because of a released slot.
func TestReleasedSlotDoesNotOutweighOtherCosts(t *testing.T) {
	remote := modelServer("a", 12, 1)
	remote.Domain = "far"
	d := newBoxWithReleasedSlot(t, remote, modelServer("b", 12, 1))
	d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
	require.Equal(t, fleet.ServerID("b"), d.acquire(t).Server.ID)

	d = newBoxWithReleasedSlot(t, modelServer("a", 12, 1), modelServer("b", 12, 1))
	d.UpdatePeerDemand("entry-2", Demand{}, d.clock.Now())
	for range 4 {
		d.backends["a"].failureRate += failureSmoothing * (1 - d.backends["a"].failureRate)
	}
	require.Equal(t, fleet.ServerID("b"), d.acquire(t).Server.ID)
}

// Guards against servers with more requests than slots. Boxes that have filled all slots and have reported this release and
// take slots without any further report.
func TestReleasedSlotsAreNeverTakenTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		var servers []fleet.Server
		for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
			servers = append(servers, modelServer(fmt.Sprintf("s-%d", i), slots, 1))
		}
		boxes := make([]*testDispatcher, rapid.IntRange(2, 5).Draw(t, "boxes"))
		held := make([][]*Reservation, len(boxes))
		total := make(map[fleet.ServerID]int)
		submit := func(i int) {
			req := boxes[i].request()
			req.NoWait = true
			if reservation, _, err := boxes[i].Submit(req, nil, boxes[i].clock.Now()); err == nil {
				held[i] = append(held[i], reservation)
				total[reservation.Server.ID]++
			}
		}
		report := func(from int) {
			load := boxes[from].OwnLoad()
			for i, box := range boxes {
				if i != from {
					box.UpdatePeerDemand(member.BoxID(fmt.Sprint(from)), Demand{InTime: 1}, box.clock.Now())
					box.UpdatePeerLoad(member.BoxID(fmt.Sprint(from)), load, true, box.clock.Now())
				}
			}
		}
		for i := range boxes {
			boxes[i] = newTestDispatcher(true, servers...)
			boxes[i].self = member.BoxID(fmt.Sprint(i))
		}
		for n := range slots * len(servers) {
			submit(n % len(boxes))
			report(n % len(boxes))
			for _, box := range boxes {
				box.clock.Advance(allocationRound)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(boxes)-1).Draw(t, "box")
			if len(held[i]) > 0 && rapid.Bool().Draw(t, "release") {
				n := rapid.IntRange(0, len(held[i])-1).Draw(t, "request")
				total[held[i][n].Server.ID]--
				held[i][n].Release(ResultDone, boxes[i].clock.Now())
				held[i] = append(held[i][:n], held[i][n+1:]...)
			} else {
				submit(i)
			}
			for id, requests := range total {
				if requests > slots {
					t.Fatalf("server %s has %d requests and %d slots", id, requests, slots)
				}
			}
		}
	})
}

// reportEvery reports the demand of a box at an interval until the moving average of the interval is settled.
func reportEvery(d *testDispatcher, box member.BoxID, interval time.Duration, demand Demand) {
	for range 30 {
		d.clock.Advance(interval)
		d.UpdatePeerDemand(box, demand, d.clock.Now())
	}
}

// Reports that are as recent as usual must count as they are.
func TestUsualReportsCountAsTheyAre(t *testing.T) {
	d := newTestDispatcher(true, modelServer("a", 12, 1))
	reportEvery(d, "entry-2", 50*time.Millisecond, Demand{Arrivals: 20})
	d.clock.Advance(40 * time.Millisecond)
	delays := d.reportDelays(d.clock.Now())
	require.Equal(t, allocationRound, delays.round)
	require.InDelta(t, 20*allocationRound.Seconds(), delays.arrivals, 1e-9)
	require.EqualValues(t, 1, delays.retained)
}

// A box with few requests reports rarely because nothing changes. Guards against rounds that are so long that a request at
// such a box waits for one.
func TestBoxWithFewRequestsIsNotTakenForSlow(t *testing.T) {
	d := newTestDispatcher(true, modelServer("a", 12, 1))
	reportEvery(d, "entry-2", 400*time.Millisecond, Demand{Arrivals: 1})
	reportEvery(d, "entry-3", 400*time.Millisecond, Demand{})
	delays := d.reportDelays(d.clock.Now())
	require.Equal(t, allocationRound, delays.round)
	require.EqualValues(t, 1, delays.retained)
}

// Guards against slots that are allocated to several boxes in turn before any of them receives a report that they are taken,
// and against boxes whose rounds differ because their mean intervals do.
func TestRoundsCoverIntervalOfLateReports(t *testing.T) {
	for _, interval := range []time.Duration{460, 500, 540} {
		d := newTestDispatcher(true, modelServer("a", 12, 1))
		reportEvery(d, "entry-2", interval*time.Millisecond, Demand{Arrivals: 20})
		delays := d.reportDelays(d.clock.Now())
		require.Equal(t, 480*time.Millisecond, delays.round)
		require.InDelta(t, 20*(interval*time.Millisecond).Seconds(), delays.arrivals, 1)
	}
}

// Guards against servers that seem full for half a second after their requests have ended, and against ones that seem empty
// although a few requests hold their slots for long.
func TestPartOfLateReportedLoadCounts(t *testing.T) {
	d := newTestDispatcher(true, modelServer("a", 12, 1))
	reportEvery(d, "entry-2", 500*time.Millisecond, Demand{Arrivals: 20})
	d.UpdatePeerLoad("entry-2", Load{"a": {Requests: 10}}, true, d.clock.Now())
	require.Equal(t, 10, d.load(d.backends["a"], d.clock.Now()).Requests)
	d.clock.Advance(500 * time.Millisecond)
	require.Equal(t, 6, d.load(d.backends["a"], d.clock.Now()).Requests, "a request holds its slot for one second")
	d.typicalHoldTime = 20 * time.Millisecond
	d.changes++
	require.Equal(t, 5, d.load(d.backends["a"], d.clock.Now()).Requests)
}

// Guards against an uneven distribution that no metric shows.
func TestMisplacedSlotsAreIdleWhileOtherServersQueue(t *testing.T) {
	d := newTestDispatcher(true, modelServer("a", 12, 1), modelServer("b", 12, 1))
	report := func(id fleet.ServerID, running, waiting int) {
		d.UpdateServer(id, ServerState{Version: 1, Running: running, Waiting: waiting}, d.clock.Now())
	}
	report("a", 12, 5)
	report("b", 9, 0)
	require.Equal(t, 3, d.MisplacedSlots(d.clock.Now()))
	report("b", 6, 0)
	require.Equal(t, 5, d.MisplacedSlots(d.clock.Now()))
	report("a", 7, 5)
	require.Zero(t, d.MisplacedSlots(d.clock.Now()), "the waiting requests fit into the server's own slots")
	report("a", 12, 5)
	d.clock.Advance(serverStatusMaxAge)
	require.Zero(t, d.MisplacedSlots(d.clock.Now()), "the reports of the agents have expired")
}
