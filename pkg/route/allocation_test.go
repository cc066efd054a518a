package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// manyBoxes returns entry boxes that all know the same: servers with some free places
// each, and what every box is asked for.
func manyBoxes(boxes, servers, free int, demand Demand) []*testDispatcher {
	all := make([]*testDispatcher, 0, boxes)
	for i := range boxes {
		list := make([]fleet.Server, 0, servers)
		load := make(Load)
		for s := range servers {
			server := modelServer(fmt.Sprintf("s-%d", s), 12, 1)
			list = append(list, server)
			load[server.ID] = ServerLoad{Requests: 12 - free}
		}
		b := newTestDispatcher(true, list...)
		b.random = rand.New(rand.NewPCG(7, uint64(i))).Float64
		b.self = boxID(i)
		b.UpdatePeerLoad("others", load, true, b.clock.Now())
		for other := range boxes {
			if other != i {
				b.UpdatePeerDemand(boxID(other), demand, b.clock.Now())
			}
		}
		all = append(all, b)
	}
	return all
}

func boxID(i int) member.BoxID { return member.BoxID(fmt.Sprintf("entry-%d", i)) }

// acquireOnAll lets every box ask for a place at the same moment, and returns what the servers
// get.
func acquireOnAll(boxes []*testDispatcher) (taken map[fleet.ServerID]int, all int) {
	taken = make(map[fleet.ServerID]int)
	for _, b := range boxes {
		w := &QueuedRequest{req: b.request(), onGranted: func(place *Reservation) {
			taken[place.Server.ID]++
			all++
		}}
		w.req.startBy = w.req.Objective
		b.enqueue(w)
		_, _, _ = b.Review(w, b.clock.Now())
	}
	return taken, all
}

// Thirty-nine boxes that saw the same free places all took them; each server got several
// requests more than it had room for.
func TestCompetingBoxesDoNotOversubscribeFreeSlots(t *testing.T) {
	servers, all := acquireOnAll(manyBoxes(39, 10, 1, Demand{InTime: 1}))
	for id, requests := range servers {
		require.LessOrEqual(t, requests, 1, "server %s has one free place", id)
	}
	require.GreaterOrEqual(t, all, 6, "few boxes win two places for one request")
}

// A box that is asked for more gets more of what is free.
func TestSlotsAreAllocatedInProportionToDemand(t *testing.T) {
	won := 0
	b := newTestDispatcher(true)
	b.self = "entry-0"
	b.UpdatePeerDemand("entry-1", Demand{InTime: 1}, b.clock.Now())
	busy := Demand{InTime: 3}
	for place := range 1000 {
		if b.owns(freeSlot{"a", place, 1}, busy.allocationWeight()) {
			won++
		}
	}
	require.InDelta(t, 750, won, 50)
}

// All boxes went to the one server that each believed to have the least load.
func TestConcurrentBoxesSpreadOverServers(t *testing.T) {
	taken := make(map[fleet.ServerID]int)
	for _, b := range manyBoxes(39, 10, 9, Demand{Arrivals: 16}) {
		b.UpdatePeerLoad("others", Load{"s-3": {Requests: 1}}, false, b.clock.Now())
		taken[b.acquire(t).Server.ID]++
	}
	require.GreaterOrEqual(t, len(taken), 9)
	for id, requests := range taken {
		require.LessOrEqual(t, requests, 11, "server %s has room for 9 to 11", id)
	}
}

// No other box knows of the place yet, so it is not shared out.
func TestReleasedSlotGoesToOwnQueue(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	var held []*Reservation
	for range 4 {
		held = append(held, b.acquire(t))
	}
	b.UpdatePeerDemand("others", Demand{InTime: 1000}, b.clock.Now())
	granted := 0
	for range 2 {
		ask := b.request()
		ask.startBy = ask.Objective
		b.enqueue(&QueuedRequest{req: ask, onGranted: func(*Reservation) { granted++ }})
	}
	held[0].Release(ResultDone, b.clock.Now())
	require.Equal(t, 1, granted, "one place, one request")
}

// Late requests at one box took what became free while first ones waited at another.
func TestLateRequestLeavesFreeSlotsToInTimeRequestsOfPeers(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 12, 1))
	b.UpdatePeerLoad("others", Load{"a": {Requests: 9}}, true, b.clock.Now())
	late := func() error {
		ask := b.retry()
		ask.NoWait = true
		_, err := b.Acquire(t.Context(), ask, b.clock)
		return err
	}
	b.UpdatePeerDemand("others", Demand{InTime: 3}, b.clock.Now())
	require.Error(t, late(), "three places are free, three others can be in time")
	b.UpdatePeerDemand("others", Demand{}, b.clock.Now())
	require.NoError(t, late())
}

func TestEmptyWholeReportClearsPeerLoad(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 2, 1))
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 2}}, true, b.clock.Now())
	b.UpdatePeerLoad("entry-2", nil, true, b.clock.Now())
	require.Zero(t, b.peerLoads.sums["a"])
	require.Equal(t, member.FailureDomain("near"), b.acquire(t).Server.Domain)
}

// A place that was given back on a server that had left the list went to the next request
// (DRAIN on mixed days).
func TestReleasedSlotOfUnlistedServerIsNotGranted(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 2, 1), modelServer("b", 2, 1))
	held := make(map[fleet.ServerID][]*Reservation)
	for range 4 {
		place := b.acquire(t)
		held[place.Server.ID] = append(held[place.Server.ID], place)
	}
	b.SetServers([]fleet.Server{modelServer("b", 2, 1)}, 0, func(member.FailureDomain) bool { return true }, b.clock.Now())
	var granted *Reservation
	ask := b.request()
	ask.startBy = ask.Objective
	b.enqueue(&QueuedRequest{req: ask, onGranted: func(place *Reservation) { granted = place }})
	held["a"][0].Release(ResultDone, b.clock.Now())
	require.Nil(t, granted)
	held["b"][0].Release(ResultDone, b.clock.Now())
	require.NotNil(t, granted)
	require.Equal(t, fleet.ServerID("b"), granted.Server.ID)
}
