// Package table holds the operators' table: a row for each group and model.
//
// A row gives a group its weight, its floor and ceiling (shares from 0 to 1 of
// the model's pool) and the model version that it runs. An edit names cells and
// the revision of the table that its author saw. Edits of different cells merge;
// an edit of a cell that changed after that revision is a conflict, and the
// conflict names both edits. Each accepted edit is kept in the history under an
// id chosen by its author, so that an edit whose answer was lost is settled by
// looking for its id, never by making it twice.
//
// Nothing here does I/O; the caller writes a Table back with compare-and-swap.
//
// # Usage
//
//	rows, findings := table.ParseCSV(file)
//	next, err := current.Apply(table.Edit{ID: id, Base: 12, Changes: changes}, now)
//	if conflict := (*table.ConflictError)(nil); errors.As(err, &conflict) {
//		// conflict.Conflicts names the cells and both edits
//	}
package table

import (
	"slices"
	"strconv"
	"time"
)

// Group is a research group or another customer group of an organisation.
type Group string

// Model names a model; its backend servers answer under the service of that name.
type Model string

// ModelVersion names a published version of a model's weights.
type ModelVersion string

// Revision counts accepted edits. The empty table has revision 0.
type Revision uint64

// EditID is chosen by the author of an edit and is unique.
type EditID string

// Column is a column that an edit can change.
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

// editableColumns are those that an edit may change in a row that exists.
var editableColumns = Columns[2:]

// Key identifies a row.
type Key struct {
	Group Group `json:"group"`
	Model Model `json:"model"`
}

// String returns the key as "group/model".
func (k Key) String() string { return string(k.Group) + "/" + string(k.Model) }

// Row is one line of the table.
type Row struct {
	Group Group `json:"group" cbor:"1,keyasint,omitempty"`
	Model Model `json:"model" cbor:"2,keyasint,omitempty"`
	// Weight is relative to the other rows of the model; more than 0.
	Weight float64 `json:"weight" cbor:"3,keyasint,omitempty"`
	// Floor is the guaranteed share of the model's pool, 0 to 1.
	Floor float64 `json:"floor" cbor:"4,keyasint,omitempty"`
	// Ceiling is the largest share of the model's pool, 0 to 1.
	Ceiling float64      `json:"ceiling" cbor:"5,keyasint,omitempty"`
	Version ModelVersion `json:"version" cbor:"6,keyasint,omitempty"`
}

// Key returns the row's key.
func (r Row) Key() Key { return Key{Group: r.Group, Model: r.Model} }

// Cell returns the text of one cell as it stands in the CSV form.
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

// set changes one cell and returns a message if the text does not fit.
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

// NewRow returns a row with the defaults for cells that an edit leaves out.
func NewRow(key Key) Row {
	return Row{Group: key.Group, Model: key.Model, Weight: 1, Ceiling: 1}
}

// Entry is a row as kept, with the revisions that say what changed when.
type Entry struct {
	Row
	// Revision is that of the last edit of the row.
	Revision Revision `json:"revision"`
	// CellRevisions gives the last edit of each changeable column.
	CellRevisions map[Column]Revision `json:"cells"`
	// Deleted marks a row that was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// EditRecord is the history of one accepted edit.
type EditRecord struct {
	ID       EditID    `json:"id"`
	Revision Revision  `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason,omitempty"`
	Time     time.Time `json:"time"`
	Changes  []Change  `json:"changes"`
}

// maxHistoryLength bounds the records kept with the table, so that its value
// stays far below the limit of the key-value service.
const maxHistoryLength = 200

// Table is the whole table as kept in the key-value service.
type Table struct {
	Revision Revision     `json:"revision"`
	Entries  []Entry      `json:"rows"`
	History  []EditRecord `json:"history"`
}

// Rows returns the rows that exist, ordered by model, then group.
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

// SortRows orders rows by model, then group.
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

// Find returns the record of an edit, if it was accepted and is still kept.
func (t *Table) Find(id EditID) (EditRecord, bool) {
	for _, record := range t.History {
		if record.ID == id {
			return record, true
		}
	}
	return EditRecord{}, false
}

// recordAt returns the record that made a revision, if it is still kept.
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
