package direct

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// benchmarkFleets are the sizes at which what one box spends on control is worked out.
var benchmarkFleets = []struct{ boxes, servers int }{{30, 60}, {300, 1500}, {2200, 12000}}

// BenchmarkControlTraffic gives whom one entry box follows, and what it sends and takes in a second for
// control, with one change in each interval of telling. In
// full mesh that was 365, 1,799 and 14,199 followed.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range benchmarkFleets {
		b.Run(fmt.Sprintf("boxes=%d/servers=%d", size.boxes, size.servers), func(b *testing.B) {
			records, view := newFleet(size.boxes, size.servers)
			facts, clock := newTestFleetState()
			e := newTestEntryBoxes(facts)
			e.self, e.membership, e.regionOf, e.replanned = records[0], newTestMembership(clock, records[0].Box), sameRegion, make(chan struct{})
			e.membership.Merge(recordItems(b, records...), "")
			facts.view.Store(view)
			e.replan()
			mates, all := len(e.plan.cellPeers), len(e.subscriptions())
			agents := len(e.plan.ownServers(view.Servers("llm")))
			bytes := 0
			for b.Loop() {
				bytes = statusBytesPerSecond(mates)
			}
			b.ReportMetric(float64(mates), "mates")
			b.ReportMetric(float64(all-mates), "neighbours")
			b.ReportMetric(float64(agents), "agents")
			b.ReportMetric(float64(bytes), "sent-bytes/s")
		})
	}
}

// statusBytesPerSecond is what a box tells the others of its cell in a second: in each interval one
// request is sent to a server, begins or ends there.
func statusBytesPerSecond(mates int) int {
	told := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{} }}
	now, load, sent := time.Unix(1000, 0), make(route.Load), 0
	for tick := range int(time.Second / statusInterval) {
		now, load = now.Add(statusInterval), maps.Clone(load)
		id := fleet.ServerID(fmt.Sprintf("i-%010x", tick%8))
		load[id] = route.ServerLoad{Requests: load[id].Requests + 1, Prefill: time.Duration(tick) * time.Millisecond}
		if message := told.nextMessage(statusSummary{ready: true}, load, route.Demands{"llm": {Arrivals: tick}}, now, false); message != nil {
			sent += proto.Size(message)
		}
	}
	return sent * mates
}

// BenchmarkPlanCells divides the fleet, as each box does when a server or another box comes or
// goes.
func BenchmarkPlanCells(b *testing.B) {
	for _, size := range benchmarkFleets {
		b.Run(fmt.Sprintf("boxes=%d/servers=%d", size.boxes, size.servers), func(b *testing.B) {
			records, view := newFleet(size.boxes, size.servers)
			for b.Loop() {
				planCells(records[0].Box, records, view, func(domain member.FailureDomain) member.Region { return member.Region(domain) })
			}
		})
	}
}
