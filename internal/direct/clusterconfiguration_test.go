package direct

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// clusterShare is the part of the links that TestConfigurationIsInForceEverywhereInTime leaves for control traffic.
var clusterShare = flag.Float64("cluster.share", 1, "part of all links that callers leave for control traffic")

// The size of a deployment's state.
const (
	organisationCount = 333
	keysEach          = 2
	keyLetters        = 20
	routeCount        = 490
	serviceCount      = 24
	serverCount       = 464
)

// configurationMaker makes the configurations of a fleet, each with one key changed since the one before.
type configurationMaker struct {
	random  *rand.Rand
	current fleet.Configuration
	changes int
}

func newConfigurationMaker() *configurationMaker {
	m := &configurationMaker{random: rand.New(rand.NewPCG(1, 2))}
	configuration := &m.current
	configuration.Limits = fleet.Limits{HeaderBytes: 32 << 10, BodyBytes: 10 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	for i := range serviceCount {
		service := fleet.Service{Name: member.Service(fmt.Sprintf("service-%d", i)), MaxConnections: 64}
		if i == 0 {
			service.Name = "llm"
		}
		if i%4 == 0 {
			service.Engine = &fleet.Engine{
				Slots: 8, Models: []fleet.ModelName{"model"}, Warmup: 20 * time.Second, Layers: 16, Chunks: 64, ChunkSize: 1 << 20,
				StepTime: 20 * time.Millisecond, StepTimePerRequest: time.Millisecond, StepsBetweenPrefills: 4, PrefillTokensPerSecond: 4000,
				TypicalPromptTokens: 600, TypicalResponseTokens: 150,
			}
		}
		configuration.Services = append(configuration.Services, service)
	}
	for i := range routeCount {
		service := configuration.Services[i%serviceCount]
		route := fleet.Route{
			Name: fmt.Sprintf("route-%d-%s", i, service.Name), Host: fmt.Sprintf("%s-%d.example", service.Name, i%70),
			PathPrefix: fmt.Sprintf("/v%d/%s/", i%3+1, m.letters(8)),
			Kind:       fleet.KindRepeatable, Timeout: 5 * time.Second, Objective: 800 * time.Millisecond, Priority: i % 3, MaxAttempts: 3,
			Backends: []fleet.Backend{{Service: service.Name, Weight: 1}},
		}
		if service.Engine != nil {
			route.Kind, route.Resumable, route.MaxEventGap, route.CallerTimeout = fleet.KindStream, true, 2*time.Second, 10*time.Second
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	for i := range organisationCount {
		organisation := fleet.Organisation{Name: fleet.OrganisationName(fmt.Sprintf("organisation-%d", i))}
		for range keysEach {
			organisation.Keys = append(organisation.Keys, fleet.APIKey(m.letters(keyLetters)))
		}
		configuration.Organisations = append(configuration.Organisations, organisation)
	}
	return m
}

// letters returns random lower-case letters.
func (m *configurationMaker) letters(count int) string {
	var text strings.Builder
	for range count {
		text.WriteByte(byte('a' + m.random.IntN(26)))
	}
	return text.String()
}

// next returns the next configuration, without a version.
func (m *configurationMaker) next() *fleet.Configuration {
	next := m.current
	next.Organisations = slices.Clone(next.Organisations)
	changed := &next.Organisations[m.random.IntN(organisationCount)]
	changed.Keys = slices.Clone(changed.Keys)
	changed.Keys[m.changes%keysEach] = fleet.APIKey(m.letters(keyLetters))
	m.changes++
	m.current = next
	return &next
}

// encodedConfiguration returns a configuration as it is stored and sent.
func encodedConfiguration(tb testing.TB, configuration *fleet.Configuration) []byte {
	fact := fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: configuration}
	item, err := fact.Item()
	require.NoError(tb, err)
	return item.Value
}

// putConfiguration writes a configuration and returns its version.
func (s *clusterStore) putConfiguration(configuration *fleet.Configuration) uint64 {
	s.mu.Lock()
	s.configuration++
	configuration.Version = s.configuration
	s.mu.Unlock()
	s.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: configuration})
	return configuration.Version
}

// stateSize returns the size of all entries of the store as they are sent to another process.
func (s *clusterStore) stateSize(tb testing.TB) (size int) {
	for _, fact := range s.at(s.revision()) {
		item, err := fact.Item()
		require.NoError(tb, err)
		size += proto.Size(&wire.FactsBatch{Items: itemsToWire([]state.Item{item})})
	}
	return size
}

