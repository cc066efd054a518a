package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// manyServers returns a dispatcher with the given number of servers, half of them remote.
func manyServers(servers, slots int) *testDispatcher {
	list := make([]fleet.Server, 0, servers)
	for i := range servers {
		server := modelServer(fmt.Sprintf("s-%d", i), slots, 1)
		if i%2 == 1 {
			server.Domain = "far"
		}
		list = append(list, server)
	}
	b := newTestDispatcher(true, list...)
	b.random = rand.New(rand.NewPCG(5, 5)).Float64
	return b
}

// With many servers only a sample is considered. All slots must still be found, none used twice,
// and local servers preferred.
func TestAllSlotsOfManyServersAreFound(t *testing.T) {
	const servers, slots = 4 * sampleThreshold, 8
	b := manyServers(servers, slots)
	taken, local := make(map[fleet.ServerID]int), 0
	for i := range servers * slots {
		reservation := b.acquire(t)
		taken[reservation.Server.ID]++
		require.LessOrEqual(t, taken[reservation.Server.ID], slots)
		if i < servers/2 && reservation.Server.Domain == "near" {
			local++
		}
		b.clock.Advance(capacityMaxAge)
	}
	require.Greater(t, local, servers/2*9/10)
	require.Zero(t, b.currentCapacity(b.clock.Now()).free)
	req := b.request()
	req.NoWait = true
	_, err := b.Acquire(t.Context(), req, b.clock)
	require.Error(t, err)
}

func TestCapacitySnapshotCountsOwnReservations(t *testing.T) {
	b := manyServers(2*sampleThreshold, 1)
	free := b.currentCapacity(b.clock.Now()).free
	reservation := b.acquire(t)
	require.Equal(t, free-1, b.currentCapacity(b.clock.Now()).free)
	reservation.Release(ResultDone, b.clock.Now())
	require.Equal(t, free, b.currentCapacity(b.clock.Now()).free)
	b.UpdateServer("s-0", ServerState{Version: 1, Running: 1, Waiting: 20}, b.clock.Now())
	b.clock.Advance(capacityMaxAge)
	require.Equal(t, free-1, b.currentCapacity(b.clock.Now()).free)
}

// The queue is counted by binary search, with the same result as a scan of all requests.
func TestQueueCountsMatchLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestDispatcher(true)
		now := b.clock.Now()
		draw := func() *SlotRequest {
			return &SlotRequest{
				Priority: rapid.IntRange(-1, 2).Draw(t, "priority"),
				startBy:  now.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "start")) * time.Millisecond),
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "waiting") {
			b.enqueue(&QueuedRequest{req: draw()})
		}
		req := draw()
		if rapid.Bool().Draw(t, "queued") && len(b.queue) > 0 {
			req = b.queue[rapid.IntRange(0, len(b.queue)-1).Draw(t, "index")].req
		}
		wantAhead, wantInTime, wantLate := 0, 0, 0
		for _, w := range b.queue {
			if w.req.isLate(now) {
				wantLate++
			} else {
				wantInTime++
			}
			if w.req != req && isAhead(w.req, req, now) {
				wantAhead++
			}
		}
		inTime, late := b.queueCounts(now)
		if inTime != wantInTime || late != wantLate || b.ahead(req, now) != wantAhead {
			t.Fatalf("%d in time, %d late, %d ahead; want %d, %d, %d", inTime, late, b.ahead(req, now), wantInTime, wantLate, wantAhead)
		}
	})
}

// isAhead reports whether a waiting request gets a slot before another one.
func isAhead(waiting, req *SlotRequest, now time.Time) bool {
	if late := waiting.isLate(now); late != req.isLate(now) {
		return !late
	}
	return !hasPrecedence(req, waiting)
}
