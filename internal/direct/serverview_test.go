package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// listedServers returns the servers of a view that belong to the given services.
func listedServers(view *fleet.View, services []member.Service) map[member.Service][]fleet.Server {
	servers := make(map[member.Service][]fleet.Server)
	for _, service := range services {
		if list := view.Servers(service); len(list) > 0 {
			servers[service] = list
		}
	}
	return servers
}

// Guards against a view that keeps what was known of a server before a change.
func TestServersOfTheViewAreThoseOfAListFromScratch(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f, start := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics()), time.Now().UnixMilli()
			services := []member.Service{"a", "b", "c"}
			revision, version, era := uint64(0), uint64(0), uint64(1)
			next := func() fleet.Revision {
				revision++
				return fleet.NewRevision(era, revision)
			}
			pick := random.IntN
			for range 80 {
				before := f.View()
				id := fleet.ServerID(fmt.Sprintf("i-%d", pick(6)))
				incarnation := member.Incarnation(start - 1000 + int64(pick(4)))
				switch pick(12) {
				case 0, 1, 2:
					f.Apply([]fleet.Fact{{Key: fleet.ServerKey(id), Revision: next(), Server: &fleet.Server{
						ID: id, Service: services[pick(3)], Address: member.Address(fmt.Sprintf("address-%d", pick(4))),
						Domain: member.FailureDomain(fmt.Sprintf("domain-%d", pick(2))), Incarnation: incarnation,
						Leaving: pick(4) == 0, ColdFor: time.Duration(pick(2)) * time.Second,
						Models: []fleet.LoadedModel{{Name: "model", Version: fleet.WeightsVersion(pick(2))}},
					}}}, "test")
				case 3:
					f.Apply([]fleet.Fact{{Key: fleet.ServerKey(id), Revision: next(), Deleted: true}}, "test")
				case 4:
					version++
					configuration := &fleet.Configuration{Version: version}
					for _, service := range services[:1+pick(3)] {
						configuration.Services = append(configuration.Services, fleet.Service{Name: service, ColdRate: 2})
					}
					f.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: next(), Configuration: configuration}}, "test")
				case 5:
					domain := member.FailureDomain(fmt.Sprintf("domain-%d", pick(2)))
					f.Apply([]fleet.Fact{{Key: fleet.EvacuationKey(domain), Revision: next(), Deleted: pick(2) == 0, Evacuation: &fleet.Evacuation{}}}, "test")
				case 6:
					f.MergeDepartures([]fleet.Departure{{Server: id, Incarnation: incarnation}}, "test")
				case 7:
					f.ObserveDeparture(id, incarnation, "test")
				case 8:
					f.MergeRateLimits([]*wire.RateLimit{{Server: string(id), Incarnation: uint64(incarnation), Limited: pick(2) == 0, PerSecond: float64(pick(5))}}, "test")
				case 9:
					f.ObserveCold(id, incarnation, time.Duration(pick(5))*time.Second, "test")
				case 10:
					f.MergeAgentReport(member.Address(fmt.Sprintf("address-%d", pick(4))), incarnation, pick(3) == 0, "test")
				case 11:
					if pick(4) == 0 {
						// The store has come back from a copy that lists servers again.
						era++
					}
					time.Sleep(time.Duration(pick(8)) * time.Second)
				}
				synctest.Wait()
				f.mu.Lock()
				if view := f.View(); view != before {
					expected := fleet.EmptyView().WithServers(f.currentServers(view.Configuration))
					if got, want := listedServers(view, services), listedServers(expected, services); !isEqualServers(got, want) {
						f.mu.Unlock()
						t.Fatalf("seed %d: view has %v, want %v", seed, got, want)
					}
				}
				f.mu.Unlock()
			}
		})
	}
}

// isEqualServers compares servers by their contents.
func isEqualServers(a, b map[member.Service][]fleet.Server) bool {
	return fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

// newListedFleet returns a fleet state with servers of 20 services.
func newListedFleet(servers int) *FleetState {
	f := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
	facts := []fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{Version: 1}}}
	for i := range servers {
		facts = append(facts, listedOf(i, 2))
	}
	f.Apply(facts, "test")
	return f
}

// listedOf returns the entry of a server of one of 20 services.
func listedOf(number int, revision fleet.Revision) fleet.Fact {
	fact := modelEntry(number, 1)
	fact.Server.Service, fact.Revision = member.Service(fmt.Sprintf("service-%d", number%20)), revision
	return fact
}

// Guards against lists of all services that are built anew for each entry.
func TestChangedEntryReplacesOnlyTheListOfItsService(t *testing.T) {
	f := newListedFleet(100)
	before := f.View()
	changed := listedOf(3, 3)
	changed.Server.Slots = 9
	f.Apply([]fleet.Fact{changed}, "test")
	after := f.View()
	for i := range 20 {
		service := member.Service(fmt.Sprintf("service-%d", i))
		require.Equal(t, i != 3, isSameSlice(before.Servers(service), after.Servers(service)), "%s", service)
	}
	require.Equal(t, 9, after.Servers("service-3")[0].Slots)
	require.Equal(t, 8, before.Servers("service-3")[0].Slots)
	changed.Revision++
	f.Apply([]fleet.Fact{changed}, "test")
	require.NotSame(t, after, f.View())
	require.True(t, isSameSlice(after.Servers("service-3"), f.View().Servers("service-3")), "an entry that is written again as it was")
}

// Guards against work for all servers at each changed entry.
func TestWorkForAChangedEntryDoesNotGrowWithTheServers(t *testing.T) {
	allocations := func(servers int) float64 {
		f, revision := newListedFleet(servers), fleet.Revision(2)
		return testing.AllocsPerRun(100, func() {
			revision++
			changed := listedOf(3, revision)
			changed.Server.Slots = int(revision)
			f.Apply([]fleet.Fact{changed}, "test")
		})
	}
	require.InDelta(t, allocations(100), allocations(4000), 5)
}

// BenchmarkChangedEntry measures the merge of one changed entry of a server.
func BenchmarkChangedEntry(b *testing.B) {
	for _, servers := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			f, revision := newListedFleet(servers), fleet.Revision(2)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				changed := listedOf(3, revision)
				changed.Server.Slots = int(revision)
				f.Apply([]fleet.Fact{changed}, "test")
			}
		})
	}
}

// Guards against reports of agents that reach the server that had the address before, or none.
func TestServerAtAnAddressIsTheOneInTheView(t *testing.T) {
	f := newListedFleet(40)
	at := func(address member.Address) fleet.ServerID {
		view, server, ok := f.serverShownAt(address)
		require.Same(t, f.View(), view)
		if !ok {
			return ""
		}
		require.Equal(t, address, server.Address)
		return server.ID
	}
	for i := range 40 {
		server := modelEntry(i, 1).Server
		require.Equal(t, server.ID, at(server.Address))
	}
	address := modelEntry(3, 1).Server.Address
	restarted := listedOf(99, 3)
	restarted.Server.Address, restarted.Server.Incarnation = address, 2
	f.Apply([]fleet.Fact{restarted}, "test")
	require.Equal(t, restarted.Server.ID, at(address))
	f.Apply([]fleet.Fact{{Key: restarted.Key, Revision: 4, Deleted: true}}, "test")
	require.Equal(t, modelEntry(3, 1).Server.ID, at(address))
	f.Apply([]fleet.Fact{{Key: fleet.ServerKey(modelEntry(3, 1).Server.ID), Revision: 5, Deleted: true}}, "test")
	require.Empty(t, at(address))
}
