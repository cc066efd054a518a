package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// manyBoxes returns entry boxes with the same state: servers with the given number of free slots
// each, and the demand of every other box.
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

// acquireOnAll requests a slot at every box at the same time, and returns the number of slots taken
// by server and in total.
func acquireOnAll(boxes []*testDispatcher) (taken map[fleet.ServerID]int, all int) {
	taken = make(map[fleet.ServerID]int)
	for _, b := range boxes {
		w := &QueuedRequest{req: b.request(), onGranted: func(reservation *Reservation) {
			taken[reservation.Server.ID]++
			all++
		}}
		w.req.startBy = w.req.Objective
		b.enqueue(w)
		_, _, _ = b.Review(w, b.clock.Now())
	}
	return taken, all
}

// Guards against boxes with the same view of the free slots that all take them: with 39 boxes, each
// server gets several requests more than it has slots.
func TestCompetingBoxesDoNotOversubscribeFreeSlots(t *testing.T) {
	servers, all := acquireOnAll(manyBoxes(39, 10, 1, Demand{InTime: 1}))
	for id, requests := range servers {
		require.LessOrEqual(t, requests, 1, "server %s has one free slot", id)
	}
	require.GreaterOrEqual(t, all, 6, "few boxes are allocated two slots for one request")
}

// A box with a higher demand is allocated more of the free slots.
func TestSlotsAreAllocatedInProportionToDemand(t *testing.T) {
	won := 0
	b := newTestDispatcher(true)
	b.self = "entry-0"
	b.UpdatePeerDemand("entry-1", Demand{InTime: 1}, b.clock.Now())
	busy := Demand{InTime: 3}
	for index := range 1000 {
		if b.owns(freeSlot{"a", index, 1}, busy.allocationWeight()) {
			won++
		}
	}
	require.InDelta(t, 750, won, 50)
}

// All boxes chose the one server that each saw as the least loaded.
func TestConcurrentBoxesSpreadOverServers(t *testing.T) {
	taken := make(map[fleet.ServerID]int)
	for _, b := range manyBoxes(39, 10, 9, Demand{Arrivals: 16}) {
		b.UpdatePeerLoad("others", Load{"s-3": {Requests: 1}}, false, b.clock.Now())
		taken[b.acquire(t).Server.ID]++
	}
	require.GreaterOrEqual(t, len(taken), 9)
	for id, requests := range taken {
		require.LessOrEqual(t, requests, 11, "server %s may get 9 to 11 requests", id)
	}
}

// No other box knows yet that the slot is free, so it is not allocated among the boxes.
func TestReleasedSlotGoesToOwnQueue(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 4, 1))
	var held []*Reservation
	for range 4 {
		held = append(held, b.acquire(t))
	}
	b.UpdatePeerDemand("others", Demand{InTime: 1000}, b.clock.Now())
	granted := 0
	for range 2 {
		req := b.request()
		req.startBy = req.Objective
		b.enqueue(&QueuedRequest{req: req, onGranted: func(*Reservation) { granted++ }})
	}
	held[0].Release(ResultDone, b.clock.Now())
	require.Equal(t, 1, granted, "one slot, one request")
}

// Guards against late requests at one box that take the released slots while new requests are queued at another.
func TestLateRequestLeavesFreeSlotsToInTimeRequestsOfPeers(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 12, 1))
	b.UpdatePeerLoad("others", Load{"a": {Requests: 9}}, true, b.clock.Now())
	late := func() error {
		req := b.retry()
		req.NoWait = true
		_, err := b.Acquire(t.Context(), req, b.clock)
		return err
	}
	b.UpdatePeerDemand("others", Demand{InTime: 3}, b.clock.Now())
	require.Error(t, late(), "three slots are free, three requests at other boxes are in time")
	b.UpdatePeerDemand("others", Demand{}, b.clock.Now())
	require.NoError(t, late())
}

func TestEmptyFullReportClearsPeerLoad(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 2, 1))
	b.UpdatePeerLoad("entry-2", Load{"a": {Requests: 2}}, true, b.clock.Now())
	b.UpdatePeerLoad("entry-2", nil, true, b.clock.Now())
	require.Zero(t, b.peerLoads.sums["a"])
	require.Equal(t, member.FailureDomain("near"), b.acquire(t).Server.Domain)
}

// Guards against granting the next request a slot that is released on a server that has been removed from the list.
func TestReleasedSlotOfUnlistedServerIsNotGranted(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 2, 1), modelServer("b", 2, 1))
	held := make(map[fleet.ServerID][]*Reservation)
	for range 4 {
		reservation := b.acquire(t)
		held[reservation.Server.ID] = append(held[reservation.Server.ID], reservation)
	}
	b.SetServers([]fleet.Server{modelServer("b", 2, 1)}, 0, func(member.FailureDomain) bool { return true }, b.clock.Now())
	var granted *Reservation
	req := b.request()
	req.startBy = req.Objective
	b.enqueue(&QueuedRequest{req: req, onGranted: func(reservation *Reservation) { granted = reservation }})
	held["a"][0].Release(ResultDone, b.clock.Now())
	require.Nil(t, granted)
	held["b"][0].Release(ResultDone, b.clock.Now())
	require.NotNil(t, granted)
	require.Equal(t, fleet.ServerID("b"), granted.Server.ID)
}