// BenchmarkReceivedConfiguration decodes the configuration of a fleet and puts it into a view, as a box that receives it does.
func BenchmarkReceivedConfiguration(b *testing.B) {
	encoded := encodedConfiguration(b, newConfigurationMaker().next())
	b.SetBytes(int64(len(encoded)))
	view := fleet.EmptyView()
	for b.Loop() {
		var configuration fleet.Configuration
		require.NoError(b, state.Decode(encoded, &configuration))
		view = view.WithConfiguration(&configuration, 1)
	}
}

// Phases of the measurement of configurations.
const (
	// clusterStartTime is the time after which all boxes of a started cluster have each other's records and the state. It is
	// longer by boxStartTime for each box.
	clusterStartTime = 8 * time.Second
	boxStartTime     = 10 * time.Millisecond
	// entryChangeInterval is the time between two changes of servers' entries.
	entryChangeInterval = 300 * time.Millisecond
	// inForcePollInterval is how often the boxes are checked for a configuration.
	inForcePollInterval = 10 * time.Millisecond
)

// writtenConfiguration is a configuration and when it was in force at each box that has it.
type writtenConfiguration struct {
	version uint64
	at      time.Time
	inForce map[*clusterBox]time.Duration
}

// newLimitedCluster starts a cluster with the state of a deployment, waits until all boxes have it, and gives them the links of
// a deployment. The cluster ends with the test.
func newLimitedCluster(t *testing.T, boxes int, share float64) (*testCluster, *configurationMaker) {
	c, configurations := newTestCluster(t, boxes, 5, 5*time.Second), newConfigurationMaker()
	t.Cleanup(c.stop)
	c.store.putConfiguration(configurations.next())
	for i := range serverCount {
		c.store.write(modelEntry(i, 0))
	}
	time.Sleep(clusterStartTime + time.Duration(boxes)*boxStartTime)
	for _, box := range c.boxes {
		require.Len(t, box.entries.membership.All(), boxes, "%s", box.id)
		require.True(t, box.hasState(), "%s", box.id)
	}
	c.limitBoxes(share)
	return c, configurations
}

// hasState reports whether the box has all servers and the last configuration.
func (b *clusterBox) hasState() bool {
	return len(serverIDs(b.fleetState)) == serverCount && b.configurationVersion() == b.cluster.store.configuration
}

// configurationVersion returns the version of the configuration in force, 0 without one.
func (b *clusterBox) configurationVersion() uint64 {
	if configuration := b.fleetState.View().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}

// measureConfigurations writes configurations at times after its start, while servers' entries change. It returns when each
// was in force, after a time for the last one.
func (c *testCluster) measureConfigurations(
	configurations *configurationMaker, after []time.Duration, last time.Duration,
) (written []*writtenConfiguration) {
	startedAt, entries := time.Now(), 0
	for time.Since(startedAt) < after[len(after)-1]+last {
		if len(written) < len(after) && time.Since(startedAt) >= after[len(written)] {
			written = append(written, &writtenConfiguration{
				version: c.store.putConfiguration(configurations.next()), at: time.Now(), inForce: make(map[*clusterBox]time.Duration),
			})
		}
		if time.Since(startedAt) >= time.Duration(entries)*entryChangeInterval {
			entries++
			c.store.write(modelEntry(entries%serverCount, fleet.WeightsVersion(entries)))
		}
		for _, box := range c.boxes {
			version := box.configurationVersion()
			for _, configuration := range written {
				if _, known := configuration.inForce[box]; !known && version >= configuration.version {
					configuration.inForce[box] = time.Since(configuration.at)
				}
			}
		}
		time.Sleep(inForcePollInterval)
	}
	return written
}

