package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a report that loses requests whose priority is outside the range, and against classes that remain set
// after the configuration has one priority again.
func TestDemandIsCountedByPriorityClass(t *testing.T) {
	b := newTestDispatcher(true, modelServer("a", 1, 1))
	b.SetPriorityClasses(true)
	b.acquire(t)
	for _, priority := range []int{resumed, 0, 1, 9, 12} {
		req := b.request()
		req.Priority, req.startBy = priority, req.Objective
		b.enqueue(&QueuedRequest{req: req})
	}
	demand := b.Demand(b.clock.Now())
	require.Equal(t, 5, demand.InTime)
	require.Equal(t, 2, demand.Classes[0].InTime)
	require.Equal(t, 1, demand.Classes[1].InTime)
	require.Equal(t, 2, demand.Classes[9].InTime)
	b.clock.Advance(rateWindow / 2)
	require.Equal(t, 1, b.Demand(b.clock.Now()).Classes[0].Arrivals)
	b.SetPriorityClasses(false)
	require.Equal(t, DemandClasses{}, b.Demand(b.clock.Now()).Classes)
}

// resumed is the priority of resumed responses.
const resumed = -1

// Guards against sums that drift when boxes replace their reports or disappear.
func TestPeerDemandClassesSumUp(t *testing.T) {
	b := newTestDispatcher(true)
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		demand := Demand{InTime: random.IntN(4)}
		demand.Classes[random.IntN(PriorityClasses)].InTime = demand.InTime
		b.UpdatePeerDemand(boxID(random.IntN(5)), demand, b.clock.Now())
	}
	want := Demand{}
	for _, demand := range b.peerDemands.boxes {
		want.add(&demand.Demand, 1)
	}
	require.Equal(t, want, b.totalPeerDemand(b.clock.Now()))
	b.clock.Advance(peerLoadMaxAge)
	require.Equal(t, Demand{}, b.totalPeerDemand(b.clock.Now()))
}
