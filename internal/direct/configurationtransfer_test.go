package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// The size of the configuration of a large fleet.
const (
	largeOrganisations = 333
	largeRoutes        = 490
	largeServices      = 24
)

// largeConfiguration returns the configuration of a large fleet. The version of its content is that of the first key of the
// middle organisation; everything else is the same in all versions.
func largeConfiguration(version uint64) *fleet.Configuration {
	random := rand.New(rand.NewPCG(1, 2))
	key := func() fleet.APIKey { return fleet.APIKey(fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())) }
	configuration := &fleet.Configuration{Version: version, Limits: fleet.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, IdleTimeout: time.Minute}}
	for i := range largeServices {
		configuration.Services = append(configuration.Services, fleet.Service{
			Name: member.Service(fmt.Sprintf("service-%d", i)), MaxConnections: 64, ColdRate: 2, ColdTime: 20 * time.Second,
			Engine: &fleet.Engine{
				Slots: 16, Models: []fleet.ModelName{fleet.ModelName(fmt.Sprintf("model-%d", i))}, Layers: 32, Chunks: 64, ChunkSize: 1 << 20,
				StepTime: 20 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillTokensPerSecond: 4000, TypicalPromptTokens: 900,
			},
		})
	}
	for i := range largeRoutes {
		configuration.Routes = append(configuration.Routes, fleet.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i/3), PathPrefix: fmt.Sprintf("/v%d/%x", i%3, random.Uint32()),
			Kind: fleet.KindStream, Timeout: 30 * time.Second, Objective: 2 * time.Second, MaxAttempts: 3, MaxEventGap: 4 * time.Second,
			Backends: []fleet.Backend{{Service: member.Service(fmt.Sprintf("service-%d", i%largeServices)), Weight: 1}},
		})
	}
	for i := range largeOrganisations {
		configuration.Organisations = append(configuration.Organisations, fleet.Organisation{
			Name: fleet.OrganisationName(fmt.Sprintf("organisation-%d", i)), Keys: []fleet.APIKey{key(), key()},
		})
	}
	configuration.Organisations[largeOrganisations/2].Keys[0] = fleet.APIKey(fmt.Sprintf("key-of-version-%016d", version))
	return configuration
}

// largeConfigurationFact returns the fact of a version of the large configuration.
func largeConfigurationFact(version uint64) fleet.Fact {
	return fleet.Fact{Key: fleet.ConfigurationKey(), Configuration: largeConfiguration(version)}
}

// bytesOfAChange writes a configuration to the store, checks that it is in force at all boxes within the bound, and returns
// the bytes of facts that a box sends meanwhile and those of the whole configuration.
func (c *testCluster) bytesOfAChange(fact fleet.Fact) (sent, whole float64) {
	item, err := fact.Item()
	require.NoError(c.t, err)
	before := c.traffic()
	c.store.write(fact)
	time.Sleep(c.bound)
	for _, box := range c.boxes {
		require.Equal(c.t, fact.Configuration, box.fleetState.View().Configuration, "%s", box.id)
	}
	_, sent = c.traffic().minus(before).total(string(purposeFacts))
	sent, whole = sent/float64(len(c.boxes)), float64(len(item.Value))
	c.t.Logf("%.0f bytes of configuration, %.0f bytes of facts sent by a box", whole, sent)
	return sent, whole
}

// Guards against transfers of the whole configuration to each box for one changed key: what a box sends must be a small part of it.
func TestTransferOfAChangedConfigurationIsItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 12, 3, 2*time.Second)
		defer c.stop()
		c.store.write(largeConfigurationFact(1))
		time.Sleep(10 * time.Second)
		sent, whole := c.bytesOfAChange(largeConfigurationFact(2))
		require.Less(t, sent, whole/20)
	})
}

// Guards against a delta from a version of the configuration, which may be another one after the store came back from a copy.
func TestConfigurationWithTheNumberOfAnotherOneIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 12, 3, 2*time.Second)
		defer c.stop()
		c.store.write(largeConfigurationFact(1))
		c.store.write(largeConfigurationFact(2))
		time.Sleep(10 * time.Second)
		c.store.restore(1, true)
		time.Sleep(10 * time.Second)
		again := largeConfigurationFact(2)
		again.Configuration.Organisations[7].Keys[1] = "another-key-0001"
		sent, whole := c.bytesOfAChange(again)
		require.Less(t, sent, whole/20)
		sent, whole = c.bytesOfAChange(largeConfigurationFact(3))
		require.Less(t, sent, whole/20)
	})
}

// Guards against an upgrade in which boxes with and without deltas do not take each other's configurations.
func TestConfigurationReachesBoxesWithoutDeltas(t *testing.T) {
	for name, old := range map[string]func(i int) bool{
		"the first box has deltas": func(i int) bool { return i > 0 },
		"the last box has none":    func(i int) bool { return i == 11 },
		"every second has deltas":  func(i int) bool { return i%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 12, 3, 2*time.Second)
				defer c.stop()
				for i, box := range c.boxes {
					box.withoutDeltas.Store(old(i))
				}
				c.store.write(largeConfigurationFact(1))
				time.Sleep(10 * time.Second)
				for version := uint64(2); version < 5; version++ {
					c.bytesOfAChange(largeConfigurationFact(version))
				}
				c.boxes[3].kill()
				c.boxes[3].start()
				time.Sleep(5 * time.Second)
				c.bytesOfAChange(largeConfigurationFact(5))
			})
		})
	}
}

