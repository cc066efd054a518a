package direct

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

var (
	clusterSeeds = flag.Int("cluster.seeds", 4, "number of seeds of random faults in a cluster")
	clusterFrom  = flag.Uint64("cluster.from", 1, "the first seed")
	clusterTime  = flag.Duration("cluster.for", 40*time.Second, "virtual time of fault injection for each seed")
	clusterBoxes = flag.Int("cluster.boxes", 0, "number of entry boxes; 0 means that it depends on the seed")
)

const (
	// clusterRecovery is how long after all faults all boxes must agree.
	clusterRecovery = 8 * time.Second
	// serverChangeInterval is the mean time between two changes of the servers, clusterFaultInterval that between two
	// faults, and maxClusterFault the longest fault.
	serverChangeInterval = 200 * time.Millisecond
	clusterFaultInterval = time.Second
	maxClusterFault      = 4 * time.Second
	// clusterTick is the time between two steps of a run.
	clusterTick = 10 * time.Millisecond
	// clusterCheckInterval is the time between two checks of all boxes.
	clusterCheckInterval = 50 * time.Millisecond
)

// TestBoxesListNoDeletedServersUnderFaults checks, at all times and at all boxes, that a box lists no server that was
// deleted at a revision up to which it has every change, and that an undisturbed box uses none whose deletion the store
// acknowledged longer than the bound ago.
func TestBoxesListNoDeletedServersUnderFaults(t *testing.T) {
	for i := range uint64(*clusterSeeds) {
		seed := *clusterFrom + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runClusterFaults(t, seed) })
		})
	}
}

// TestHundredBoxesListNoDeletedServers is the same check in a larger cluster, for a shorter time. The race detector
// makes it ten times slower, so it runs with fewer boxes then.
func TestHundredBoxesListNoDeletedServers(t *testing.T) {
	boxes := 100
	if raceEnabled {
		boxes = 20
	}
	synctest.Test(t, func(t *testing.T) { newClusterFaults(t, 1, boxes).run(8 * time.Second) })
}

func runClusterFaults(t *testing.T, seed uint64) {
	boxes := *clusterBoxes
	if boxes == 0 {
		boxes = 3 + int(seed*7%22)
	}
	newClusterFaults(t, seed, boxes).run(*clusterTime)
}

// faultTime is the time of a fault.
type faultTime struct{ begin, end time.Time }

// clusterFaults injects random faults into a cluster.
type clusterFaults struct {
	*testCluster
	random *rand.Rand
	// storeFaults are the times of all faults of the store.
	storeFaults []faultTime
	// ends are the ends of the current faults.
	ends schedule
	// hasStoreFaults is set if the store has faults too. The bound holds only while it has none.
	hasStoreFaults bool
	nextServer     int
}

func newClusterFaults(t *testing.T, seed uint64, boxes int) *clusterFaults {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // repeatable on purpose
	bound := []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second}[random.IntN(3)]
	return &clusterFaults{testCluster: newTestCluster(t, boxes, 1+random.IntN(3), bound), random: random, hasStoreFaults: seed%2 == 0}
}

