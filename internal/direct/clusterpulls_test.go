package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
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
		c.box.transmit(c.peer, len(part), c.use, c.closed)
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

// Guards against a configuration that each box of a region without a reader of the store pulls from another region: the
// readers of all regions but one freeze.
func TestRegionsWithoutReadersPullOnce(t *testing.T) {
	const maxRemote, bound = 10, 2 * time.Second
	for _, boxes := range []int{30, 100} {
		t.Run(fmt.Sprintf("boxes=%d", boxes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPullCluster(t, pullBoxes(boxes), 0.2)
				defer c.stop()
				c.store.readers()
				time.Sleep(c.bound)
				for _, reader := range c.store.readers() {
					if box := c.box(reader); box.region != c.boxes[0].region {
						box.processing.close()
					}
				}
				remote := c.remoteBytes()
				c.configureLarge(3)
				taken, missing := c.awaitConfiguration(3, bound, func(box *clusterBox) bool { return isClosed(box.processing.opened) })
				require.Zero(t, missing, "boxes without the configuration after %v", taken)
				remote = (c.remoteBytes() - remote) / configurationBytes
				t.Logf("in force after %v, %.1f times across regions", taken, remote)
				require.LessOrEqual(t, remote, float64(maxRemote))
			})
		})
	}
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

// frozenReceivers is the number of boxes that freeze beside a source.
const frozenReceivers = 7

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
	{"frozen with its receivers", func(c *testCluster, i int) {
		c.boxes[i].processing.close()
		for j := range frozenReceivers {
			c.boxes[(i+1+2*j)%len(c.boxes)].processing.close()
		}
	}},
	{"cut off", func(c *testCluster, i int) { c.split(func(j int) int { return map[bool]int{true: 1}[j == i] }) }},
}

// Guards against a transfer that waits for a source that fails in the middle of it.
func TestConfigurationIsInForceDespiteFailingSources(t *testing.T) {
	const boxes, bound = 25, 2 * time.Second
	for _, fault := range sourceFaults {
		for i := range uint64(*clusterSeeds) {
			seed := *clusterFrom + i
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
					_, missing := c.awaitConfiguration(3, bound-time.Since(start), func(box *clusterBox) bool {
						return box != c.boxes[faulty] && isClosed(box.processing.opened)
					})
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

// Guards against a box whose pulls are always refused: as long as one box alone has the facts, all others receive them in
// little more than the time that the transfers take.
func TestRefusedBoxesAllReceiveFacts(t *testing.T) {
	const receivers, transferTime = 40, 60 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var (
			slots   sendSlots
			waiting sync.WaitGroup
		)
		status := &wire.EntryStatus{Box: "reader", Peers: "reader", Revision: 2, Ready: true}
		start := time.Now()
		for range receivers {
			fleetState := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
			fleetState.Apply([]fleet.Fact{configurationFact(1, 1)}, "store")
			boxes := newTestEntryBoxes(fleetState, status)
			boxes.pull = func(ctx context.Context, from member.Address) error {
				slot := slots.acquire(maxSentPulls, fleetState.clock)
				if slot == nil {
					return errBusy
				}
				defer slot.release()
				sleep(ctx, fleetState.clock, transferTime)
				fleetState.Apply([]fleet.Fact{configurationFact(2, 2)}, string(from))
				return ctx.Err()
			}
			boxes.tasks.Go(func(ctx context.Context) {
				for ctx.Err() == nil {
					boxes.updateBox("reader", status, time.Now())
					sleep(ctx, fleetState.clock, statusHeartbeat)
				}
			})
			boxes.tasks.Go(boxes.repair)
			waiting.Go(func() {
				awaitVersion(fleetState, 2)
				require.NoError(t, boxes.Stop(context.Background()))
			})
		}
		waiting.Wait()
		transfers := receivers * transferTime / maxSentPulls
		t.Logf("all have the facts after %v, the transfers take %v", time.Since(start), transfers)
		require.LessOrEqual(t, time.Since(start), 3*transfers)
	})
}

// newAgent starts an agent that knows one entry box, over a link like that of a box.
func (c *testCluster) newAgent(id member.BoxID, seed *clusterBox) (fleetState *FleetState, stop func()) {
	clock, log, metrics := clockwork.NewRealClock(), zerolog.Nop(), NewMetrics()
	agent := &clusterBox{cluster: c, id: id, region: seed.region, processing: newGate(), machine: &boxMachine{}}
	agent.machine.sent.setRate(boxBandwidth)
	agent.machine.received.setRate(boxBandwidth)
	fleetState = NewFleetState(clock, log, metrics)
	peers := daemon.NewPeerPoolWithDial(agent.dial)
	follower := &entryFollower{
		fleetState: fleetState, suspects: newSuspectRequests(clock, log, metrics), peers: peers, self: string(id), region: string(agent.region),
		seeds: []string{string(seed.address())}, lastLogged: make(map[string]time.Time),
	}
	fleetState.tasks.Go(follower.run)
	return fleetState, func() {
		_ = fleetState.Stop(context.Background())
		_ = peers.Stop(context.Background())
	}
}

// Guards against agents that all start at once and fill the link of the box that they start with, so that its heartbeats
// are late and pulls from it wait.
func TestAgentsAtAStartDoNotFillTheLinkOfABox(t *testing.T) {
	const agents, servers, maxDelay, limit = 100, 400, 100 * time.Millisecond, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 1, 5*time.Second)
		defer c.stop()
		c.setBoxRate(boxBandwidth)
		c.configureLarge(2)
		for i := range servers {
			c.store.write(modelEntry(i, 0))
		}
		time.Sleep(10 * time.Second)
		var waiting sync.WaitGroup
		start := time.Now()
		for i := range agents {
			fleetState, stop := c.newAgent(member.BoxID(fmt.Sprintf("agent-%d", i)), c.boxes[0])
			waiting.Go(func() {
				for len(serverIDs(fleetState)) < servers && time.Since(start) < limit {
					time.Sleep(10 * time.Millisecond)
				}
				require.Len(t, serverIDs(fleetState), servers)
				stop()
			})
		}
		waiting.Wait()
		uplink := &c.boxes[0].machine.sent
		t.Logf("all have the facts after %v; %d bytes, a message waits up to %v", time.Since(start), uplink.bytes, uplink.maxDelay)
		require.LessOrEqual(t, uplink.maxDelay, maxDelay)
	})
}