// quantiles returns the middle and the highest value, 0 without values.
func quantiles[T int | time.Duration](values []T) (middle, highest T) {
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

// logConfigurations logs when configurations were in force and what they cost since the transfers before.
func (c *testCluster) logConfigurations(written []*writtenConfiguration, before []boxTransfers, linksBefore map[[2]member.Region]int) {
	for _, configuration := range written {
		times := slices.Collect(maps.Values(configuration.inForce))
		middle, last := quantiles(times)
		late := len(c.boxes) - len(configuration.inForce)
		for _, taken := range times {
			if taken > c.bound {
				late++
			}
		}
		c.t.Logf("configuration %d: at %d boxes, after %v in the middle, %v at last; %d of %d boxes late",
			configuration.version, len(times), middle, last, late, len(c.boxes))
	}
	var sent, received []int
	var all boxTransfers
	for i, after := range c.transfers() {
		cost := after.minus(before[i])
		sent, received, all = append(sent, cost.sent), append(received, cost.received), all.plus(cost)
	}
	busiest := 0
	for link, bytes := range c.factsBetweenRegions() {
		busiest = max(busiest, bytes-linksBefore[link])
	}
	_, delay := c.busiestLink()
	sentMiddle, sentMost := quantiles(sent)
	receivedMiddle, receivedMost := quantiles(received)
	c.t.Logf("facts in KB: a box sent %d in the middle, %d at most, received %d and %d; the busiest link between regions transmitted %d",
		sentMiddle/1000, sentMost/1000, receivedMiddle/1000, receivedMost/1000, busiest/1000)
	c.t.Logf("pulls: %d, failed %d, given up %d; calls of the store given up: %d; a message waited up to %v for a link between regions",
		all.pulls, all.failed, all.givenUp, all.storeTimeouts, delay)
}

// Guards against a configuration that is late because it is sent whole, by few boxes, to all others.
func TestConfigurationIsInForceEverywhereInTime(t *testing.T) {
	sizes := []int{30, 100}
	if raceEnabled {
		sizes = sizes[:1]
	}
	if *clusterBoxes > 0 {
		sizes = []int{*clusterBoxes}
	}
	for _, boxes := range sizes {
		t.Run(fmt.Sprintf("%d boxes", boxes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkConfigurationTimes(t, boxes, *clusterShare) })
		})
	}
}

// busyLinkShare is the part of the links that callers leave when they use 95% of each.
const busyLinkShare = 0.05

// Guards against a configuration that is in force nowhere because so many boxes receive it whole at once that no transfer ends
// in time.
func TestConfigurationIsInForceInTimeOverBusyLinks(t *testing.T) {
	boxes := 100
	if raceEnabled {
		boxes = 30
	}
	synctest.Test(t, func(t *testing.T) { checkConfigurationTimes(t, boxes, busyLinkShare) })
}

// checkConfigurationTimes writes two configurations, the second one a second after the first, and checks when they are in
// force.
func checkConfigurationTimes(t *testing.T, boxes int, share float64) {
	c, configurations := newLimitedCluster(t, boxes, share)
	for _, box := range c.boxes {
		box.loaded.Store(true)
	}
	time.Sleep(2 * time.Second)
	before, linksBefore := c.transfers(), c.factsBetweenRegions()
	written := c.measureConfigurations(configurations, []time.Duration{0, time.Second}, c.bound+time.Second)
	c.logConfigurations(written, before, linksBefore)
	for _, configuration := range written {
		late := 0
		for _, box := range c.boxes {
			if taken, ok := configuration.inForce[box]; !ok || taken > c.bound {
				late++
			}
		}
		assert.Zero(t, late, "boxes at which configuration %d is not in force after %v", configuration.version, c.bound)
	}
}

// comparedSizes returns the numbers of boxes between which costs are compared.
func comparedSizes() []int {
	if raceEnabled {
		return []int{10, 20}
	}
	return []int{20, 80}
}

// configurationCost is what one configuration with one changed key costs, in bytes of facts with the headers of packets.
type configurationCost struct {
	// received is what a box receives on average that does not read the configuration from the store. mostSent is what the
	// box sends that sends the most, and mostOnLink what the link between two regions transmits that transmits the most, on
	// average over the configurations.
	received, mostSent, mostOnLink float64
	encoded                        int
}

// measureConfigurationCost writes configurations one after the other in a calm cluster.
func measureConfigurationCost(t *testing.T, boxes int) (cost configurationCost) {
	const changes = 10
	const changeInterval = time.Second
	c, configurations := newLimitedCluster(t, boxes, 1)
	for range changes {
		before, linksBefore := c.transfers(), c.factsBetweenRegions()
		configuration := configurations.next()
		version := c.store.putConfiguration(configuration)
		time.Sleep(changeInterval)
		received, receivers, mostSent, mostOnLink := 0, 0, 0, 0
		for i, after := range c.transfers() {
			require.Equal(t, version, c.boxes[i].configurationVersion(), "%s", c.boxes[i].id)
			transferred := after.minus(before[i])
			mostSent = max(mostSent, transferred.sent)
			if transferred.fromStore == 0 {
				received, receivers = received+transferred.received, receivers+1
			}
		}
		for link, bytes := range c.factsBetweenRegions() {
			mostOnLink = max(mostOnLink, bytes-linksBefore[link])
		}
		cost.received += float64(received) / float64(max(1, receivers)) / changes
		cost.mostSent += float64(mostSent) / changes
		cost.mostOnLink += float64(mostOnLink) / changes
		cost.encoded = len(encodedConfiguration(t, configuration))
	}
	t.Logf("%d boxes, one changed key of a configuration of %d bytes: a box receives %.0f bytes, the busiest box sends %.0f, "+
		"the busiest link between regions transmits %.0f", boxes, cost.encoded, cost.received, cost.mostSent, cost.mostOnLink)
	return cost
}

