package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/standin"
	"github.com/cinderslip/cinderslip/pkg/table"
)

func newTestTableStore(t *testing.T, p *testPlatform, n *testNode) *TableStore {
	t.Helper()
	s := NewTableStore(p.kvClient, []provider.WeightSource{p.source}, n.replica, clockwork.NewRealClock(), nopLogger(), NewMetrics(), always)
	t.Cleanup(func() { stopService(t, s) })
	return s
}

func rowEdit(id table.EditID, base table.Revision, column table.Column, text string) table.Edit {
	return table.Edit{ID: id, Author: "aya", Base: base, Changes: []table.Change{
		{Key: table.Key{Group: "kumiai", Model: "kakiwake"}, Set: map[table.Column]string{column: text}},
	}}
}

// newConfiguredPlatform returns a platform with one published version and a table of one row.
func newConfiguredPlatform(t *testing.T) (*testPlatform, *testNode, *TableStore) {
	t.Helper()
	p := newTestPlatform(t)
	p.publish(t, "kakiwake", "v1", []byte("weights"), 4)
	n := newTestNode(t, 1, noLinks)
	s := newTestTableStore(t, p, n)
	_, err := s.Edit(t.Context(), rowEdit("first", 0, table.ColumnVersion, "v1"))
	require.NoError(t, err)
	return p, n, s
}

func TestEditReachesAllEntryBoxes(t *testing.T) {
	p, n, _ := newConfiguredPlatform(t)
	other := newTestNode(t, 2, noLinks)
	newTestTableStore(t, p, other)
	for _, node := range []*testNode{n, other} {
		eventually(t, func() bool {
			rows, revision := node.view.Rows()
			return revision == 1 && len(rows) == 1 && rows[0].Version == "v1"
		}, "the row is in force")
	}
}

func TestEditWithLostResponseIsAppliedOnce(t *testing.T) {
	p, _, s := newConfiguredPlatform(t)
	var once sync.Once
	p.kvServer.SetFault(func(path string) (fault standin.Fault) {
		if path == "/v3/kv/txn" {
			once.Do(func() { fault.DropResponse = true })
		}
		return fault
	})
	edited, err := s.Edit(t.Context(), rowEdit("lost", 1, table.ColumnWeight, "5"))
	require.NoError(t, err)
	require.Equal(t, table.Revision(2), edited.Revision)
	records, err := s.History(t.Context())
	require.NoError(t, err)
	require.Len(t, records, 2)
}

func TestPossiblyAppliedEditIsNeverReportedAsRefused(t *testing.T) {
	p, _, s := newConfiguredPlatform(t)
	// The service applies the write, drops the response, and then becomes unavailable.
	var mu sync.Mutex
	down := false
	p.kvServer.SetFault(func(path string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if down {
			return standin.Fault{Status: http.StatusServiceUnavailable}
		}
		down = path == "/v3/kv/txn"
		return standin.Fault{DropResponse: down}
	})
	_, err := s.Edit(t.Context(), rowEdit("undecided", 1, table.ColumnWeight, "5"))
	require.ErrorIs(t, err, ErrUndecided)
	p.kvServer.SetFault(nil)
	_, found, err := s.Find(t.Context(), "undecided")
	require.NoError(t, err)
	require.True(t, found, "a later lookup by id finds the edit")
}

func TestEditDuringAnOutageChangesNothing(t *testing.T) {
	p, _, s := newConfiguredPlatform(t)
	p.kvServer.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	_, err := s.Edit(t.Context(), rowEdit("down", 1, table.ColumnWeight, "5"))
	require.ErrorIs(t, err, provider.ErrUnavailable)
	require.NotErrorIs(t, err, ErrUndecided)
	p.kvServer.SetFault(nil)
	_, found, err := s.Find(t.Context(), "down")
	require.NoError(t, err)
	require.False(t, found)
}

func TestConcurrentEditsMergeOrConflict(t *testing.T) {
	_, n, s := newConfiguredPlatform(t)
	columns := map[table.EditID]table.Column{"a": table.ColumnWeight, "b": table.ColumnFloor, "c": table.ColumnWeight}
	results := make(map[table.EditID]error)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for id, column := range columns {
		wait.Go(func() {
			_, err := s.Edit(t.Context(), rowEdit(id, 1, column, "0.5"))
			mu.Lock()
			defer mu.Unlock()
			results[id] = err
		})
	}
	wait.Wait()
	require.NoError(t, results["b"], "the only edit of its cell")
	conflicts := 0
	for _, id := range []table.EditID{"a", "c"} {
		if results[id] != nil {
			require.ErrorAs(t, results[id], new(*table.ConflictError))
			conflicts++
		}
	}
	require.Equal(t, 1, conflicts, "one of the two edits of the same cell")
	eventually(t, func() bool { _, revision := n.view.Rows(); return revision == 3 }, "both other edits are in force")
}

// Guards against a table that was read just before another edit being taken for one that was restored from a backup.
func TestEditPublishedDuringReadIsNoRestore(t *testing.T) {
	p, n, s := newConfiguredPlatform(t)
	type readerKey struct{}
	var isDone atomic.Bool
	get := p.kvClient.Get
	p.kvClient.Get = func(ctx context.Context, key string) (provider.KeyValueEntry, error) {
		entry, err := get(ctx, key)
		if ctx.Value(readerKey{}) != nil && isDone.CompareAndSwap(false, true) {
			_, editErr := s.Edit(t.Context(), rowEdit("other", 1, table.ColumnWeight, "0.5"))
			require.NoError(t, editErr)
		}
		return entry, err
	}
	reader := newTestTableStore(t, p, n)
	_, err := reader.Edit(context.WithValue(t.Context(), readerKey{}, true), rowEdit("b", 1, table.ColumnFloor, "0.5"))
	require.NoError(t, err)
}

func TestUnpublishedVersionIsAFinding(t *testing.T) {
	_, _, s := newConfiguredPlatform(t)
	_, err := s.Edit(t.Context(), rowEdit("bad", 1, table.ColumnVersion, "v9"))
	var findings table.Findings
	require.ErrorAs(t, err, &findings)
	require.Equal(t, table.ColumnVersion, findings[0].Column)
}
