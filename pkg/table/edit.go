package table

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Change sets cells of one row, adds the row, or removes it.
type Change struct {
	Key
	// Set holds the new text of each changed column.
	Set map[Column]string `json:"set,omitempty"`
	// Remove deletes the row; Set is then empty.
	Remove bool `json:"remove,omitempty"`
}

// Edit is a set of changes that an operator submits. It is applied completely or not at all.
type Edit struct {
	ID     EditID `json:"id"`
	Author string `json:"author"`
	Reason string `json:"reason,omitempty"`
	// Base is the table revision on which the author based the edit.
	Base    Revision `json:"base"`
	Changes []Change `json:"changes"`
}

// Conflict is a cell of an edit that another edit changed after the base revision.
type Conflict struct {
	Key
	Column Column `json:"column"`
	// Requested is the text in the rejected edit, Current the text that the accepted edit left.
	Requested string `json:"wanted"`
	Current   string `json:"current"`
	// Edit is the rejected edit; OtherEdit, by OtherAuthor, is the accepted one.
	Edit        EditID `json:"edit"`
	OtherEdit   EditID `json:"other_edit"`
	OtherAuthor string `json:"other_author"`
}

// ConflictError reports all cells of an edit that are in conflict.
type ConflictError struct {
	Base      Revision
	Current   Revision
	Conflicts []Conflict
}

// Error lists the revisions and the cells in conflict.
func (e *ConflictError) Error() string {
	parts := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		parts = append(parts, fmt.Sprintf("%s %s: edit %s wants %q, edit %s by %q made it %q",
			c.Key, c.Column, c.Edit, c.Requested, c.OtherEdit, c.OtherAuthor, c.Current))
	}
	return fmt.Sprintf("conflict between revision %d and %d: %s", e.Base, e.Current, strings.Join(parts, "; "))
}

// ErrBaseAhead reports an edit whose base revision does not exist yet.
var ErrBaseAhead = errors.New("base revision is newer than the table")

// ErrNoEditID reports an edit without an ID.
var ErrNoEditID = errors.New("edit has no id")

// Apply returns a new table with the edit applied; t is unchanged. If the history already contains the edit, Apply
// returns t itself. Errors are *ConflictError or Findings, or wrap ErrBaseAhead or ErrNoEditID.
func (t *Table) Apply(edit Edit, now time.Time) (*Table, error) {
	if edit.ID == "" {
		return nil, ErrNoEditID
	}
	if _, done := t.Find(edit.ID); done {
		return t, nil
	}
	if edit.Base > t.Revision {
		return nil, fmt.Errorf("base %d, table %d: %w", edit.Base, t.Revision, ErrBaseAhead)
	}
	if conflicts := t.conflicts(edit); len(conflicts) > 0 {
		return nil, &ConflictError{Base: edit.Base, Current: t.Revision, Conflicts: conflicts}
	}
	next := t.clone()
	next.Revision++
	var findings Findings
	for _, change := range edit.Changes {
		findings = append(findings, next.apply(change)...)
	}
	findings = append(findings, Check(next.Rows())...)
	if len(findings) > 0 {
		return nil, findings
	}
	next.record(edit, now)
	return next, nil
}

func (t *Table) record(edit Edit, now time.Time) {
	t.History = append(t.History, EditRecord{
		ID: edit.ID, Revision: t.Revision, Author: edit.Author,
		Reason: edit.Reason, Time: now.UTC(), Changes: edit.Changes,
	})
	if extra := len(t.History) - maxHistoryLength; extra > 0 {
		t.History = t.History[extra:]
	}
}

func (t *Table) conflicts(edit Edit) []Conflict {
	var conflicts []Conflict
	for _, change := range edit.Changes {
		index := t.entryIndex(change.Key)
		if index < 0 {
			continue
		}
		entry := t.Entries[index]
		for _, column := range change.affectedColumns(entry) {
			changed := entry.CellRevisions[column]
			if changed <= edit.Base {
				continue
			}
			other := t.recordAt(changed)
			conflicts = append(conflicts, Conflict{
				Key: change.Key, Column: column,
				Requested: change.Set[column], Current: entry.Cell(column),
				Edit: edit.ID, OtherEdit: other.ID, OtherAuthor: other.Author,
			})
		}
	}
	return conflicts
}

// affectedColumns returns the columns that the change can conflict on. Removing a row, or adding a removed row again,
// affects all of them.
func (c Change) affectedColumns(entry Entry) []Column {
	if c.Remove || entry.Deleted {
		return editableColumns
	}
	var columns []Column
	for _, column := range editableColumns {
		if _, ok := c.Set[column]; ok {
			columns = append(columns, column)
		}
	}
	return columns
}

func (t *Table) apply(change Change) Findings {
	index := t.entryIndex(change.Key)
	if change.Remove {
		return t.remove(change, index)
	}
	if index < 0 {
		t.Entries = append(t.Entries, Entry{Row: NewRow(change.Key), Deleted: true})
		index = len(t.Entries) - 1
	}
	entry := &t.Entries[index]
	created := entry.Deleted
	if created {
		entry.Row = NewRow(change.Key)
		entry.Deleted = false
		entry.CellRevisions = make(map[Column]Revision, len(editableColumns))
	}
	var findings Findings
	for column, text := range change.Set {
		if message := entry.setValue(column, text); message != "" {
			findings = append(findings, Finding{Key: change.Key, Column: column, Message: message})
		}
	}
	for _, column := range editableColumns {
		if _, set := change.Set[column]; set || created {
			entry.CellRevisions[column] = t.Revision
		}
	}
	entry.Revision = t.Revision
	return findings
}

func (e *Entry) setValue(column Column, text string) string {
	if column == ColumnGroup || column == ColumnModel {
		return "cannot be changed; remove the row and add another"
	}
	return e.set(column, text)
}

func (t *Table) remove(change Change, index int) Findings {
	if index < 0 || t.Entries[index].Deleted {
		return Findings{{Key: change.Key, Message: "no such row to remove"}}
	}
	entry := &t.Entries[index]
	entry.Deleted = true
	entry.Revision = t.Revision
	for _, column := range editableColumns {
		entry.CellRevisions[column] = t.Revision
	}
	return nil
}

// Diff returns the changes that turn the rows before into the rows after.
func Diff(before, after []Row) []Change {
	old := make(map[Key]Row, len(before))
	for _, row := range before {
		old[row.Key()] = row
	}
	var changes []Change
	for _, row := range after {
		previous, existed := old[row.Key()]
		delete(old, row.Key())
		set := changedCells(previous, row, existed)
		if len(set) > 0 {
			changes = append(changes, Change{Key: row.Key(), Set: set})
		}
	}
	for _, row := range before {
		if _, removed := old[row.Key()]; removed {
			changes = append(changes, Change{Key: row.Key(), Remove: true})
		}
	}
	return changes
}

func changedCells(previous, row Row, existed bool) map[Column]string {
	set := make(map[Column]string)
	for _, column := range editableColumns {
		if !existed || previous.Cell(column) != row.Cell(column) {
			set[column] = row.Cell(column)
		}
	}
	return set
}