// Guards against a configuration that is sent whole for each change of it, by a box to a number of others that grows with the
// fleet.
func TestConfigurationCostsItsChangeAtAnySize(t *testing.T) {
	var small, large configurationCost
	sizes := comparedSizes()
	synctest.Test(t, func(t *testing.T) { small = measureConfigurationCost(t, sizes[0]) })
	synctest.Test(t, func(t *testing.T) { large = measureConfigurationCost(t, sizes[1]) })
	require.Positive(t, small.received)
	t.Run("receivers", func(t *testing.T) {
		require.LessOrEqual(t, large.received, 0.1*float64(large.encoded))
		require.LessOrEqual(t, large.received, 1.5*small.received)
	})
	t.Run("busiest sender", func(t *testing.T) {
		require.LessOrEqual(t, large.mostSent, float64(large.encoded))
	})
	t.Run("growth of busiest sender", func(t *testing.T) {
		require.LessOrEqual(t, large.mostSent, 1.5*small.mostSent)
	})
	t.Run("busiest link between regions", func(t *testing.T) {
		require.LessOrEqual(t, large.mostOnLink, 1.5*max(small.mostOnLink, small.received))
	})
}

// linkShares are the parts of the links that are left for control traffic while boxes start.
var linkShares = []float64{1, 0.1}

// startSettleTime is how long a box that has the state after its start is observed further.
const startSettleTime = 2 * time.Second

// maxReceivedAtStart is how much a box may receive at its start, as a multiple of the state.
const maxReceivedAtStart = 1.5

// Guards against a box that receives the state more than once at its start.
func TestStartingBoxReceivesTheStateOnce(t *testing.T) {
	const starts = 3
	forClustersAndShares(t, func(t *testing.T, c *testCluster) {
		for _, box := range c.boxes[len(c.boxes)-starts:] {
			box.kill()
			time.Sleep(time.Second)
			checkStart(t, []*clusterBox{box})
		}
	})
}

// Guards against boxes that receive the state more than once, or give up what they have received of it, when all start.
func TestBoxesThatStartTogetherReceiveTheStateOnce(t *testing.T) {
	forClustersAndShares(t, func(t *testing.T, c *testCluster) {
		c.killAll()
		checkStart(t, c.boxes)
	})
}

// forClustersAndShares calls check for clusters of two sizes, with each share of the links.
func forClustersAndShares(t *testing.T, check func(t *testing.T, c *testCluster)) {
	for _, boxes := range comparedSizes() {
		t.Run(fmt.Sprintf("%d boxes", boxes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := newLimitedCluster(t, boxes, 1)
				for _, share := range linkShares {
					t.Logf("%g of the links", share)
					c.limitBoxes(share)
					check(t, c)
				}
			})
		})
	}
}

// checkStart starts some stopped boxes and checks what they receive until all have the state.
func checkStart(t *testing.T, boxes []*clusterBox) {
	before := make(map[*clusterBox]boxTransfers)
	startedAt, ready := time.Now(), make(map[*clusterBox]time.Duration)
	for _, box := range boxes {
		before[box] = box.transfers()
		box.start()
	}
	for len(ready) < len(boxes) && time.Since(startedAt) < clusterStartTime {
		time.Sleep(inForcePollInterval)
		for _, box := range boxes {
			if _, known := ready[box]; !known && box.hasState() {
				ready[box] = time.Since(startedAt)
			}
		}
	}
	time.Sleep(startSettleTime)
	size, received, all := boxes[0].cluster.store.stateSize(t), []int(nil), boxTransfers{}
	for _, box := range boxes {
		cost := box.transfers().minus(before[box])
		received, all = append(received, cost.received+cost.fromStore), all.plus(cost)
	}
	middle, most := quantiles(received)
	_, lastReady := quantiles(slices.Collect(maps.Values(ready)))
	t.Logf("a box received %d bytes in the middle, %d at most, the state has %d; %d of %d boxes ready, the last after %v; "+
		"given up: %d pulls, %d calls of the store", middle, most, size, len(ready), len(boxes), lastReady, all.givenUp, all.storeTimeouts)
	assert.Len(t, ready, len(boxes), "boxes with the state")
	assert.LessOrEqual(t, float64(most), maxReceivedAtStart*float64(size), "bytes received")
	assert.Zero(t, all.givenUp, "pulls given up")
}
