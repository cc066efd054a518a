package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/table"
)

// Guards against acknowledged edits that are in force nowhere, or revert earlier ones that the boxes know and the restored
// table lacks.
func TestEditsAreKeptAndInForceAfterKeyValueServiceIsRestored(t *testing.T) {
	p, n, s := newConfiguredPlatform(t)
	backup := p.kvServer.Backup()
	for i, column := range []table.Column{table.ColumnWeight, table.ColumnFloor} {
		_, err := s.Edit(t.Context(), rowEdit(table.EditID("lost-"+string(column)), table.Revision(1+i), column, "0.5"))
		require.NoError(t, err)
	}
	_, err := s.Edit(t.Context(), table.Edit{ID: "lost-row", Author: "aya", Base: 3, Changes: []table.Change{
		{Key: table.Key{Group: "new", Model: "kakiwake"}, Set: map[table.Column]string{table.ColumnVersion: "v1"}},
	}})
	require.NoError(t, err)
	eventually(t, func() bool { _, revision := n.view.Rows(); return revision == 4 }, "all edits are in force")
	p.kvServer.Restore(backup)
	edited, err := s.Edit(t.Context(), rowEdit("after", 4, table.ColumnWeight, "7"))
	require.NoError(t, err)
	require.Equal(t, table.Revision(5), edited.Revision)
	want := []table.Row{
		{Group: "kumiai", Model: "kakiwake", Weight: 7, Floor: 0.5, Ceiling: 1, Version: "v1"},
		{Group: "new", Model: "kakiwake", Weight: 1, Ceiling: 1, Version: "v1"},
	}
	require.Equal(t, want, edited.Rows())
	eventually(t, func() bool { _, revision := n.view.Rows(); return revision == 5 }, "the edit is in force")
	rows, _ := n.view.Rows()
	require.Equal(t, want, rows)
}
