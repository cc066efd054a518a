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
	// configurationBytes is about the size of the configurations.
	configurationBytes = 300_000
	// maxTransferShare is how many times a box may receive the same facts, on the mean of all boxes.
	maxTransferShare = 1.3
)

// setBoxRate limits the link of each box to a number of bytes per second in each direction.
func (c *testCluster) setBoxRate(rate float64) {
	for _, box := range c.boxes {
		box.machine.sent.setRate(rate)
		box.machine.received.setRate(rate)
	}
}

// linkPartBytes bounds what is transmitted at a time, so that several large messages share a link.
const linkPartBytes = 16 << 10

// writeParts transmits bytes over the links of both boxes and of their regions, part by part.
func (c *gatedConn) writeParts(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), linkPartBytes)]
		c.box.processing.wait(c.closed)
		c.box.awaitLink(c.peer, c.closed)
		c.box.transmit(c.peer, len(part), c.use)
		var n int
		n, err = c.Conn.Write(part)
		written, p = written+n, p[n:]
	}
	return written, err
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

// configureLarge writes a configuration of configurationBytes.
func (c *testCluster) configureLarge(version uint64) {
	c.store.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: &fleet.Configuration{
		Version: version, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{Slots: 8}}}, Organisations: organisations(configurationBytes),
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
func newPullCluster(t *testing.T, boxes int, regionShare float64) *testCluster {
	t.Helper()
	c := newTestCluster(t, boxes, 5, 5*time.Second)
	c.setBoxRate(boxBandwidth)
	c.setLinkRate(regionShare * regionBandwidth)
	c.configureLarge(2)
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

// sentBytes returns the bytes that the link of the box has transmitted.
func (b *clusterBox) sentBytes() float64 {
	b.machine.sent.mu.Lock()
	defer b.machine.sent.mu.Unlock()
	return float64(b.machine.sent.bytes)
}

// remoteBytes returns the bytes that all links between regions have transmitted.
func (c *testCluster) remoteBytes() (bytes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, link := range c.links {
		if key[0] != key[1] {
			link.mu.Lock()
			bytes += float64(link.bytes)
			link.mu.Unlock()
		}
	}
	return bytes
}

// pullCosts are what a change of the configuration costs: the time until it is in force, and bytes on links, of all purposes.
type pullCosts struct {
	taken                  time.Duration
	total, busiest, remote float64
	pulls                  map[string]float64
}

// measurePulls returns the costs of a change until a configuration is in force at all boxes, and for a time after that.
func (c *testCluster) measurePulls(version uint64, limit time.Duration, change func()) (cost pullCosts) {
	c.t.Helper()
	sent, remote, pulls := make(map[*clusterBox]float64), c.remoteBytes(), c.pullResults()
	for _, box := range c.boxes {
		sent[box] = box.sentBytes()
	}
	change()
	taken, missing := c.awaitConfiguration(version, limit, anyBox)
	require.Zero(c.t, missing, "boxes without the configuration after %v", taken)
	time.Sleep(2 * time.Second)
	cost = pullCosts{taken: taken, remote: c.remoteBytes() - remote, pulls: c.pullResults()}
	for _, box := range c.boxes {
		bytes := box.sentBytes() - sent[box]
		cost.total, cost.busiest = cost.total+bytes, max(cost.busiest, bytes)
	}
	for result, count := range pulls {
		cost.pulls[result] -= count
	}
	return cost
}

// pullResults returns the number of pulls of all boxes, by result.
func (c *testCluster) pullResults() map[string]float64 {
	results := make(map[string]float64)
	for _, box := range c.boxes {
		for result, count := range counterValues(box.fleetState.metrics.pulls) {
			results[result] += count
		}
	}
	return results
}

// log logs the costs as multiples of a size.
func (p *pullCosts) log(c *testCluster, receivers int, bytes float64) {
	c.t.Helper()
	c.t.Logf("%.0f bytes in force after %v; of that, %.2f times for each receiver, the busiest box sends %.1f, %.1f cross regions; pulls %v",
		bytes, p.taken, p.total/float64(receivers)/bytes, p.busiest/bytes, p.remote/bytes, p.pulls)
}

// measureConfigurations writes configurations and returns the costs of each.
func measureConfigurations(t *testing.T, c *testCluster, changes int) (costs []pullCosts) {
	t.Helper()
	for i := range changes {
		version := uint64(3 + i)
		cost := c.measurePulls(version, 10*time.Second, func() { c.configureLarge(version) })
		cost.log(c, len(c.boxes), configurationBytes)
		costs = append(costs, cost)
	}
	return costs
}

// Guards against pulls that fill the links that they wait for: a configuration goes to each box about once, no box sends it
// to many others, and it is in force within the bound.
func TestConfigurationIsSentToEachBoxOnce(t *testing.T) {
	const maxSends = 12
	boxes := pullBoxes(100)
	synctest.Test(t, func(t *testing.T) {
		c := newPullCluster(t, boxes, 0.5)
		defer c.stop()
		for _, cost := range measureConfigurations(t, c, 3) {
			require.LessOrEqual(t, cost.total, maxTransferShare*float64(boxes)*configurationBytes, "bytes on links")
			require.LessOrEqual(t, cost.busiest, maxSends*1.1*configurationBytes, "bytes that the busiest box sent")
			require.LessOrEqual(t, cost.taken, c.bound)
			require.Zero(t, cost.pulls["failed"], "pulls that were given up")
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
	const changes, maxRemote = 3, 10
	remote := func(boxes int) (mean float64) {
		synctest.Test(t, func(t *testing.T) {
			c := newPullCluster(t, boxes, 0.2)
			defer c.stop()
			for _, cost := range measureConfigurations(t, c, changes) {
				mean += cost.remote / changes / configurationBytes
			}
		})
		return mean
	}
	small, large := remote(pullBoxes(30)), remote(pullBoxes(100))
	t.Logf("%.2f and %.2f times the configuration", small, large)
	// Each of the five regions may receive it once, and twice if what is sent from one to another is late.
	require.LessOrEqual(t, max(small, large), float64(maxRemote))
	require.LessOrEqual(t, large, max(5, 1.5*small))
}

// Guards against boxes that all start at once and transfer the whole state from the few boxes that have it again and again:
// the store is away, and one box of each region has not been restarted.
func TestStateAtAStartIsSentToEachBoxOnce(t *testing.T) {
	const regions, maxSends = 5, 24
	boxes := pullBoxes(100)
	synctest.Test(t, func(t *testing.T) {
		c := newPullCluster(t, boxes, 0.5)
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
		members := func() (bytes float64) {
			for _, box := range c.boxes {
				for _, remote := range []bool{false, true} {
					bytes += counterValue(box.fleetState.metrics.traffic.counters[trafficKind{purposeMembers, remote}].bytes)
				}
			}
			return bytes
		}
		records := 0.0
		cost := c.measurePulls(2, 20*time.Second, func() {
			for _, box := range c.boxes[regions:] {
				box.start()
			}
			records = -members()
		})
		records += members()
		cost.log(c, boxes-regions, state)
		for _, box := range c.boxes {
			require.Len(t, serverIDs(box.fleetState), boxes, "%s", box.id)
		}
		t.Logf("records of boxes: %.0f bytes", records)
		require.LessOrEqual(t, cost.total-records, maxTransferShare*float64(boxes-regions)*state, "bytes on links without records")
		require.LessOrEqual(t, cost.busiest, maxSends*state, "bytes that the busiest box sent")
		require.LessOrEqual(t, cost.taken, c.bound)
		require.Zero(t, cost.pulls["failed"], "pulls that were given up")
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
		c.boxes[i].machine.sent.setRate(20e3)
		c.boxes[i].machine.received.setRate(20e3)
	}},
	{"cut off", func(c *testCluster, i int) { c.split(func(j int) int { return map[bool]int{true: 1}[j == i] }) }},
}

// Guards against a transfer that waits for a source that fails in the middle of it.
func TestConfigurationIsInForceDespiteFailingSources(t *testing.T) {
	const boxes, seeds, bound = 25, 3, 2 * time.Second
	for _, fault := range sourceFaults {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/seed=%d", fault.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // repeatable on purpose
					c := newPullCluster(t, boxes, 0.5)
					defer c.stop()
					c.store.readers()
					time.Sleep(c.bound)
					readers := c.store.readers()
					c.configureLarge(3)
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
	const boxes, rate, limit = 10, 100e3, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newPullCluster(t, boxes, 0.5)
		defer c.stop()
		c.store.reachable.close()
		box := c.boxes[boxes-1]
		box.kill()
		time.Sleep(time.Second)
		box.machine.received.setRate(rate)
		box.start()
		taken, missing := c.awaitConfiguration(2, limit, anyBox)
		require.Zero(t, missing, "boxes without the configuration after %v", taken)
		t.Logf("in force after %v", taken)
	})
}
