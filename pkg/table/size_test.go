package table

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxValueSize is the maximum value size of the key-value service, in bytes.
const maxValueSize = 1 << 20

// A table of 2,000 rows with a full history has to fit into one value of the key-value service.
func TestTableOfTwoThousandRowsFitsOneValue(t *testing.T) {
	var rows []Row
	for i := range 2_000 {
		rows = append(rows, Row{Group: Group(fmt.Sprintf("group-%02d", i%50)), Model: Model(fmt.Sprintf("model-%02d", i/50)), Weight: 1, Ceiling: 1, Version: "2026.12"})
	}
	current, err := (&Table{}).Apply(Edit{ID: "first", Changes: Diff(nil, rows)}, testTime)
	require.NoError(t, err)
	for i := range maxHistoryLength + 10 {
		current, err = current.Apply(Edit{ID: EditID(fmt.Sprint("edit-", i)), Author: "aya", Base: current.Revision, Changes: []Change{
			{Key: rows[i].Key(), Set: map[Column]string{ColumnWeight: "2"}},
		}}, testTime)
		require.NoError(t, err)
	}
	value, err := json.Marshal(current)
	require.NoError(t, err)
	t.Logf("%d bytes", len(value))
	require.Less(t, len(value), maxValueSize)
}
