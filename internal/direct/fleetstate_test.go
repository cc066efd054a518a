package direct

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// scriptedStore returns prepared responses in order.
type scriptedStore struct {
	responses []func() (provider.FactBatch, error)
}

func (s *scriptedStore) next() (provider.FactBatch, error) {
	respond := s.responses[0]
	s.responses = s.responses[1:]
	return respond()
}

func (s *scriptedStore) source() provider.FactSource {
	return provider.FactSource{
		Snapshot: func(context.Context) (provider.FactBatch, error) { return s.next() },
		Changes: func(context.Context, fleet.Revision, time.Duration) (provider.FactBatch, error) {
			return s.next()
		},
		Reconnect: func() {},
	}
}

func returnsFacts(at fleet.Revision, facts ...fleet.Fact) func() (provider.FactBatch, error) {
	return func() (provider.FactBatch, error) { return provider.FactBatch{Facts: facts, Revision: at}, nil }
}

func returnsError(err error) func() (provider.FactBatch, error) {
	return func() (provider.FactBatch, error) { return provider.FactBatch{}, err }
}

func listed(id fleet.ServerID, revision fleet.Revision) fleet.Fact {
	return listedAt(id, member.Address(id), revision)
}

func listedAt(id fleet.ServerID, address member.Address, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.ServerKey(id), Revision: revision, Server: &fleet.Server{ID: id, Service: "llm", Address: address, Slots: 1}}
}

// outage returns the responses of a store that responds, fails for longer than entries last, and responds again.
func outage(before func() (provider.FactBatch, error), after ...func() (provider.FactBatch, error)) []func() (provider.FactBatch, error) {
	calls := int(2*minExpiryOutage/minProbeInterval) + 1
	failures := slices.Repeat([]func() (provider.FactBatch, error){returnsError(provider.ErrUnavailable)}, calls)
	return slices.Concat([]func() (provider.FactBatch, error){before}, failures, after)
}

// deleted returns the deletion of server a at revision 7.
func deleted() fleet.Fact { return fleet.Fact{Key: fleet.ServerKey("a"), Revision: 7, Deleted: true} }

// replayStore reads the store until all responses are used. It advances the clock over waits, and must run in a
// synctest bubble so that a busy machine cannot make a response overdue.
func replayStore(t *testing.T, clock *clockwork.FakeClock, fleetState *FleetState, responses ...func() (provider.FactBatch, error)) {
	t.Helper()
	store := &scriptedStore{responses: responses}
	reader := &storeReader{
		fleetState: fleetState, source: store.source(),
		intervals: testIntervals, shouldRead: func() bool { return true }, probeInterval: func() time.Duration { return minProbeInterval },
	}
	for len(store.responses) > 0 {
		done := make(chan struct{})
		go func() {
			reader.readOnce(context.Background())
			close(done)
		}()
		advanceUntilDone(clock, done)
	}
}

func advanceUntilDone(clock *clockwork.FakeClock, done <-chan struct{}) {
	for {
		synctest.Wait()
		select {
		case <-done:
			return
		default:
			clock.Advance(10 * time.Millisecond)
		}
	}
}

func newTestFleetState() (*FleetState, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return NewFleetState(clock, zerolog.Nop(), NewMetrics()), clock
}

func TestExpiredEntryIsDeferredAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, outage(returnsFacts(5, listed("a", 3)), returnsFacts(7, deleted()))...)
		require.Len(t, fleetState.View().Servers("llm"), 1)
		require.Less(t, fleetState.Watermarks().Complete, fleet.Revision(7), "a deferred deletion must not count as known")
		clock.Advance(expiryDeferral)
		require.Eventually(t, func() bool { return len(fleetState.View().Servers("llm")) == 0 }, 10*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return fleetState.Watermarks() == Watermarks{Newest: 7, Complete: 7} }, 10*time.Second, time.Millisecond)
	})
}

// A single failed call, or a connection that fails silently, must not count as an outage in which entries expire.
// A server that leaves at that moment must get no new requests after two seconds.
func TestDeletionAfterSingleFailedCallIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, returnsFacts(5, listed("a", 3)), returnsError(provider.ErrUnavailable), returnsFacts(7, deleted()))
		require.Empty(t, fleetState.View().Servers("llm"))
		require.Equal(t, Watermarks{Newest: 7, Complete: 7}, fleetState.Watermarks())
	})
}

func TestReturnedEntryOutlivesDeferredDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, outage(returnsFacts(5, listed("a", 3)), returnsFacts(7, deleted()), returnsFacts(8, listed("a", 8)))...)
		clock.Advance(2 * expiryDeferral)
		require.Len(t, fleetState.View().Servers("llm"), 1)
	})
}

