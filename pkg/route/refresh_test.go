package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Guards against a refresh that leaves out something that SetServers updates.
func TestRefreshServersEqualsSetServersWithTheSameServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, needsWeights := time.Unix(1000, 0), rapid.Bool().Draw(t, "weights")
		newDispatcher := func() *Dispatcher {
			return NewDispatcher(DispatcherOptions{
				TypicalHoldTime: time.Second, TTFB: 100 * time.Millisecond, NeedsWeights: needsWeights, Box: "entry-1", Random: func() float64 { return 0.3 },
			})
		}
		dispatchers := [2]*Dispatcher{newDispatcher(), newDispatcher()}
		var held [2][]*Reservation
		var servers []fleet.Server
		layers := 0
		isLocal := func(domain member.FailureDomain) bool { return domain != "far" }
		drawServers := func() {
			servers = nil
			for i := range rapid.IntRange(0, 4).Draw(t, "servers") {
				server := modelServer(fmt.Sprintf("i-%d", i), rapid.IntRange(1, 3).Draw(t, "slots"), fleet.WeightsVersion(rapid.IntRange(0, 2).Draw(t, "version")))
				server.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				server.Incarnation = member.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation"))
				if rapid.Bool().Draw(t, "limited") {
					server.Limit = fleet.RateLimit{Set: true, PerSecond: float64(rapid.IntRange(0, 5).Draw(t, "rate"))}
					server.Cold = rapid.Bool().Draw(t, "cold")
				}
				servers = append(servers, server)
			}
		}
		each := func(run func(i int, d *Dispatcher)) {
			for i, d := range dispatchers {
				run(i, d)
			}
		}
		drawServers()
		each(func(_ int, d *Dispatcher) { d.SetServers(servers, layers, isLocal, now) })
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond)
			id := fleet.ServerID(fmt.Sprintf("i-%d", rapid.IntRange(0, 4).Draw(t, "server")))
			switch rapid.IntRange(0, 7).Draw(t, "operation") {
			case 0:
				drawServers()
				each(func(_ int, d *Dispatcher) { d.SetServers(servers, layers, isLocal, now) })
			case 1, 2:
				dispatchers[0].SetServers(servers, layers, isLocal, now)
				dispatchers[1].RefreshServers(now)
			case 3:
				state := ServerState{
					Incarnation: member.Incarnation(rapid.IntRange(0, 4).Draw(t, "incarnation")), Version: fleet.WeightsVersion(rapid.IntRange(0, 2).Draw(t, "version")),
					Swapping: rapid.Bool().Draw(t, "swapping"), Silent: rapid.Bool().Draw(t, "silent"), Running: rapid.IntRange(0, 3).Draw(t, "running"),
				}
				each(func(_ int, d *Dispatcher) { d.UpdateServer(id, state, now) })
			case 4:
				load := Load{id: {Requests: rapid.IntRange(0, 3).Draw(t, "requests"), Sent: uint32(rapid.IntRange(0, 9).Draw(t, "sent"))}}
				each(func(_ int, d *Dispatcher) { d.UpdatePeerLoad("entry-2", load, true, now) })
			case 5:
				live := rapid.IntRange(1, 3).Draw(t, "live")
				each(func(_ int, d *Dispatcher) { d.SetBoxCount(live, 3) })
			case 6:
				each(func(i int, d *Dispatcher) {
					reservation, _, _ := d.Submit(&SlotRequest{
						Arrived: now, Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(6 * time.Second), NoWait: true,
					}, func(*Reservation) {}, now)
					if reservation != nil {
						held[i] = append(held[i], reservation)
					}
				})
			case 7:
				if len(held[0]) > 0 && len(held[1]) > 0 {
					each(func(i int, _ *Dispatcher) {
						held[i][0].Release(ResultDone, now)
						held[i] = held[i][1:]
					})
				}
			}
			require.Equal(t, describeDispatcher(dispatchers[0], held[0], now), describeDispatcher(dispatchers[1], held[1], now))
		}
	})
}

// describeDispatcher returns the state that a dispatcher derives from its servers.
func describeDispatcher(d *Dispatcher, held []*Reservation, now time.Time) string {
	text := fmt.Sprintf("unclaimed %d, leaving %v, held", d.Unclaimed(now), d.leaving)
	for _, reservation := range held {
		text += " " + string(reservation.Server.ID)
	}
	for _, b := range d.backendList {
		version, swapping := b.version(now)
		text += fmt.Sprintf("\n%s %d listed %d version %d %v ineligible since %v eligible %v load %+v server %+v", b.server.ID, b.incarnation, b.listedVersion,
			version, swapping, b.ineligibleSince, d.isEligible(b, now), d.load(b, now), b.server)
		if bucket := d.buckets[b.server.ID]; bucket != nil {
			bucket.refill(now)
			text += fmt.Sprintf(" rate %v tokens %v sent %v", bucket.rate, bucket.tokens, bucket.sent)
		}
	}
	return text + fmt.Sprintf("\nbuckets %d", len(d.buckets))
}