// configurationMirror returns a mirror that has held versions of the large configuration one after the other.
func configurationMirror(t testing.TB, versions ...uint64) *state.Mirror {
	mirror := state.NewMirror(rand.Uint64(), isRemovableKey)
	for _, version := range versions {
		fact := largeConfigurationFact(version)
		fact.Revision = fleet.Revision(version)
		item, err := fact.Item()
		require.NoError(t, err)
		mirror.MergeChanges([]state.Item{item}, mirror.Status().Complete, version, nil)
	}
	return mirror
}

// Guards against a position beyond facts whose deltas did not apply, after which they are not requested again.
func TestFactsWhoseDeltasDoNotApplyAreReadAgain(t *testing.T) {
	fleetState, _ := newTestFleetState()
	fleetState.mirror = configurationMirror(t, 1)
	boxes := &EntryBoxes{fleetState: fleetState, cursors: make(map[member.Address]state.Cursor)}
	sender := newTestStatusServer(fleetState)
	sender.fleetState, _ = newTestFleetState()
	sender.fleetState.mirror = configurationMirror(t, 1, 3)
	pull := func() *wire.FactsBatch {
		receiver := fleetState.mirror.Receiver()
		request := &wire.FactsRequest{Once: true, Values: valuesToWire(receiver.Values)}
		receiver.Values = valuesFromWire(request)
		return sender.factsBatch(boxes.cursor("entry-2:1"), receiver, false)
	}
	batch := pull()
	require.Equal(t, 1, countDeltas(batch))
	require.Less(t, proto.Size(batch), 300)
	between := largeConfigurationFact(2)
	between.Revision = 2
	fleetState.Apply([]fleet.Fact{between}, "entry-3")
	known := fleetState.Watermarks()

	require.Error(t, boxes.applyBatch("entry-2:1", batch))
	require.Equal(t, known, fleetState.Watermarks())
	require.Empty(t, boxes.cursors)
	require.EqualValues(t, 2, fleetState.View().Configuration.Version)

	batch = pull()
	require.Zero(t, countDeltas(batch), "the value is requested whole")
	require.NoError(t, boxes.applyBatch("entry-2:1", batch))
	require.EqualValues(t, 3, fleetState.View().Configuration.Version)
	require.Equal(t, Watermarks{Newest: 3, Complete: 3, Ordered: sender.fleetState.mirror.Status().Ordered}, fleetState.Watermarks())
}

// Guards against deltas for processes that can't take them: agents hold another configuration, and the values of the receiver
// of a stream change with each batch.
func TestDeltasAreSentToSinglePullsOfBoxesOnly(t *testing.T) {
	values := map[string]uint64{fleet.ConfigurationKey(): 7}
	require.Equal(t, map[string]state.ValueDigest{fleet.ConfigurationKey(): 7}, valuesFromWire(&wire.FactsRequest{Once: true, Values: values}))
	require.Empty(t, valuesFromWire(&wire.FactsRequest{Values: values}))
	require.Empty(t, valuesFromWire(&wire.FactsRequest{Once: true, ServicesOnly: true, Values: values}))
	require.Empty(t, valuesFromWire(&wire.FactsRequest{Once: true}))
}

func TestConfigurationTransfersAreCountedByKind(t *testing.T) {
	metrics, key := NewMetrics(), fleet.ConfigurationKey()
	for range 2 {
		metrics.countConfiguration(&wire.FactsBatch{Items: []*wire.Item{{Key: key, Deltas: []*wire.Delta{{}}}, {Key: fleet.ServerKey("a")}}}, false)
	}
	metrics.countConfiguration(&wire.FactsBatch{Items: []*wire.Item{{Key: key, Value: []byte{1}}}}, false)
	metrics.countConfiguration(&wire.FactsBatch{Items: []*wire.Item{{Key: key, Value: []byte{1}}}}, true)
	require.Equal(t, map[string]float64{transferDelta: 2, transferWhole: 1, transferReduced: 1}, counterValues(metrics.configurationTransfers))
}

// BenchmarkChangedConfiguration measures what a changed configuration costs a box: the processor time to receive and apply
// it whole and as a delta, and its parts.
func BenchmarkChangedConfiguration(b *testing.B) {
	changed := configurationMirror(b, 1, 2)
	item, _ := changed.Lookup(fleet.ConfigurationKey())
	fact, err := fleet.ParseFact(item)
	require.NoError(b, err)
	reduced, err := fleet.ServicesOnly(item)
	require.NoError(b, err)
	for _, kind := range []string{transferWhole, transferDelta} {
		b.Run(kind, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				b.StopTimer()
				fleetState, _ := newTestFleetState()
				first := largeConfigurationFact(1)
				first.Revision = 1
				fleetState.ApplyChanges(&provider.FactBatch{Facts: []fleet.Fact{first}, Revision: 1}, 0, false)
				receiver := fleetState.mirror.Receiver()
				if kind == transferWhole {
					receiver.Values = nil
				}
				sender := newTestStatusServer(fleetState)
				sender.fleetState = &FleetState{clock: fleetState.clock, mirror: changed}
				encoded, err := proto.Marshal(sender.factsBatch(state.Cursor{}, receiver, false))
				require.NoError(b, err)
				size = len(encoded)
				b.StartTimer()
				batch := &wire.FactsBatch{}
				require.NoError(b, proto.Unmarshal(encoded, batch))
				require.NoError(b, fleetState.ApplyTransfer(transferFromWire(batch), "entry-2"))
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = fleet.ParseFact(item)
		}
		b.ReportMetric(float64(len(item.Value)), "value-bytes")
		b.ReportMetric(float64(len(reduced.Value)), "reduced-bytes")
	})
	b.Run("view", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			fleet.EmptyView().WithConfiguration(fact.Configuration, 2)
		}
	})
}
