// Package table holds the table in which operators divide models among groups, with a row for each group and model.
//
// A row sets a group's weight, its floor and ceiling (shares from 0 to 1 of the model's pool) and the model version
// that serves it. An edit lists cells to change and the revision of the table that it is based on. Edits of different
// cells merge; an edit of a cell that changed after the base revision is a conflict, which identifies both edits. The
// history keeps each accepted edit under an ID chosen by its author. An author who did not receive the response to an
// edit looks up the ID instead of submitting the edit under a new one, so the edit is never applied twice.
//
// The package does no I/O; the caller stores a Table with compare-and-swap.
//
// # Usage
//
//	rows, findings := table.ParseCSV(file)
//	next, err := current.Apply(table.Edit{ID: id, Base: 12, Changes: changes}, now)
//	if conflict := (*table.ConflictError)(nil); errors.As(err, &conflict) {
//		// conflict.Conflicts lists the cells and both edits
//	}
package table

import (
	"slices"
	"strconv"
	"time"
)

// Group is the name of a customer group of an organisation, for example a research group.
type Group string

// Model is the name of a model. Its backend servers respond to requests for the service of that name.
type Model string

// ModelVersion is the name of a published version of a model's weights.
type ModelVersion string

// Revision counts accepted edits. The empty table has revision 0.
type Revision uint64

// EditID identifies an edit. Its author chooses it, and it must be unique.
type EditID string

// Column is the name of a column of the table.
type Column string

// The columns of a row, in the order of the CSV form.
const (
	ColumnGroup   Column = "group"
	ColumnModel   Column = "model"
	ColumnWeight  Column = "weight"
	ColumnFloor   Column = "floor"
	ColumnCeiling Column = "ceiling"
	ColumnVersion Column = "version"
)

// Columns lists all columns in the order of the CSV form.
var Columns = []Column{ColumnGroup, ColumnModel, ColumnWeight, ColumnFloor, ColumnCeiling, ColumnVersion}

// editableColumns holds the columns that an edit can change in an existing row.
var editableColumns = Columns[2:]

// Key identifies a row.
type Key struct {
	Group Group `json:"group"`
	Model Model `json:"model"`
}

// String returns the key as "group/model".
func (k Key) String() string { return string(k.Group) + "/" + string(k.Model) }

// Row is one row of the table.
type Row struct {
	Group Group `json:"group" cbor:"1,keyasint,omitempty"`
	Model Model `json:"model" cbor:"2,keyasint,omitempty"`
	// Weight is relative to the other rows of the model; it must be above 0.
	Weight float64 `json:"weight" cbor:"3,keyasint,omitempty"`
	// Floor is the guaranteed share of the model's pool, from 0 to 1.
	Floor float64 `json:"floor" cbor:"4,keyasint,omitempty"`
	// Ceiling is the maximum share of the model's pool, from 0 to 1.
	Ceiling float64      `json:"ceiling" cbor:"5,keyasint,omitempty"`
	Version ModelVersion `json:"version" cbor:"6,keyasint,omitempty"`
}

// Key returns the row's key.
func (r Row) Key() Key { return Key{Group: r.Group, Model: r.Model} }

// Cell returns the text of one cell in CSV form; empty for an unknown column.
func (r Row) Cell(column Column) string {
	switch column {
	case ColumnGroup:
		return string(r.Group)
	case ColumnModel:
		return string(r.Model)
	case ColumnWeight:
		return formatNumber(r.Weight)
	case ColumnFloor:
		return formatNumber(r.Floor)
	case ColumnCeiling:
		return formatNumber(r.Ceiling)
	case ColumnVersion:
		return string(r.Version)
	}
	return ""
}

