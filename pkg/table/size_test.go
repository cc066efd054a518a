package table

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxValueSize is the largest value that the key-value service holds, in bytes.
const maxValueSize = 1 << 20

// A table of 2,000 rows, each edited since, with a full history.
func TestTableOfTwoThousandRowsFitsOneValue(t *testing.T) {
	var rows []Row
	for i := range 2_000 {
		rows = append(rows, Row{Group: Group(fmt.Sprintf("group-%02d", i%50)), Model: Model(fmt.Sprintf("model-%02d", i/50)), Weight: 1, Ceiling: 1, Version: "2026.12"})
	}
	held, err := (&Table{}).Apply(Edit{ID: "first", Changes: Diff(nil, rows)}, testTime)
	require.NoError(t, err)
	for i := range maxHistoryLength + 10 {
		held, err = held.Apply(Edit{ID: EditID(fmt.Sprint("edit-", i)), Author: "aya", Base: held.Revision, Changes: []Change{
			{Key: rows[i].Key(), Set: map[Column]string{ColumnWeight: "2"}},
		}}, testTime)
		require.NoError(t, err)
	}
	value, err := json.Marshal(held)
	require.NoError(t, err)
	t.Logf("%d bytes", len(value))
	require.Less(t, len(value), maxValueSize)
}
