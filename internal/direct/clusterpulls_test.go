package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

const (
	// boxBandwidth is the bandwidth of the smallest boxes of the users' deployments in each direction, in bytes per second.
	boxBandwidth = 40e6 / 8
	// maxTransferShare is how many times a box may receive the same facts, on the mean of all boxes.
	maxTransferShare = 1.3
)

// setBoxRate limits the link of each box to a number of bytes per second in each direction.
func (c *testCluster) setBoxRate(rate float64) {
	for _, box := range c.boxes {
		box.uplink.setRate(rate)
		box.downlink.setRate(rate)
	}
}

func (l *regionLink) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// factBytes returns the bytes of facts that the box has sent.
func (b *clusterBox) factBytes() (bytes float64) {
	counters := &b.fleetState.metrics.traffic
	for _, remote := range []bool{false, true} {
		bytes += counterValue(counters.counters[trafficKind{purposeFacts, remote}].bytes)
	}
	return bytes
}

// organisations returns organisations whose names have about a number of bytes.
func organisations(bytes int) (orgs []fleet.Organisation) {
	const nameBytes = 400
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // repeatable on purpose
	for range bytes / nameBytes {
		name := make([]byte, nameBytes)
		for i := range name {
			name[i] = 'a' + byte(random.IntN(26))
		}
		orgs = append(orgs, fleet.Organisation{Name: fleet.OrganisationName(name)})
	}
	return orgs
}

// configureLarge writes a configuration of about a number of bytes.
func (c *testCluster) configureLarge(version uint64, bytes int) {
	c.store.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: &fleet.Configuration{
		Version: version, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{Slots: 8}}}, Organisations: organisations(bytes),
	}})
}

