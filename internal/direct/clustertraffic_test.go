package direct

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// trafficSizes are the cluster sizes whose traffic TestControlTraffic logs.
var trafficSizes = flag.String("cluster.traffic", "", "comma-separated numbers of entry boxes whose control traffic is measured")

// traffic is the control traffic of all boxes, by purpose and scope.
type traffic map[string]struct{ messages, bytes float64 }

// traffic returns what all boxes have sent.
func (c *testCluster) traffic() traffic {
	sum := make(traffic)
	for _, box := range c.boxes {
		counters := &box.fleetState.metrics.traffic
		for labels, value := range counterValues(counters.messages) {
			entry := sum[labels]
			entry.messages += value
			sum[labels] = entry
		}
		for labels, value := range counterValues(counters.bytes) {
			entry := sum[labels]
			entry.bytes += value
			sum[labels] = entry
		}
	}
	return sum
}

// counterValues returns the values of a counter by its labels.
func counterValues(counter *prometheus.CounterVec) map[string]float64 {
	metrics := make(chan prometheus.Metric, 64)
	counter.Collect(metrics)
	close(metrics)
	values := make(map[string]float64)
	for m := range metrics {
		var content dto.Metric
		if m.Write(&content) == nil {
			var labels []string
			for _, label := range content.Label {
				labels = append(labels, label.GetValue())
			}
			values[strings.Join(labels, " ")] = content.Counter.GetValue()
		}
	}
	return values
}

// minus returns the traffic since an earlier measurement.
func (t traffic) minus(before traffic) traffic {
	difference := make(traffic)
	for labels, entry := range t {
		entry.messages -= before[labels].messages
		entry.bytes -= before[labels].bytes
		difference[labels] = entry
	}
	return difference
}

// total returns the sum over all purposes whose labels contain a text.
func (t traffic) total(contains string) (messages, bytes float64) {
	for labels, entry := range t {
		if strings.Contains(labels, contains) {
			messages += entry.messages
			bytes += entry.bytes
		}
	}
	return messages, bytes
}

// log logs the traffic divided by a number.
func (t traffic) log(tb testing.TB, name string, per float64) {
	tb.Helper()
	for _, labels := range slices.Sorted(maps.Keys(t)) {
		if entry := t[labels]; entry.messages > 0 || entry.bytes > 0 {
			tb.Logf("%-28s %-24s %10.2f messages %12.1f bytes", name, labels, entry.messages/per, entry.bytes/per)
		}
	}
	for _, scope := range []string{scopeLocal, scopeRemote} {
		messages, bytes := t.total(scope)
		tb.Logf("%-28s %-24s %10.2f messages %12.1f bytes", name, "all "+scope, messages/per, bytes/per)
	}
}

// clusterPhases are the measurements of the control traffic of a cluster, each for one box.
type clusterPhases struct {
	// start is the traffic until all boxes know each other, calm that of a second without load, loaded that of a second
	// with load, entry that of one change of a server's entry, and restart that of the restart of one box.
	start, calm, loaded, entry, restart traffic
}

// loadChange is the interval at which the load of a box changes in a loaded cluster.
const loadChange = 200 * time.Millisecond

