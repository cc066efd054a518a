package direct

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// benchmarkFleets are the fleet sizes of the benchmarks.
var benchmarkFleets = []struct{ boxes, servers int }{{30, 60}, {300, 1500}, {2200, 12000}}

// newFleetMember returns the entry boxes as one box of a fleet knows them, and the view of that box.
func newFleetMember(b *testing.B, boxes, servers int) (*EntryBoxes, *fleet.View) {
	records, view := newFleet(boxes, servers)
	fleetState, clock := newTestFleetState()
	e := newTestEntryBoxes(fleetState)
	e.self, e.membership, e.regionOf, e.replanned = records[0], newTestMembership(clock, records[0].Box), sameRegion, make(chan struct{})
	e.membership.Merge(recordItems(b, records...), "")
	fleetState.view.Store(view)
	e.replan()
	return e, view
}

// BenchmarkControlTraffic reports the number of processes that one entry box follows and the bytes of status
// messages that it sends per second, with one change of its load in each status interval. In a full mesh, the box
// followed 365, 1,799 and 14,199 processes.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range benchmarkFleets {
		b.Run(fmt.Sprintf("boxes=%d/servers=%d", size.boxes, size.servers), func(b *testing.B) {
			e, view := newFleetMember(b, size.boxes, size.servers)
			cellPeers, all := len(e.plan.cellPeers), len(e.subscriptions())
			agents := len(e.plan.ownServers(view.Servers("llm")))
			bytes := 0
			for b.Loop() {
				bytes = statusBytesPerSecond(cellPeers)
			}
			b.ReportMetric(float64(cellPeers), "mates")
			b.ReportMetric(float64(all-cellPeers), "neighbours")
			b.ReportMetric(float64(agents), "agents")
			b.ReportMetric(float64(bytes), "sent-bytes/s")
		})
	}
}

// statusBytesPerSecond returns the bytes of status messages that a box sends to its cell peers per second, with
// one request sent to a server in each status interval.
func statusBytesPerSecond(cellPeers int) int {
	cursor := statusCursor{fullStatus: func() *wire.EntryStatus { return &wire.EntryStatus{} }}
	now, load, sent := time.Unix(1000, 0), make(route.Load), 0
	for tick := range int(time.Second / statusInterval) {
		now, load = now.Add(statusInterval), maps.Clone(load)
		id := fleet.ServerID(fmt.Sprintf("i-%010x", tick%8))
		load[id] = route.ServerLoad{Requests: load[id].Requests + 1, Prefill: time.Duration(tick) * time.Millisecond}
		if message := cursor.nextMessage(statusSummary{ready: true}, load, route.Demands{"llm": {Arrivals: tick}}, now, false); message != nil {
			sent += proto.Size(message)
		}
	}
	return sent * cellPeers
}

// BenchmarkPlanCells measures the division of the fleet into cells, which each box repeats when a server or
// another box is added or removed.
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

// BenchmarkSubscriptions measures the choice of the boxes to follow, which each box repeats when a record or the cell plan
// changes.
func BenchmarkSubscriptions(b *testing.B) {
	for _, size := range benchmarkFleets {
		b.Run(fmt.Sprintf("boxes=%d/servers=%d", size.boxes, size.servers), func(b *testing.B) {
			e, _ := newFleetMember(b, size.boxes, size.servers)
			for b.Loop() {
				e.subscriptions()
			}
		})
	}
}

// BenchmarkPlanInput measures how long a box takes to find that a change does not change the cell plan.
func BenchmarkPlanInput(b *testing.B) {
	for _, size := range benchmarkFleets {
		b.Run(fmt.Sprintf("boxes=%d/servers=%d", size.boxes, size.servers), func(b *testing.B) {
			records, view := newFleet(size.boxes, size.servers)
			before := planInput{boxes: records, services: []plannedService{{"llm", true, view.Servers("llm")}}}
			after := planInput{boxes: slices.Clone(records), services: []plannedService{{"llm", true, slices.Clone(view.Servers("llm"))}}}
			for b.Loop() {
				if !before.isEqual(&after) {
					b.Fatal("plans differ")
				}
			}
		})
	}
}