// awaitConfiguration waits until a configuration is in force at all boxes that are selected, and returns how long that took,
// at most a limit.
func (c *testCluster) awaitConfiguration(version uint64, limit time.Duration, isSelected func(*clusterBox) bool) (taken time.Duration, missing int) {
	start := time.Now()
	for {
		missing = 0
		for _, box := range c.boxes {
			configuration := box.fleetState.View().Configuration
			if isSelected(box) && (configuration == nil || configuration.Version < version) {
				missing++
			}
		}
		if taken = time.Since(start); missing == 0 || taken > limit {
			return taken, missing
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func anyBox(*clusterBox) bool { return true }

// newPullCluster starts a cluster with links as in the users' deployments, of which a share is left, and waits until all
// boxes know each other and have a large configuration.
func newPullCluster(t *testing.T, boxes, configurationBytes int, regionShare float64) *testCluster {
	t.Helper()
	c := newTestCluster(t, boxes, 5, 5*time.Second)
	c.setBoxRate(boxBandwidth)
	c.setLinkRate(regionShare * regionBandwidth)
	c.configureLarge(2, configurationBytes)
	for i := range boxes {
		c.store.write(modelEntry(i, 0))
	}
	time.Sleep(20 * time.Second)
	for _, box := range c.boxes {
		require.Len(t, box.entries.membership.All(), boxes, "%s", box.id)
		require.Len(t, serverIDs(box.fleetState), boxes, "%s", box.id)
	}
	return c
}

// pullCosts are what a change of the configuration costs.
type pullCosts struct {
	taken                  time.Duration
	total, busiest, remote float64
}

// measureConfigurations writes configurations of a size and returns the costs of each.
func measureConfigurations(t *testing.T, c *testCluster, bytes, changes int) (costs []pullCosts) {
	t.Helper()
	for i := range changes {
		before := make(map[*clusterBox]float64)
		for _, box := range c.boxes {
			before[box] = box.factBytes()
		}
		traffic := c.traffic()
		version := uint64(3 + i)
		c.configureLarge(version, bytes)
		taken, missing := c.awaitConfiguration(version, 10*time.Second, anyBox)
		require.Zero(t, missing, "boxes without the configuration after %v", taken)
		time.Sleep(5 * time.Second)
		cost := pullCosts{taken: taken}
		for _, box := range c.boxes {
			sent := box.factBytes() - before[box]
			cost.total, cost.busiest = cost.total+sent, max(cost.busiest, sent)
		}
		_, cost.remote = c.traffic().minus(traffic).total(string(purposeFacts) + " " + scopeRemote)
		costs = append(costs, cost)
		t.Logf("configuration of %d bytes in force after %v; of its size, a box receives %.2f, the busiest sends %.1f, %.1f cross regions",
			bytes, taken, cost.total/float64(len(c.boxes))/float64(bytes), cost.busiest/float64(bytes), cost.remote/float64(bytes))
	}
	return costs
}

// Guards against pulls that fill the links that they wait for: a configuration goes to each box about once, no box sends it
// to many others, and it is in force within the bound.
func TestConfigurationIsSentToEachBoxOnce(t *testing.T) {
	const bytes, maxSends = 300_000, 12
	boxes := pullBoxes(100)
	synctest.Test(t, func(t *testing.T) {
		c := newPullCluster(t, boxes, bytes, 0.5)
		defer c.stop()
		for _, cost := range measureConfigurations(t, c, bytes, 3) {
			require.LessOrEqual(t, cost.total, maxTransferShare*float64(boxes)*bytes, "bytes of facts")
			require.LessOrEqual(t, cost.busiest, maxSends*1.1*bytes, "bytes of facts that the busiest box sent")
			require.LessOrEqual(t, cost.taken, c.bound)
		}
	})
}

// pullBoxes returns the number of boxes of a large cluster. The race detector makes it ten times slower, so it runs with
// fewer boxes then.
func pullBoxes(boxes int) int {
	if raceEnabled {
		return boxes / 4
	}
	return boxes
}

// Guards against a configuration that crosses a link between two regions once for each box there.
func TestPullsBetweenRegionsDoNotGrowWithTheirBoxes(t *testing.T) {
	const bytes, changes = 300_000, 3
	remote := func(boxes int) (sum float64) {
		synctest.Test(t, func(t *testing.T) {
			c := newPullCluster(t, boxes, bytes, 0.2)
			defer c.stop()
			for _, cost := range measureConfigurations(t, c, bytes, changes) {
				sum += cost.remote
			}
		})
		return sum / changes / bytes
	}
	small, large := remote(pullBoxes(30)), remote(pullBoxes(100))
	t.Logf("%.2f and %.2f times the configuration", small, large)
	// Of the five regions each may receive it once more than it reads it.
	require.LessOrEqual(t, large, max(5, 1.5*small))
}

// Guards against boxes that all start at once and transfer the whole state from the few boxes that have it again and again:
// the store is away, and one box of each region has not been restarted.
func TestStateAtAStartIsSentToEachBoxOnce(t *testing.T) {
	const bytes, regions, maxSends = 300_000, 5, 24
	boxes := pullBoxes(100)
	synctest.Test(t, func(t *testing.T) {
		c := newPullCluster(t, boxes, bytes, 0.5)
		defer c.stop()
		c.store.reachable.close()
		for _, box := range c.boxes[regions:] {
			box.kill()
		}
		time.Sleep(time.Second)
		state := 0.0
		for _, item := range c.boxes[0].fleetState.mirror.Prefix("") {
			state += float64(len(item.Key) + len(item.Value))
		}
		before := c.traffic()
		sent := make(map[*clusterBox]float64)
		for _, box := range c.boxes[:regions] {
			sent[box] = box.factBytes()
		}
		for _, box := range c.boxes[regions:] {
			box.start()
		}
		taken, missing := c.awaitConfiguration(2, 20*time.Second, anyBox)
		require.Zero(t, missing, "boxes without the configuration after %v", taken)
		time.Sleep(5 * time.Second)
		total, busiest := 0.0, 0.0
		for _, box := range c.boxes {
			require.Len(t, serverIDs(box.fleetState), boxes, "%s", box.id)
			box := box.factBytes() - sent[box]
			total, busiest = total+box, max(busiest, box)
		}
		_, remote := c.traffic().minus(before).total(string(purposeFacts) + " " + scopeRemote)
		t.Logf("state of %.0f bytes everywhere after %v; of its size, a box receives %.2f, the busiest sends %.1f, %.1f cross regions",
			state, taken, total/float64(boxes-regions)/state, busiest/state, remote/state)
		require.LessOrEqual(t, total, maxTransferShare*float64(boxes-regions)*state, "bytes of facts")
		require.LessOrEqual(t, busiest, maxSends*state, "bytes of facts that the busiest box sent")
		require.LessOrEqual(t, taken, c.bound)
	})
}

// sourceFaults are faults of boxes that others pull from.
var sourceFaults = []struct {
	name  string
	begin func(c *testCluster, i int)
}{
	{"frozen", func(c *testCluster, i int) { c.boxes[i].processing.close() }},
	{"killed", func(c *testCluster, i int) { c.boxes[i].kill() }},
	{"slow", func(c *testCluster, i int) { c.boxes[i].setLag(300 * time.Millisecond) }},
	{"narrow", func(c *testCluster, i int) {
		c.boxes[i].uplink.setRate(20e3)
		c.boxes[i].downlink.setRate(20e3)
	}},
	{"cut off", func(c *testCluster, i int) { c.split(func(j int) int { return map[bool]int{true: 1}[j == i] }) }},
}

// Guards against a transfer that waits for a source that fails in the middle of it.
func TestConfigurationIsInForceDespiteFailingSources(t *testing.T) {
	const bytes, boxes, seeds, bound = 300_000, 25, 3, 2 * time.Second
	for _, fault := range sourceFaults {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/seed=%d", fault.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // repeatable on purpose
					c := newPullCluster(t, boxes, bytes, 0.5)
					defer c.stop()
					c.store.readers()
					time.Sleep(c.bound)
					readers := c.store.readers()
					c.configureLarge(3, bytes)
					start := time.Now()
					// The configuration takes 60 ms on the link of a box.
					time.Sleep(time.Duration(20+random.IntN(200)) * time.Millisecond)
					faulty := random.IntN(boxes)
					if random.IntN(2) == 0 {
						for i, box := range c.boxes {
							if box.id == readers[random.IntN(len(readers))] {
								faulty = i
							}
						}
					}
					fault.begin(c, faulty)
					_, missing := c.awaitConfiguration(3, bound, func(box *clusterBox) bool { return box != c.boxes[faulty] })
					require.Zero(t, missing, "boxes without the configuration after %v", time.Since(start))
					t.Logf("in force after %v", time.Since(start))
				})
			})
		}
	}
}

// Guards against a pull that is given up although it makes progress, and starts anew: a box whose link is narrow would never
// have a large configuration. The transfer takes three seconds on that link, and nothing can be read from the store.
func TestPullOverNarrowLinkIsFinished(t *testing.T) {
	const bytes, boxes, rate, limit = 300_000, 10, 100e3, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newPullCluster(t, boxes, bytes, 0.5)
		defer c.stop()
		c.store.reachable.close()
		box := c.boxes[boxes-1]
		box.kill()
		time.Sleep(time.Second)
		box.downlink.setRate(rate)
		box.start()
		taken, missing := c.awaitConfiguration(2, limit, anyBox)
		require.Zero(t, missing, "boxes without the configuration after %v", taken)
		t.Logf("in force after %v", taken)
	})
}