// set changes one cell. It returns an error message if the column is unknown or the text cannot be parsed.
func (r *Row) set(column Column, text string) string {
	switch column {
	case ColumnGroup:
		r.Group = Group(text)
	case ColumnModel:
		r.Model = Model(text)
	case ColumnWeight:
		return parseNumber(text, &r.Weight)
	case ColumnFloor:
		return parseNumber(text, &r.Floor)
	case ColumnCeiling:
		return parseNumber(text, &r.Ceiling)
	case ColumnVersion:
		r.Version = ModelVersion(text)
	default:
		return "unknown column"
	}
	return ""
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func parseNumber(text string, value *float64) string {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "want a number, got " + strconv.Quote(text)
	}
	*value = number
	return ""
}

// NewRow returns a row with the default values of the cells that an edit does not set.
func NewRow(key Key) Row {
	return Row{Group: key.Group, Model: key.Model, Weight: 1, Ceiling: 1}
}

// Entry is a row as stored, with the revisions of its last changes.
type Entry struct {
	Row
	// Revision is the revision of the last edit of the row.
	Revision Revision `json:"revision"`
	// CellRevisions holds the revision of the last edit of each editable column.
	CellRevisions map[Column]Revision `json:"cells"`
	// Deleted is set for a row that was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// EditRecord is the history entry of one accepted edit.
type EditRecord struct {
	ID       EditID    `json:"id"`
	Revision Revision  `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason,omitempty"`
	Time     time.Time `json:"time"`
	Changes  []Change  `json:"changes"`
}

// maxHistoryLength limits the number of edits in the history, which keeps the encoded table far below the value limit
// of the key-value service.
const maxHistoryLength = 200

// Table is the complete table as stored in the key-value service.
type Table struct {
	Revision Revision     `json:"revision"`
	Entries  []Entry      `json:"rows"`
	History  []EditRecord `json:"history"`
}

// Rows returns the rows that are not deleted, sorted by model, then group.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.Entries))
	for _, entry := range t.Entries {
		if !entry.Deleted {
			rows = append(rows, entry.Row)
		}
	}
	SortRows(rows)
	return rows
}

// SortRows sorts rows by model, then group.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Model != b.Model {
			return compareText(string(a.Model), string(b.Model))
		}
		return compareText(string(a.Group), string(b.Group))
	})
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Complete returns the table of at least the given revision, with the entries that are newer than its own. It restores
// the edits that a table from a backup lacks, from the rows that were replicated of a later revision. All cells of such a
// row count as changed at the revision of the row. The history lacks these edits.
func (t *Table) Complete(revision Revision, newer []Entry) *Table {
	next := t.clone()
	next.Revision = max(next.Revision, revision)
	for _, entry := range newer {
		index := next.entryIndex(entry.Key())
		if index < 0 {
			next.Entries = append(next.Entries, Entry{})
			index = len(next.Entries) - 1
		}
		if next.Entries[index].Revision >= entry.Revision {
			continue
		}
		entry.CellRevisions = make(map[Column]Revision, len(editableColumns))
		for _, column := range editableColumns {
			entry.CellRevisions[column] = entry.Revision
		}
		next.Entries[index] = entry
	}
	return next
}

// Find returns the record of an accepted edit that is still in the history.
func (t *Table) Find(id EditID) (EditRecord, bool) {
	for _, record := range t.History {
		if record.ID == id {
			return record, true
		}
	}
	return EditRecord{}, false
}

// recordAt returns the record of a revision. If it is no longer in the history, only Revision is set.
func (t *Table) recordAt(revision Revision) EditRecord {
	for _, record := range t.History {
		if record.Revision == revision {
			return record
		}
	}
	return EditRecord{Revision: revision}
}

func (t *Table) entryIndex(key Key) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Key() == key })
}

func (t *Table) clone() *Table {
	next := &Table{
		Revision: t.Revision,
		Entries:  slices.Clone(t.Entries),
		History:  slices.Clone(t.History),
	}
	for i := range next.Entries {
		next.Entries[i].CellRevisions = cloneCells(next.Entries[i].CellRevisions)
	}
	return next
}

func cloneCells(cells map[Column]Revision) map[Column]Revision {
	out := make(map[Column]Revision, len(cells))
	for column, revision := range cells {
		out[column] = revision
	}
	return out
}