// Only this box lost the store, and another box reports that the server left.
func TestDeletionFromAnotherBoxIsNotDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState, outage(returnsFacts(5, listed("a", 3)), returnsFacts(7, deleted()))...)
		fleetState.Apply([]fleet.Fact{deleted()}, "entry-2")
		require.Empty(t, fleetState.View().Servers("llm"))
		require.Equal(t, Watermarks{Newest: 7, Complete: 7}, fleetState.Watermarks())
	})
}

func TestEntryMissingFromSnapshotIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		replayStore(t, clock, fleetState,
			returnsFacts(5, listed("a", 3), listed("b", 4)), returnsError(provider.ErrCompacted), returnsFacts(9, listed("b", 4)))
		servers := fleetState.View().Servers("llm")
		require.Len(t, servers, 1)
		require.Equal(t, fleet.ServerID("b"), servers[0].ID)
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		configuration := func(version uint64, revision fleet.Revision) fleet.Fact {
			return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{Version: version}}
		}
		replayStore(t, clock, fleetState, returnsFacts(5, configuration(4, 5)), returnsFacts(6, configuration(3, 6)))
		require.EqualValues(t, 4, fleetState.View().Configuration.Version)
		fleetState.Apply([]fleet.Fact{configuration(2, 2)}, "entry-2")
		require.EqualValues(t, 4, fleetState.View().Configuration.Version)
	})
}

func TestCutoffCountsFromEachPublishedVersion(t *testing.T) {
	fleetState, clock := newTestFleetState()
	fleetState.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}}, "store")
	desired := func(version fleet.WeightsVersion, revision fleet.Revision) fleet.Fact {
		return fleet.Fact{Key: fleet.DesiredKey("m"), Revision: revision, Desired: &fleet.DesiredVersion{Model: "m", Version: version}}
	}
	fleetState.Apply([]fleet.Fact{desired(2, 2)}, "store")
	clock.Advance(3 * time.Second)
	fleetState.Apply([]fleet.Fact{desired(3, 3)}, "store")
	published, bound := fleetState.View().PublishedVersions("m"), 8*time.Second
	clock.Advance(4 * time.Second)
	require.EqualValues(t, 0, published.OldestAllowed(bound, clock.Now()))
	clock.Advance(time.Second)
	require.EqualValues(t, 2, published.OldestAllowed(bound, clock.Now()))
	clock.Advance(3 * time.Second)
	require.EqualValues(t, 3, published.OldestAllowed(bound, clock.Now()))
	cutoff, ok := published.CutoffTime(1, bound)
	require.True(t, ok)
	require.Equal(t, clock.Now().Add(-3*time.Second), cutoff)
}

// A version that is present when the process starts may have been published long before. A version that arrives
// later was published at that moment.
func TestOnlyVersionsPresentAtStartGetAssumedAge(t *testing.T) {
	configuration := fleet.Fact{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}
	desired := fleet.Fact{Key: fleet.DesiredKey("m"), Revision: 2, Desired: &fleet.DesiredVersion{Model: "m", Version: 2}}
	together, clock := newTestFleetState()
	together.Apply([]fleet.Fact{configuration, desired}, "store")
	require.Equal(t, clock.Now().Add(-minAssumedAge), together.View().PublishedVersions("m").Newest().PublishedAt)
	later, clock := newTestFleetState()
	later.Apply([]fleet.Fact{configuration}, "store")
	later.Apply([]fleet.Fact{desired}, "store")
	require.Equal(t, clock.Now(), later.View().PublishedVersions("m").Newest().PublishedAt)
}

func publishedFact(version fleet.WeightsVersion, revision fleet.Revision) fleet.Fact {
	return fleet.Fact{Key: fleet.DesiredKey("m"), Revision: revision, Desired: &fleet.DesiredVersion{Model: "m", Version: version}}
}

// Guards against a box that has just started, assumes that both versions are old, and applies the cutoff of the
// older one while that version is still allowed.
func TestLateProcessMergesVersionAges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	configuration := fleet.Fact{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}
	observer := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	observer.Apply([]fleet.Fact{configuration}, "store")
	observer.Apply([]fleet.Fact{publishedFact(2, 2)}, "store")
	clock.Advance(2 * time.Second)
	observer.Apply([]fleet.Fact{publishedFact(3, 3)}, "store")
	clock.Advance(time.Second)

	late := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	late.Apply([]fleet.Fact{configuration, publishedFact(2, 2), publishedFact(3, 3)}, "store")
	require.Empty(t, late.VersionAges(), "an assumed age is not reported to others")
	late.MergeVersionAges(observer.VersionAges(), "entry-2")
	bound := 6 * time.Second
	clock.Advance(3 * time.Second)
	published := late.View().PublishedVersions("m")
	require.EqualValues(t, 2, published.OldestAllowed(bound, clock.Now()))
	require.Equal(t, observer.View().PublishedVersions("m").Newest().PublishedAt, published.Newest().PublishedAt)
	require.Equal(t, observer.VersionAges(), late.VersionAges())
}

