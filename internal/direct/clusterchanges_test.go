package direct

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// disturbance is a fault of one box that reads the store.
type disturbance struct {
	name  string
	begin func(reader *clusterBox)
}

var readerDisturbances = []disturbance{
	{"none", func(*clusterBox) {}},
	{"frozen", func(reader *clusterBox) { reader.processing.close() }},
	{"killed", func(reader *clusterBox) { reader.kill() }},
	{"slow", func(reader *clusterBox) { reader.setLag(300 * time.Millisecond) }},
}

// TestDeletionReachesAllBoxesWithinBound checks the time from the deletion of a server at the store to the moment at
// which the last undisturbed box has dropped the server, which bounds its last request.
func TestDeletionReachesAllBoxesWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, regions := range []int{1, 3} {
			for _, disturbance := range readerDisturbances {
				for _, phase := range []time.Duration{0, 400 * time.Millisecond, 1400 * time.Millisecond} {
					t.Run(fmt.Sprintf("bound=%s/regions=%d/%s/%s", bound, regions, disturbance.name, phase), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkDeletionTime(t, bound, regions, disturbance, phase) })
					})
				}
			}
		}
	}
}

// checkDeletionTime deletes a server a time after a reader was disturbed.
func checkDeletionTime(t *testing.T, bound time.Duration, regions int, d disturbance, phase time.Duration) {
	c := newTestCluster(t, 9, regions, bound)
	defer c.stop()
	c.store.put("a")
	c.store.put("b")
	time.Sleep(10 * time.Second)
	c.store.readers()
	time.Sleep(bound)
	reader := c.box(c.store.readers()[0])
	for _, box := range c.boxes {
		require.Equal(t, []fleet.ServerID{"a", "b"}, serverIDs(box.fleetState), "%s", box.id)
	}
	d.begin(reader)
	time.Sleep(phase)
	c.store.remove("a")
	deletedAt := time.Now()
	for _, box := range c.boxes {
		for box != reader && len(serverIDs(box.fleetState)) != 1 {
			if time.Since(deletedAt) > bound {
				t.Errorf("%s still uses the server %s after its deletion", box.id, time.Since(deletedAt))
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Logf("dropped after %s", time.Since(deletedAt))
}

// Guards against taking one lost call of the store for an outage in which entries expire.
func TestDeletionAfterLostCallsIsAppliedWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, boxes := range []int{1, 9} {
			for phase := time.Duration(0); phase < bound/2; phase += bound / 10 {
				t.Run(fmt.Sprintf("bound=%s/boxes=%d/%s", bound, boxes, phase), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newTestCluster(t, boxes, min(3, boxes), bound)
						defer c.stop()
						c.store.put("a")
						time.Sleep(10*time.Second + phase)
						c.store.loseCalls()
						c.store.remove("a")
						time.Sleep(bound)
						for _, box := range c.boxes {
							require.Empty(t, box.outdatedServers(), "%s", box.id)
						}
					})
				})
			}
		}
	}
}

// Guards against dropping servers whose entries expired during an outage of the store because a box starts at its end and
// reads a list without them.
func TestExpiredEntriesOutliveStartOfABox(t *testing.T) {
	for _, startsAfter := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(startsAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 9, 3, 2*time.Second)
				defer c.stop()
				ids := []fleet.ServerID{"a", "b", "c"}
				for _, id := range ids {
					c.store.put(id)
				}
				time.Sleep(10 * time.Second)
				c.store.readers()
				time.Sleep(c.bound)
				started := c.box(c.store.readers()[0])
				started.kill()
				c.store.reachable.close()
				time.Sleep(2 * time.Second)
				for _, id := range ids {
					c.store.remove(id)
				}
				c.store.configure()
				time.Sleep(2 * time.Second)
				c.store.reachable.open()
				recoveredAt := time.Now()
				time.Sleep(startsAfter)
				started.start()
				for time.Since(recoveredAt) < 1900*time.Millisecond {
					time.Sleep(10 * time.Millisecond)
					for _, box := range c.boxes {
						if box != started {
							require.Equal(t, ids, serverIDs(box.fleetState), "%s", box.id)
						}
					}
				}
				for _, id := range ids {
					c.store.put(id)
				}
				time.Sleep(time.Second)
				for _, box := range c.boxes {
					require.Equal(t, ids, serverIDs(box.fleetState), "%s", box.id)
				}
			})
		})
	}
}
