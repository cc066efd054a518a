package table

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"
)

var testTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func exampleTable(t require.TestingT) *Table {
	rows := []Row{
		{Group: "a", Model: "m", Weight: 2, Floor: 0.5, Ceiling: 1, Version: "v1"},
		{Group: "b", Model: "m", Weight: 1, Floor: 0.25, Ceiling: 0.75, Version: "v1"},
	}
	current, err := (&Table{}).Apply(Edit{ID: "first", Author: "x", Changes: Diff(nil, rows)}, testTime)
	require.NoError(t, err)
	return current
}

func setCell(group Group, column Column, text string) []Change {
	return []Change{{Key: Key{Group: group, Model: "m"}, Set: map[Column]string{column: text}}}
}

func TestEditsOfDifferentCellsMerge(t *testing.T) {
	current := exampleTable(t)
	current, err := current.Apply(Edit{ID: "one", Base: 1, Changes: setCell("a", ColumnVersion, "v2")}, testTime)
	require.NoError(t, err)
	current, err = current.Apply(Edit{ID: "two", Base: 1, Changes: setCell("a", ColumnWeight, "9")}, testTime)
	require.NoError(t, err)
	require.Equal(t, Row{Group: "a", Model: "m", Weight: 9, Floor: 0.5, Ceiling: 1, Version: "v2"}, current.Rows()[0])
	require.Equal(t, Revision(3), current.Revision)
}

func TestEditsOfTheSameCellConflict(t *testing.T) {
	current, err := exampleTable(t).Apply(Edit{ID: "one", Author: "aya", Base: 1, Changes: setCell("a", ColumnVersion, "v2")}, testTime)
	require.NoError(t, err)
	_, err = current.Apply(Edit{ID: "two", Base: 1, Changes: setCell("a", ColumnVersion, "v3")}, testTime)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []Conflict{{
		Key: Key{"a", "m"}, Column: ColumnVersion, Requested: "v3", Current: "v2", Edit: "two", OtherEdit: "one", OtherAuthor: "aya",
	}}, conflict.Conflicts)
}

func TestRemovedRowConflictsWithAnEditOfIt(t *testing.T) {
	remove := []Change{{Key: Key{"b", "m"}, Remove: true}}
	current, err := exampleTable(t).Apply(Edit{ID: "one", Base: 1, Changes: remove}, testTime)
	require.NoError(t, err)
	require.Len(t, current.Rows(), 1)
	_, err = current.Apply(Edit{ID: "two", Base: 1, Changes: setCell("b", ColumnWeight, "2")}, testTime)
	require.ErrorAs(t, err, new(*ConflictError))
	current, err = current.Apply(Edit{ID: "three", Base: 2, Changes: setCell("b", ColumnVersion, "v9")}, testTime)
	require.NoError(t, err, "an edit based on the removal adds the row again")
	require.Equal(t, Row{Group: "b", Model: "m", Weight: 1, Ceiling: 1, Version: "v9"}, current.Rows()[1])
}

func TestApplyIsIdempotent(t *testing.T) {
	edit := Edit{ID: "one", Base: 1, Changes: setCell("a", ColumnWeight, "5")}
	current, err := exampleTable(t).Apply(edit, testTime)
	require.NoError(t, err)
	again, err := current.Apply(edit, testTime)
	require.NoError(t, err)
	require.Same(t, current, again)
}

func TestRejectedEditLeavesTableUnchanged(t *testing.T) {
	current := exampleTable(t)
	before := current.Rows()
	for _, edit := range []Edit{
		{ID: "one", Base: 1, Changes: setCell("a", ColumnFloor, "0.9")},
		{ID: "two", Base: 1, Changes: setCell("a", "nonsense", "1")},
		{ID: "three", Base: 1, Changes: setCell("a", ColumnWeight, "many")},
		{ID: "four", Base: 1, Changes: []Change{{Key: Key{"z", "m"}, Remove: true}}},
	} {
		_, err := current.Apply(edit, testTime)
		require.ErrorAs(t, err, new(Findings), "%s", edit.ID)
	}
	_, err := current.Apply(Edit{ID: "five", Base: 7}, testTime)
	require.ErrorIs(t, err, ErrBaseAhead)
	_, err = current.Apply(Edit{Base: 1}, testTime)
	require.ErrorIs(t, err, ErrNoEditID)
	require.Equal(t, before, current.Rows())
}

// Each file holds a table and the expected findings with their positions.
func TestParseCSVReportsEveryFindingWithPosition(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			parts := make(map[string]string)
			for _, part := range archive.Files {
				parts[part.Name] = string(part.Data)
			}
			rows, findings := ParseCSV(strings.NewReader(parts["table.csv"]))
			var got strings.Builder
			for _, finding := range findings {
				got.WriteString(finding.String() + "\n")
			}
			require.Equal(t, parts["findings"], got.String())
			if len(findings) > 0 {
				return
			}
			var written bytes.Buffer
			require.NoError(t, WriteCSV(&written, rows))
			require.Equal(t, parts["table.csv"], written.String())
		})
	}
}

// Concurrent edits by several operators must not be lost: either the cell has the text of the edit, or the edit is
// rejected with a conflict.
func TestNoEditIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := exampleTable(t)
		type cell struct {
			group  Group
			column Column
		}
		want := make(map[cell]string)
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			group := rapid.SampledFrom([]Group{"a", "b"}).Draw(t, "group")
			column := rapid.SampledFrom([]Column{ColumnWeight, ColumnVersion}).Draw(t, "column")
			text := fmt.Sprint(rapid.IntRange(1, 9).Draw(t, "value"))
			edit := Edit{
				ID: EditID(fmt.Sprint(i)), Changes: setCell(group, column, text),
				Base: Revision(rapid.Uint64Range(1, uint64(current.Revision)).Draw(t, "base")),
			}
			next, err := current.Apply(edit, testTime)
			var conflict *ConflictError
			if errors.As(err, &conflict) {
				changed := current.Entries[current.entryIndex(Key{group, "m"})].CellRevisions[column]
				require.Greater(t, changed, edit.Base, "conflict without a later edit")
				continue
			}
			require.NoError(t, err)
			current = next
			want[cell{group, column}] = text
		}
		for edited, text := range want {
			row := current.Entries[current.entryIndex(Key{edited.group, "m"})].Row
			require.Equal(t, text, row.Cell(edited.column))
		}
	})
}

func BenchmarkApplyEdit(b *testing.B) {
	for _, rows := range []int{200, 2_000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			var all []Row
			for i := range rows {
				all = append(all, Row{Group: Group(fmt.Sprint("g", i%50)), Model: Model(fmt.Sprint("m", i/50)), Weight: 1, Ceiling: 1, Version: "v1"})
			}
			current, err := (&Table{}).Apply(Edit{ID: "first", Changes: Diff(nil, all)}, testTime)
			require.NoError(b, err)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				change := []Change{{Key: Key{"g7", "m1"}, Set: map[Column]string{ColumnWeight: fmt.Sprint(i + 1)}}}
				_, err := current.Apply(Edit{ID: EditID(fmt.Sprint(i)), Base: 1, Changes: change}, testTime)
				require.NoError(b, err)
			}
		})
	}
}