// measureTraffic measures the control traffic of a cluster with as many servers as boxes, in five regions.
func measureTraffic(t *testing.T, boxes int, log bool) (phases clusterPhases) {
	const calmTime, loadedTime, changes = 10 * time.Second, 5 * time.Second, 20
	c := newTestCluster(t, boxes, 5, 5*time.Second)
	defer c.stop()
	c.store.write(fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: &fleet.Configuration{
		Version: 2, Services: []fleet.Service{{Name: "llm", Engine: &fleet.Engine{Slots: 8}}},
	}})
	for i := range boxes {
		c.store.write(modelEntry(i, 0))
	}
	time.Sleep(15 * time.Second)
	for _, box := range c.boxes {
		require.Len(t, box.entries.membership.All(), boxes, "%s", box.id)
	}
	measure := func(name string, per float64, run func()) traffic {
		before := c.traffic()
		run()
		difference := c.traffic().minus(before)
		if log {
			difference.log(t, fmt.Sprintf("%d boxes, %s", boxes, name), per)
		}
		return difference
	}
	phases.start = c.traffic()
	if log {
		phases.start.log(t, fmt.Sprintf("%d boxes, start, a box", boxes), float64(boxes))
	}
	perBox := func(d time.Duration) float64 { return float64(boxes) * d.Seconds() }
	phases.calm = measure("calm, a box and second", perBox(calmTime), func() { time.Sleep(calmTime) })
	phases.entry = measure("changed entry, a box", float64(boxes)*changes, func() {
		for i := range changes {
			c.store.write(modelEntry(i, 1))
			time.Sleep(500 * time.Millisecond)
		}
	}).minus(scaled(phases.calm, float64(changes)*0.5/calmTime.Seconds()))
	phases.restart = measure("restart, a box", float64(boxes), func() {
		c.boxes[boxes/2].kill()
		time.Sleep(time.Second)
		c.boxes[boxes/2].start()
		time.Sleep(4 * time.Second)
	}).minus(scaled(phases.calm, 0.5))
	for _, box := range c.boxes {
		box.loaded.Store(true)
	}
	phases.loaded = measure("loaded, a box and second", perBox(loadedTime), func() { time.Sleep(loadedTime) })
	return phases
}

// scaled returns the traffic multiplied by a factor.
func scaled(t traffic, factor float64) traffic {
	result := make(traffic)
	for labels, entry := range t {
		entry.messages *= factor
		entry.bytes *= factor
		result[labels] = entry
	}
	return result
}

// modelEntry returns an entry of a model server.
func modelEntry(number int, version fleet.WeightsVersion) fleet.Fact {
	id := fleet.ServerID(fmt.Sprintf("i-%08d", number))
	return fleet.Fact{Key: fleet.ServerKey(id), Server: &fleet.Server{
		ID: id, Service: "llm", Address: member.Address(fmt.Sprintf("10.0.%d.%d:8000", number/256, number%256)),
		Domain: member.FailureDomain(fmt.Sprintf("region-%d", number%5)), Slots: 8, Incarnation: 1,
		Models: []fleet.LoadedModel{{Name: "model", Version: version, Layers: []fleet.LoadedLayers{{End: 16, Version: version}}}},
	}}
}

// load returns the load of a box. While it changes, it does so every loadChange, at one of eight servers in turn.
func (b *clusterBox) load() route.Load {
	if !b.loaded.Load() {
		return nil
	}
	changes := int(time.Now().UnixNano() / int64(loadChange))
	return route.Load{fleet.ServerID(fmt.Sprintf("i-%08d", changes%8)): {Requests: 1 + changes%3, Prefill: 40 * time.Millisecond}}
}

// TestControlTraffic logs the control traffic of clusters of the sizes in the flag cluster.traffic.
func TestControlTraffic(t *testing.T) {
	for size := range strings.SplitSeq(*trafficSizes, ",") {
		var boxes int
		if _, err := fmt.Sscan(size, &boxes); err != nil {
			continue
		}
		t.Run(size, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureTraffic(t, boxes, true) })
		})
	}
}

// Guards against facts that are sent whole to each box that pulls from another one for the first time: what one changed
// entry costs a box must not grow with the fleet.
func TestFactsOfOneChangeDoNotGrowWithTheFleet(t *testing.T) {
	factsOfOneChange := func(boxes int) (bytes float64) {
		synctest.Test(t, func(t *testing.T) {
			_, bytes = measureTraffic(t, boxes, false).entry.total(string(purposeFacts))
		})
		return bytes / float64(boxes)
	}
	small, large := factsOfOneChange(20), factsOfOneChange(80)
	require.Positive(t, small)
	require.Less(t, large, 1.5*small)
}