// earlierVersion is an entry box of a version that ends each pull after one batch, which is not bounded in bytes.
type earlierVersion struct {
	wire.DRPCFleetUnimplementedServer
	status *StatusServer
}

// Facts sends one batch.
func (e *earlierVersion) Facts(request *wire.FactsRequest, stream wire.DRPCFleet_FactsStream) error {
	batch := e.status.factsBatch(state.Cursor{Instance: request.Instance, Sequence: request.Cursor}, state.Receiver{Complete: request.Complete}, false)
	batch.More = false
	return stream.Send(batch)
}

// Guards against pulls that fail or end early beside boxes of an earlier version.
func TestPullReadsAllBatchesOfAnEarlierVersion(t *testing.T) {
	source, _ := newTestFleetState()
	var facts []fleet.Fact
	for i := range 2*maxBatchItems + 1 {
		facts = append(facts, listed(fleet.ServerID(rune('a'+i)), fleet.Revision(i+1)))
	}
	applySnapshot(source, 2*maxBatchItems+1, facts...)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, &earlierVersion{status: newTestStatusServer(source)}))
	listener, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	defer func() { require.NoError(t, server.Stop(context.Background())) }()
	follower := NewFleetState(clockwork.NewRealClock(), zerolog.Nop(), NewMetrics())
	boxes := newTestEntryBoxes(follower)
	boxes.peers = daemon.NewPeerPool()
	require.NoError(t, boxes.pullFacts(t.Context(), member.Address(listener.Addr().String())))
	require.Equal(t, source.Watermarks(), follower.Watermarks())
}

// Guards against a refusal that changes what a box of an earlier version, which does not know of refusals, holds or reads
// next.
func TestRefusalIsHarmlessToAnEarlierVersion(t *testing.T) {
	follower, _ := newTestFleetState()
	applySnapshot(follower, 3, listed("a", 2), listed("b", 3))
	boxes, before := newTestEntryBoxes(follower), follower.Watermarks()
	cursor := state.Cursor{Instance: 7, Sequence: 5}
	boxes.cursors["reader:1"] = cursor
	require.NoError(t, boxes.applyBatch("reader:1", busyBatch(cursor)))
	require.Equal(t, before, follower.Watermarks())
	require.Equal(t, cursor, boxes.cursors["reader:1"])
	require.Len(t, serverIDs(follower), 2)
}
