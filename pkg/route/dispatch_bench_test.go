package route

import (
	"context"
	"fmt"
	"testing"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// BenchmarkDispatch takes a place and gives it back, among servers whose load is told
// by other entry boxes.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []struct{ servers, boxes int }{{20, 6}, {45, 42}, {2000, 42}} {
		b.Run(fmt.Sprintf("servers=%d/boxes=%d", size.servers, size.boxes), func(b *testing.B) {
			servers := make([]fleet.Server, 0, size.servers)
			for i := range size.servers {
				servers = append(servers, model(fmt.Sprintf("s-%d", i), 16, 1))
			}
			d := newBench(true, servers...)
			for box := range size.boxes {
				load := make(Load)
				for i := range size.servers {
					load[servers[i].ID] = ServerLoad{Requests: i % 2}
				}
				d.PeerLoad(member.BoxID(fmt.Sprint(box)), load, true, d.clock.Now())
			}
			for b.Loop() {
				place, err := d.Acquire(context.Background(), d.ask(), d.clock)
				if err != nil {
					b.Fatal(err)
				}
				place.Release(ResultDone, d.clock.Now())
			}
		})
	}
}