func (c *clusterFaults) run(duration time.Duration) {
	defer c.stop()
	for range 8 {
		c.addServer()
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(duration)
	var nextChange, nextFault, nextCheck time.Time
	for now := time.Now(); now.Before(end); now = time.Now() {
		if !now.Before(nextChange) {
			c.changeServers()
			nextChange = now.Add(c.randomTime(2 * serverChangeInterval))
		}
		if !now.Before(nextFault) {
			c.inject()
			nextFault = now.Add(c.randomTime(2 * clusterFaultInterval))
		}
		if !now.Before(nextCheck) {
			c.check()
			nextCheck = now.Add(clusterCheckInterval)
		}
		time.Sleep(clusterTick)
		c.ends.runDue()
	}
	time.Sleep(maxClusterFault)
	c.ends.runDue()
	time.Sleep(clusterRecovery)
	c.check()
	var want []fleet.ServerID
	for _, fact := range c.store.at(c.store.revision()) {
		if fact.Server != nil {
			want = append(want, fact.Server.ID)
		}
	}
	slices.Sort(want)
	for _, box := range c.boxes {
		if got := serverIDs(box.fleetState); !slices.Equal(got, want) {
			c.t.Errorf("%s lists %v after all faults, the store %v", box.id, got, want)
		}
	}
}

func (c *clusterFaults) addServer() {
	c.nextServer++
	c.store.put(fleet.ServerID(fmt.Sprintf("s-%03d", c.nextServer)))
}

// anyServer returns a listed server.
func (c *clusterFaults) anyServer() (id fleet.ServerID, ok bool) {
	var ids []fleet.ServerID
	for _, fact := range c.store.at(c.store.revision()) {
		if fact.Server != nil {
			ids = append(ids, fact.Server.ID)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return ids[c.random.IntN(len(ids))], true
}

// randomTime returns a duration below a limit.
func (c *clusterFaults) randomTime(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// changeServers adds, removes or rewrites an entry of a server.
func (c *clusterFaults) changeServers() {
	id, ok := c.anyServer()
	switch action := c.random.IntN(7); {
	case action < 3 || !ok:
		c.addServer()
	case action < 6:
		c.store.remove(id)
	default:
		c.store.put(id)
	}
}

// inject injects one fault.
func (c *clusterFaults) inject() {
	box, span := c.boxes[c.random.IntN(len(c.boxes))], c.randomTime(maxClusterFault)
	switch c.random.IntN(8) {
	case 0, 1:
		c.disturb(box, span, box.processing.close, box.processing.open)
	case 2:
		c.disturb(box, span, func() { box.setLag(200 * time.Millisecond) }, func() { box.setLag(0) })
	case 3, 4:
		c.disturb(box, span/3, box.kill, box.start)
	case 5:
		share := []float64{0.6, 0.9, 1}[c.random.IntN(3)]
		for _, other := range c.boxes {
			if c.random.Float64() < share {
				c.disturb(other, span/3, other.kill, other.start)
			}
		}
	case 6:
		if c.hasStoreFaults {
			c.disturbStore(0)
			c.store.compact()
		}
	case 7:
		if !c.hasStoreFaults {
			return
		}
		c.disturbStore(span)
		if c.random.IntN(2) == 0 {
			c.store.loseCalls()
			return
		}
		c.store.reachable.close()
		c.later(span, c.store.reachable.open)
	}
}

// disturb injects a fault of a box that is undisturbed, and ends it after a time.
func (c *clusterFaults) disturb(box *clusterBox, span time.Duration, begin, end func()) {
	if box.hasFault || time.Now().Before(box.disturbedUntil) {
		return
	}
	// Other boxes may take some time to stop before the end of this fault is handled.
	box.hasFault = true
	box.disturbedUntil = time.Now().Add(span + clusterTick)
	begin()
	c.later(span, func() {
		box.hasFault = false
		end()
	})
}

// later schedules the end of a fault.
func (c *clusterFaults) later(wait time.Duration, end func()) {
	c.ends.after(wait, end)
}

// disturbStore records a fault of the store that begins now.
func (c *clusterFaults) disturbStore(span time.Duration) {
	c.storeFaults = append(c.storeFaults, faultTime{time.Now(), time.Now().Add(span)})
}

// isStoreStableAt reports whether the store was undisturbed for some time before a moment.
func (c *clusterFaults) isStoreStableAt(at time.Time) bool {
	return !slices.ContainsFunc(c.storeFaults, func(f faultTime) bool { return !f.begin.After(at) && f.end.Add(c.contact()).After(at) })
}

// contact is how long a box and the store must be undisturbed until the bound holds.
func (c *clusterFaults) contact() time.Duration { return c.bound + time.Second }

func (c *clusterFaults) check() {
	now := time.Now()
	for _, box := range c.boxes {
		if now.Before(box.disturbedUntil) {
			continue
		}
		box.requireConsistent()
		if now.Sub(box.disturbedUntil) < c.contact() || !c.isStoreStableAt(now) {
			continue
		}
		for id, since := range box.outdatedServers() {
			if since > c.bound && c.isStoreStableAt(now.Add(-since)) {
				c.t.Errorf("%s, %s after its last fault, still uses %s %s after its deletion; the bound is %s",
					box.id, now.Sub(box.disturbedUntil), id, since, c.bound)
			}
		}
	}
}
