package direct

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// interleaved runs two calls that take the same lock so that, as often as not, the second goes
// on before the first, which waits for the lock when the second begins.
func interleaved(lock, unlock, first, second func()) {
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
func TestOfTwoWordsAtTheSameMomentTheNewerStays(t *testing.T) {
	older := recordsOf(t, member.Record{Box: "b", Incarnation: 1, Sequence: 1, Status: member.StatusStarting})
	newer := recordsOf(t, member.Record{Box: "b", Incarnation: 1, Sequence: 2, Status: member.StatusUp})
	for range interleavings {
		m := newTestMembers(clockwork.NewFakeClock(), "self")
		interleaved(m.mu.Lock, m.mu.Unlock, func() { m.Learn(older, "b") }, func() { m.Learn(newer, "c") })
		record, known := m.Record("b")
		require.True(t, known)
		require.Equal(t, member.StatusUp, record.Status)
	}
}

// The same of entries of the store: a server that had left stayed believed.
func TestOfTwoEntriesAtTheSameMomentTheNewerStays(t *testing.T) {
	gone := fleet.Fact{Key: fleet.ServerKey("a"), Revision: 7, Gone: true}
	for range interleavings {
		facts := NewFacts(clockwork.NewFakeClock(), zerolog.Nop(), NewMetrics())
		interleaved(
			facts.mu.Lock, facts.mu.Unlock,
			func() { facts.Apply([]fleet.Fact{listed("a", 3)}, "entry-2") }, func() { facts.Apply([]fleet.Fact{gone}, "store") },
		)
		require.Empty(t, facts.View().Servers("llm"))
	}
}
