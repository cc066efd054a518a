package route

import (
	"context"
	"fmt"
	"testing"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// BenchmarkDispatch reserves and releases a slot on servers whose load is reported by other entry
// boxes.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []struct{ servers, boxes, limited int }{
		{20, 6, 0}, {45, 42, 0}, {2000, 42, 0}, {12000, 42, 0}, {20, 6, 3}, {12000, 42, 100},
	} {
		b.Run(fmt.Sprintf("servers=%d/boxes=%d/limited=%d", size.servers, size.boxes, size.limited), func(b *testing.B) {
			servers := make([]fleet.Server, 0, size.servers)
			for i := range size.servers {
				server := modelServer(fmt.Sprintf("s-%d", i), 16, 1)
				server.Limit = fleet.RateLimit{Set: i < size.limited, PerSecond: 2}
				servers = append(servers, server)
			}
			d := newTestDispatcher(true, servers...)
			for box := range size.boxes {
				load := make(Load)
				for i := range size.servers {
					load[servers[i].ID] = ServerLoad{Requests: i % 2}
				}
				d.UpdatePeerLoad(member.BoxID(fmt.Sprint(box)), load, true, d.clock.Now())
			}
			for b.Loop() {
				reservation, err := d.Acquire(context.Background(), d.request(), d.clock)
				if err != nil {
					b.Fatal(err)
				}
				reservation.Release(ResultDone, d.clock.Now())
			}
		})
	}
}

// BenchmarkReject rejects a request that cannot start in time, with a thousand requests queued.
func BenchmarkReject(b *testing.B) {
	servers := make([]fleet.Server, 0, 12000)
	for i := range 12000 {
		servers = append(servers, modelServer(fmt.Sprintf("s-%d", i), 1, 1))
	}
	d := newTestDispatcher(true, servers...)
	load := make(Load)
	for i := range servers {
		load[servers[i].ID] = ServerLoad{Requests: 1}
	}
	d.UpdatePeerLoad("others", load, true, d.clock.Now())
	for box := range 42 {
		d.UpdatePeerDemand(member.BoxID(fmt.Sprint(box)), Demand{InTime: 1000, Arrivals: 1000}, d.clock.Now())
	}
	for range 1000 {
		w := &QueuedRequest{req: d.request(), onGranted: func(*Reservation) {}}
		w.req.startBy = w.req.Objective
		d.enqueue(w)
	}
	req := d.retry()
	for b.Loop() {
		if _, _, err := d.Submit(req, nil, d.clock.Now()); err == nil {
			b.Fatal("a service without free slots accepted a request")
		}
	}
}

// BenchmarkScarceSlots reserves and releases one of few free slots while requests are queued at all boxes, with one
// priority class and with three.
func BenchmarkScarceSlots(b *testing.B) {
	for _, classes := range []int{1, 3} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			servers, load := make([]fleet.Server, 0, 45), make(Load)
			for i := range 45 {
				servers = append(servers, modelServer(fmt.Sprintf("s-%d", i), 12, 1))
				load[servers[i].ID] = ServerLoad{Requests: 11}
			}
			d := newTestDispatcher(true, servers...)
			d.SetPriorityClasses(classes > 1)
			d.UpdatePeerLoad("others", load, true, d.clock.Now())
			for box := range 43 {
				demand := Demand{InTime: 3, Arrivals: 12}
				for class := range classes {
					if classes > 1 {
						demand.Classes[DemandClass(class, false)] = ClassDemand{InTime: 1, Arrivals: 4}
					}
				}
				d.UpdatePeerDemand(member.BoxID(fmt.Sprint(box)), demand, d.clock.Now())
			}
			for b.Loop() {
				req := d.request()
				req.NoWait = true
				if reservation, _, err := d.Submit(req, nil, d.clock.Now()); err == nil {
					reservation.Release(ResultDone, d.clock.Now())
				}
			}
		})
	}
}
