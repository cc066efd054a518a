package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// newDividedCallerServer returns a caller server with servers of 20 services, in a fleet of two cells, that follows boxes
// of its cell.
func newDividedCallerServer(servers, boxes int) *CallerServer {
	s := newTestCallerServer(newListedFleet(servers))
	configuration := &fleet.Configuration{Version: 2}
	for i := range 20 {
		configuration.Services = append(configuration.Services, fleet.Service{Name: member.Service(fmt.Sprintf("service-%d", i))})
	}
	s.fleetState.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 3, Configuration: configuration}}, "test")
	plan := &cellPlan{cellCount: 2, cellPeers: make(map[member.BoxID]bool), cellByServer: make(map[member.Address]int)}
	for i := range servers {
		plan.cellByServer[modelEntry(i, 1).Server.Address] = i / 20 % 2
	}
	entries := &EntryBoxes{clock: clockwork.NewRealClock(), plan: plan, boxes: make(map[string]EntryBox), membership: NewMembership(member.Record{}, s.clock, s.log)}
	for i := range boxes {
		id := member.BoxID(fmt.Sprintf("entry-%d", i))
		entries.boxes[string(id)], plan.cellPeers[id] = EntryBox{Box: id, LastSeen: time.Now()}, true
	}
	s.entries.Store(entries)
	for i := range 20 {
		s.dispatcher(member.Service(fmt.Sprintf("service-%d", i)))
	}
	return s
}

// update brings all dispatchers up to date.
func (s *CallerServer) update() {
	s.mu.Lock()
	defer s.mu.Unlock()
	input := s.dispatcherInput()
	for name, d := range s.dispatchers {
		s.applyInput(name, d, input)
	}
}

// Guards against dispatchers that are built anew from all servers of the cell, ten times a second.
func TestUnchangedServersCostTheDispatchersNoAllocations(t *testing.T) {
	allocations := func(servers, boxes int) float64 {
		return testing.AllocsPerRun(100, newDividedCallerServer(servers, boxes).update)
	}
	require.Equal(t, allocations(40, 2), allocations(2000, 40))
}

// Guards against a dispatcher that keeps servers that have changed, or have moved to another cell.
func TestChangedServersReachTheDispatchers(t *testing.T) {
	s := newDividedCallerServer(80, 2)
	for i := range 80 {
		// Servers with a limit can be counted.
		s.fleetState.MergeRateLimits([]*wire.RateLimit{{Server: string(modelEntry(i, 1).Server.ID), Incarnation: 1, Limited: true, PerSecond: 10}}, "test")
	}
	servers := func(service member.Service) int {
		s.update()
		return len(s.dispatcher(service).LimitedServers(s.clock.Now()))
	}
	require.Equal(t, 2, servers("service-3"))
	moved := *s.entries.Load().plan
	moved.cellByServer = map[member.Address]int{modelEntry(3, 1).Server.Address: 1}
	s.entries.Load().plan = &moved
	require.Equal(t, 3, servers("service-3"))
	s.fleetState.Apply([]fleet.Fact{{Key: fleet.ServerKey(modelEntry(23, 1).Server.ID), Revision: 4, Deleted: true}}, "test")
	require.Equal(t, 2, servers("service-3"))
	require.Equal(t, 4, servers("service-4"))
}

// BenchmarkUpdateDispatchers measures how 20 dispatchers are brought up to date while nothing changes.
func BenchmarkUpdateDispatchers(b *testing.B) {
	for _, size := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("%d servers and %d boxes", size, min(size, 30)), func(b *testing.B) {
			s := newDividedCallerServer(size, min(size, 30))
			b.ReportAllocs()
			for b.Loop() {
				s.update()
			}
		})
	}
}
