package direct

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// runInterleaved runs two calls that take the same lock. The first waits for the lock when the second starts, and
// in about half of the runs the second one gets it first.
func runInterleaved(lock, unlock, first, second func()) {
	lock()
	waiting, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		close(waiting)
		first()
	}()
	<-waiting
	for range 2000 {
		// The first call needs some microseconds to reach the lock.
		_ = waiting
	}
	unlock()
	second()
	<-done
}

const interleavings = 3000

// Guards against an older record of a box replacing its newer one when both arrive at once: that the box is starting,
// from one box, and that it is up, from another. If the older record is kept, callers are never directed to the box.
func TestNewerOfConcurrentRecordsWins(t *testing.T) {
	older := recordItems(t, member.Record{Box: "b", Incarnation: 1, Sequence: 1, Status: member.StatusStarting})
	newer := recordItems(t, member.Record{Box: "b", Incarnation: 1, Sequence: 2, Status: member.StatusUp})
	for range interleavings {
		m := newTestMembership(clockwork.NewFakeClock(), "self")
		runInterleaved(m.mu.Lock, m.mu.Unlock, func() { m.Merge(older, "b") }, func() { m.Merge(newer, "c") })
		record, known := m.Record("b")
		require.True(t, known)
		require.Equal(t, member.StatusUp, record.Status)
	}
}

// Guards against an older entry of a server replacing its newer deletion when both arrive at once. The server then
// stays in the view after it has left.
func TestNewerOfConcurrentEntriesWins(t *testing.T) {
	deletion := fleet.Fact{Key: fleet.ServerKey("a"), Revision: 7, Deleted: true}
	for range interleavings {
		fleetState := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		runInterleaved(
			fleetState.mu.Lock, fleetState.mu.Unlock,
			func() { fleetState.Apply([]fleet.Fact{listed("a", 3)}, "entry-2") }, func() { fleetState.Apply([]fleet.Fact{deletion}, "store") },
		)
		require.Empty(t, fleetState.View().Servers("llm"))
	}
}

// Guards against an older deletion of a server replacing its newer entry when both arrive at once. A server that
// returns is then missing from the view until it writes its entry again.
func TestServerReturningDuringDeletionIsKept(t *testing.T) {
	for range interleavings / 6 {
		fleetState := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		runInterleaved(
			fleetState.mu.Lock, fleetState.mu.Unlock,
			func() { fleetState.Apply([]fleet.Fact{deleted()}, "store") }, func() { fleetState.Apply([]fleet.Fact{listed("a", 9)}, "entry-2") },
		)
		require.Len(t, fleetState.View().Servers("llm"), 1)
	}
}

// configurationWithKeys returns a configuration in which each version up to its own has added a key.
func configurationWithKeys(version uint64, revision fleet.Revision) fleet.Fact {
	organisation := fleet.Organisation{Name: "kumiai"}
	for v := uint64(1); v <= version; v++ {
		organisation.Keys = append(organisation.Keys, fleet.APIKey(fmt.Sprint("k", v)))
	}
	return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{
		Version: version, Services: []fleet.Service{{Name: "llm"}}, Organisations: []fleet.Organisation{organisation},
	}}
}

// Two batches of configurations arrive from two sources at the same moment. The key added by the newest one must
// be valid, whichever batch is applied last.
func TestNewestOfConcurrentConfigurationsApplies(t *testing.T) {
	for range interleavings / 6 {
		fleetState := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		runInterleaved(
			fleetState.mu.Lock, fleetState.mu.Unlock,
			func() {
				fleetState.Apply([]fleet.Fact{configurationWithKeys(1, 4), configurationWithKeys(2, 5)}, "entry-2")
			},
			func() {
				fleetState.Apply([]fleet.Fact{configurationWithKeys(3, 8), configurationWithKeys(4, 9)}, "store")
			},
		)
		_, known := fleetState.View().Organisation("k4")
		require.True(t, known)
	}
}