// Guards against recording the time at which a version was received from another process as its publication time.
// If an agent receives a version from an entry box that has just started, the wrong age replaces the assumed ages of
// all boxes, and older weights start requests for 2.2 s too long.
func TestVersionFromAnotherProcessIsNotObserved(t *testing.T) {
	fleetState, clock := newTestFleetState()
	fleetState.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}}, "store")
	fact := publishedFact(2, 2)
	item, err := fact.Item()
	require.NoError(t, err)
	require.NoError(t, fleetState.ApplyTransfer(&state.Transfer{Batch: state.Batch{Items: []state.Item{item}}}, "entry-2"))
	require.Empty(t, fleetState.VersionAges())
	require.Equal(t, clock.Now().Add(-minAssumedAge), fleetState.View().PublishedVersions("m").Newest().PublishedAt)
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: 300 * time.Millisecond}}, "entry-3")
	require.Equal(t, clock.Now().Add(-300*time.Millisecond), fleetState.View().PublishedVersions("m").Newest().PublishedAt, "an observed age replaces an assumed one")
}

// Guards against treating the first read of the store as an observed publication. A box that has just started can
// receive a configuration from another box before it reads the store. It must not report a version that it then finds
// in the store as published at that moment.
func TestVersionInInitialReadIsNotObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, clock := newTestFleetState()
		configuration := fleet.Fact{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}
		item, err := configuration.Item()
		require.NoError(t, err)
		require.NoError(t, fleetState.ApplyTransfer(&state.Transfer{Batch: state.Batch{Items: []state.Item{item}}}, "entry-2"))
		replayStore(t, clock, fleetState, returnsFacts(5, configuration, publishedFact(2, 5)), returnsFacts(6, publishedFact(3, 6)))
		published := fleetState.View().PublishedVersions("m")
		require.Equal(t, fleetState.StoreRespondedAt(), published.PublishedAt(3), "a later version is observed")
		require.LessOrEqual(t, published.PublishedAt(2), fleetState.StoreRespondedAt().Add(-minAssumedAge))
		require.Len(t, fleetState.VersionAges(), 1)
	})
}

// Guards against change detection by the number of versions. It stays the same after eight versions of a model, so
// the ages of later ones are not reported.
func TestEachVersionIncrementsAgeChangeCount(t *testing.T) {
	fleetState, _ := newTestFleetState()
	fleetState.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}}, "store")
	known := fleetState.ageChangeCount()
	for version := range fleet.WeightsVersion(20) {
		fleetState.Apply([]fleet.Fact{publishedFact(version+2, fleet.Revision(version)+2)}, "store")
		require.NotEqual(t, known, fleetState.ageChangeCount())
		known = fleetState.ageChangeCount()
	}
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 3, Age: time.Hour}}, "entry-2")
	require.Equal(t, known, fleetState.ageChangeCount(), "a version older than all kept ones is ignored")
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 21, Age: time.Second}}, "entry-2")
	require.NotEqual(t, known, fleetState.ageChangeCount(), "a corrected age is counted")
}

// Guards against requests that start on old weights after the version bound. Two versions are published 4 s apart,
// and a box that starts later reads only the newer one from the store. If it ignores reports of the older one, it
// applies the cutoff of all earlier weights 4 s late: with a bound of 8 s and a cutoffMargin of 1 s, from 7.0 to 11 s
// after the first publication it requires version 0 where the other boxes require version 2.
func TestLateBoxAppliesCutoffOfSkippedVersion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	configuration := fleet.Fact{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}
	observer := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	observer.Apply([]fleet.Fact{configuration}, "store")
	observer.Apply([]fleet.Fact{publishedFact(2, 2)}, "store")
	clock.Advance(4 * time.Second)
	observer.Apply([]fleet.Fact{publishedFact(3, 3)}, "store")
	clock.Advance(500 * time.Millisecond)

	late := NewFleetState(clock, zerolog.Nop(), NewMetrics())
	late.Apply([]fleet.Fact{configuration, publishedFact(3, 3)}, "store")
	late.MergeVersionAges(observer.VersionAges(), "there")
	const bound = 8 * time.Second
	for range 80 {
		clock.Advance(100 * time.Millisecond)
		require.Equal(t, observer.View().PublishedVersions("m").OldestAllowed(bound, clock.Now()), late.View().PublishedVersions("m").OldestAllowed(bound, clock.Now()))
	}
	require.EqualValues(t, 3, late.View().PublishedVersions("m").OldestAllowed(bound, clock.Now()))
	require.Equal(t, observer.VersionAges(), late.VersionAges(), "both ages are reported on")
}

