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

// runInterleaved runs two calls that take the same lock so that, as often as not, the second goes
// on before the first, which waits for the lock when the second begins.
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
		// The first call needs some microseconds to come to the lock.
		_ = waiting
	}
	unlock()
	second()
	<-done
}

const interleavings = 3000

// A box heard from one that another was up, and at the same moment from that one itself that it
// was starting. The older word was kept last, and callers were not led there for good.
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

// The same of entries of the store: a server that had left stayed believed.
func TestNewerOfConcurrentEntriesWins(t *testing.T) {
	gone := fleet.Fact{Key: fleet.ServerKey("a"), Revision: 7, Deleted: true}
	for range interleavings {
		facts := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		runInterleaved(
			facts.mu.Lock, facts.mu.Unlock,
			func() { facts.Apply([]fleet.Fact{listed("a", 3)}, "entry-2") }, func() { facts.Apply([]fleet.Fact{gone}, "store") },
		)
		require.Empty(t, facts.View().Servers("llm"))
	}
}

// The same the other way round: a server that was back stayed gone until it wrote its entry anew.
func TestServerReturningDuringDeletionIsKept(t *testing.T) {
	for range interleavings / 6 {
		facts := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		runInterleaved(
			facts.mu.Lock, facts.mu.Unlock,
			func() { facts.Apply([]fleet.Fact{deleted()}, "store") }, func() { facts.Apply([]fleet.Fact{listed("a", 9)}, "entry-2") },
		)
		require.Len(t, facts.View().Servers("llm"), 1)
	}
}

// configurationWithKeys is a configuration in which each version up to its own has added a key.
func configurationWithKeys(version uint64, revision fleet.Revision) fleet.Fact {
	organisation := fleet.Organisation{Name: "kumiai"}
	for v := uint64(1); v <= version; v++ {
		organisation.Keys = append(organisation.Keys, fleet.APIKey(fmt.Sprint("k", v)))
	}
	return fleet.Fact{Key: fleet.ConfigurationKey(), Revision: revision, Configuration: &fleet.Configuration{
		Version: version, Services: []fleet.Service{{Name: "llm"}}, Organisations: []fleet.Organisation{organisation},
	}}
}

// Two batches of configurations come from two sides at the same moment: the key that the newest
// one adds counts, whichever batch is taken last.
func TestNewestOfConcurrentConfigurationsApplies(t *testing.T) {
	for range interleavings / 6 {
		facts := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		runInterleaved(
			facts.mu.Lock, facts.mu.Unlock,
			func() { facts.Apply([]fleet.Fact{configurationWithKeys(1, 4), configurationWithKeys(2, 5)}, "entry-2") },
			func() { facts.Apply([]fleet.Fact{configurationWithKeys(3, 8), configurationWithKeys(4, 9)}, "store") },
		)
		_, known := facts.View().Organisation("k4")
		require.True(t, known)
	}
}

// factsAfterOutage is what is told once the store is back from a silence in which entries ran out:
// their deletions, and five configurations with the servers that come back among them.
func factsAfterOutage() []fleet.Fact {
	deleted := func(id fleet.ServerID, revision fleet.Revision) fleet.Fact {
		return fleet.Fact{Key: fleet.ServerKey(id), Revision: revision, Deleted: true}
	}
	return []fleet.Fact{
		deleted("a", 50), deleted("b", 51), deleted("c", 52), configurationWithKeys(2, 64), configurationWithKeys(3, 65), listed("a", 66),
		configurationWithKeys(4, 67), configurationWithKeys(5, 68), listed("b", 69), configurationWithKeys(6, 71), listed("c", 72),
	}
}

// countRegressions counts how often the view goes back to an older configuration, until it is ended.
func countRegressions(facts *FleetState) (end func() (back int)) {
	stop, back := make(chan struct{}), make(chan int)
	go func() {
		steps, newest := 0, uint64(0)
		for {
			version := facts.View().Configuration.Version
			if version < newest {
				steps++
			}
			newest = max(newest, version)
			select {
			case <-stop:
				back <- steps
				return
			default:
			}
		}
	}()
	return func() int {
		close(stop)
		return <-back
	}
}

// applyConcurrently lets a box hear of all that the store tells after its return from another box, and at
// the same moment of the part before a place from the store and of the rest from a third box.
func applyConcurrently(facts *FleetState, try int) {
	told := factsAfterOutage()
	cut := 1 + try%(len(told)-1)
	var begun, heard sync.WaitGroup
	begun.Add(3)
	facts.mu.Lock()
	for from, batches := range map[string][][]fleet.Fact{
		"entry-2": {told},
		"store":   slices.Collect(slices.Chunk(told[:cut], 1+try%3)),
		"entry-3": slices.Collect(slices.Chunk(told[cut:], 1+try%2)),
	} {
		heard.Go(func() {
			begun.Done()
			for _, batch := range batches {
				facts.Apply(batch, from)
			}
		})
	}
	begun.Wait()
	for range 20000 {
		// The calls need some microseconds to come to the lock.
		_ = told
	}
	facts.mu.Unlock()
	heard.Wait()
}

// interleavingTries play each place and each size of batches three times.
const interleavingTries = 180

// newStateWithThreeServers is a box that knew three servers and a configuration before the store fell silent.
func newStateWithThreeServers() *FleetState {
	facts := NewFleetState(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
	facts.Apply([]fleet.Fact{listed("a", 3), listed("b", 4), listed("c", 5), configurationWithKeys(1, 6)}, "store")
	return facts
}

// The store was back after a silence, and two boxes refused keys that it had confirmed seconds
// before. From whatever sides the news comes at once, the newest configuration is in force.
func TestNewestKeysApplyAfterStoreOutage(t *testing.T) {
	for try := range interleavingTries {
		facts := newStateWithThreeServers()
		end := countRegressions(facts)
		applyConcurrently(facts, try)
		require.Zero(t, end(), "try %d: the view went back", try)
		require.Equal(t, fleet.Revision(72), facts.Watermarks().Newest)
		for version := 1; version <= 6; version++ {
			_, known := facts.View().Organisation(fleet.APIKey(fmt.Sprint("k", version)))
			require.True(t, known, "try %d: the key of version %d is refused", try, version)
		}
	}
}

// The same of the servers whose entries had run out: all that come back are believed again.
func TestServersReturnAfterStoreOutage(t *testing.T) {
	for try := range interleavingTries {
		facts := newStateWithThreeServers()
		applyConcurrently(facts, try)
		require.Len(t, facts.View().Servers("llm"), 3, "try %d", try)
	}
}