// factsAfterOutage returns the facts reported after an outage of the store in which entries expired: their
// deletions, and five configurations interleaved with the returning servers.
func factsAfterOutage() []fleet.Fact {
	deleted := func(id fleet.ServerID, revision fleet.Revision) fleet.Fact {
		return fleet.Fact{Key: fleet.ServerKey(id), Revision: revision, Deleted: true}
	}
	return []fleet.Fact{
		deleted("a", 50), deleted("b", 51), deleted("c", 52), configurationWithKeys(2, 64), configurationWithKeys(3, 65), listed("a", 66),
		configurationWithKeys(4, 67), configurationWithKeys(5, 68), listed("b", 69), configurationWithKeys(6, 71), listed("c", 72),
	}
}

// countRegressions counts how often the view returns to an older configuration. The returned function ends the
// counting and returns the count.
func countRegressions(fleetState *FleetState) (stopCounting func() (count int)) {
	done, result := make(chan struct{}), make(chan int)
	go func() {
		regressions, newest := 0, uint64(0)
		for {
			version := fleetState.View().Configuration.Version
			if version < newest {
				regressions++
			}
			newest = max(newest, version)
			select {
			case <-done:
				result <- regressions
				return
			default:
			}
		}
	}()
	return func() int {
		close(done)
		return <-result
	}
}

// applyConcurrently applies all facts after an outage from another box. Concurrently, it applies the facts up to a
// split point from the store and the remaining ones from a third box.
func applyConcurrently(fleetState *FleetState, try int) {
	received := factsAfterOutage()
	split := 1 + try%(len(received)-1)
	var started, applied sync.WaitGroup
	started.Add(3)
	fleetState.mu.Lock()
	for from, batches := range map[string][][]fleet.Fact{
		"entry-2": {received},
		"store":   slices.Collect(slices.Chunk(received[:split], 1+try%3)),
		"entry-3": slices.Collect(slices.Chunk(received[split:], 1+try%2)),
	} {
		applied.Go(func() {
			started.Done()
			for _, batch := range batches {
				fleetState.Apply(batch, from)
			}
		})
	}
	started.Wait()
	for range 20000 {
		// The calls need some microseconds to reach the lock.
		_ = received
	}
	fleetState.mu.Unlock()
	applied.Wait()
}

// interleavingTries covers each split point and each batch size three times.
const interleavingTries = 180

// newStateWithThreeServers returns the state of a box that knew three servers and a configuration before an outage
// of the store.
func newStateWithThreeServers() *FleetState {
	fleetState := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
	fleetState.Apply([]fleet.Fact{listed("a", 3), listed("b", 4), listed("c", 5), configurationWithKeys(1, 6)}, "store")
	return fleetState
}

// Guards against an older configuration replacing a newer one when both arrive at once. After an outage of the
// store, a box then refuses keys that the store confirmed seconds earlier.
func TestNewestKeysApplyAfterStoreOutage(t *testing.T) {
	for try := range interleavingTries {
		fleetState := newStateWithThreeServers()
		stopCounting := countRegressions(fleetState)
		applyConcurrently(fleetState, try)
		require.Zero(t, stopCounting(), "try %d: the view returned to an older configuration", try)
		require.Equal(t, fleet.Revision(72), fleetState.Watermarks().Newest)
		for version := 1; version <= 6; version++ {
			_, known := fleetState.View().Organisation(fleet.APIKey(fmt.Sprint("k", version)))
			require.True(t, known, "try %d: key of version %d is refused", try, version)
		}
	}
}

// Guards against a server missing from the view after an outage of the store. Its entry expires during the outage and
// is written again afterwards, and the store and two boxes report both changes at once.
func TestServersReturnAfterStoreOutage(t *testing.T) {
	for try := range interleavingTries {
		fleetState := newStateWithThreeServers()
		applyConcurrently(fleetState, try)
		require.Len(t, fleetState.View().Servers("llm"), 3, "try %d", try)
	}
}