// A box that was suspended receives a version late, when it resumes.
func TestEarliestObserverSetsVersionAge(t *testing.T) {
	fleetState, clock := newTestFleetState()
	fleetState.Apply([]fleet.Fact{{Key: fleet.ConfigurationKey(), Revision: 1, Configuration: &fleet.Configuration{}}}, "store")
	fleetState.Apply([]fleet.Fact{publishedFact(2, 2)}, "store")
	receivedAt := clock.Now()
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: 5 * time.Second}}, "entry-2")
	require.Equal(t, receivedAt.Add(-5*time.Second), fleetState.View().PublishedVersions("m").Newest().PublishedAt)
	published := fleetState.View().PublishedVersions("m")
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: time.Second}, {Model: "n", Version: 2}}, "entry-3")
	require.Equal(t, published, fleetState.View().PublishedVersions("m"), "a later observation changes nothing")
	require.Equal(t, clock.Now(), fleetState.View().PublishedVersions("n").Newest().PublishedAt)
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 9, Age: time.Second}, {Model: "m", Version: 2, Age: 7 * time.Second}}, "entry-4")
	require.Equal(t, receivedAt.Add(-7*time.Second), fleetState.View().PublishedVersions("m").PublishedAt(2), "an age is corrected even if the batch also has a newer version")
	require.Equal(t, receivedAt.Add(-time.Second), fleetState.View().PublishedVersions("m").Newest().PublishedAt)
}

// Guards against two servers with one address. After a power failure, each address has two entries for seconds, and
// half of the requests are sent to servers that have been replaced.
func TestNewestEntryWinsPerAddress(t *testing.T) {
	fleetState, _ := newTestFleetState()
	only := func() fleet.ServerID {
		servers := fleetState.View().Servers("llm")
		require.Len(t, servers, 1)
		return servers[0].ID
	}
	fleetState.Apply([]fleet.Fact{listedAt("new", "10.0.0.1:80", 9), listedAt("old", "10.0.0.1:80", 3)}, "store")
	require.Equal(t, fleet.ServerID("new"), only())
	fleetState.Apply([]fleet.Fact{{Key: fleet.ServerKey("old"), Revision: 12, Deleted: true}}, "store")
	require.Equal(t, fleet.ServerID("new"), only())
	fleetState.Apply([]fleet.Fact{{Key: fleet.ServerKey("new"), Revision: 13, Deleted: true}}, "store")
	require.Empty(t, fleetState.View().Servers("llm"))
}

// Guards against waiting for the fact of a version whose age is known. If the reader of the store in a region is
// disconnected, the region's agents receive the version 0.9 s late, although boxes of other regions report its age
// every 0.05 s.
func TestVersionAgeFromPeerPublishesVersion(t *testing.T) {
	fleetState, clock := newTestFleetState()
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: 300 * time.Millisecond}, {Model: "m", Version: 3, Age: 100 * time.Millisecond}}, "entry-2")
	published := fleetState.View().PublishedVersions("m")
	require.EqualValues(t, 3, published.Newest().Version)
	require.Equal(t, clock.Now().Add(-100*time.Millisecond), published.Newest().PublishedAt)
	require.Equal(t, clock.Now().Add(-300*time.Millisecond), published.PublishedAt(2))
	require.Len(t, fleetState.VersionAges(), 2, "the ages are reported on")
	fleetState.Apply([]fleet.Fact{publishedFact(3, 9)}, "store")
	require.Equal(t, published, fleetState.View().PublishedVersions("m"), "the fact from the store changes nothing")
	fleetState.MergeVersionAges([]fleet.VersionAge{{Model: "m", Version: 2, Age: time.Second}}, "entry-3")
	require.EqualValues(t, 3, fleetState.View().PublishedVersions("m").Newest().Version)
}

// Guards against batching a change that comes shortly after a few others, which delays it.
func TestBurstOfChangesIsReadImmediately(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reader := &storeReader{intervals: testIntervals}
	immediate := 0
	for range 20 {
		if reader.takeToken(clock.Now()) {
			immediate++
		}
	}
	require.Equal(t, readBurst, immediate)
	clock.Advance(testIntervals.batchDelay)
	require.True(t, reader.takeToken(clock.Now()))
	require.False(t, reader.takeToken(clock.Now()))
	clock.Advance(time.Minute)
	for range readBurst {
		require.True(t, reader.takeToken(clock.Now()))
	}
	require.False(t, reader.takeToken(clock.Now()))
}
