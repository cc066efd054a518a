package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// BenchmarkServerState measures one report of an agent on its server.
func BenchmarkServerState(b *testing.B) {
	for _, servers := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			state, _ := newTestFleetState()
			s := newTestCallerServer(state)
			facts := []fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{
				Version: 1, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{Slots: 8}}},
			}}}
			for i := range servers {
				fact := modelEntry(i, 1)
				fact.Revision = 2
				facts = append(facts, fact)
			}
			state.Apply(facts, "test")
			address := modelEntry(servers/2, 1).Server.Address
			s.UpdateServerState(address, route.ServerState{Incarnation: 1, Version: 1}, time.Now())
			for b.Loop() {
				s.UpdateServerState(address, route.ServerState{Incarnation: 1, Version: 1}, time.Now())
			}
		})
	}
}
