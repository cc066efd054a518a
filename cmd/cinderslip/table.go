package main

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/daemon"
	cells "github.com/cinderslip/cinderslip/pkg/table"
)

// revisionPrefix starts the last line of a table that was written as CSV. It
// lets apply see that the table has changed since.
const revisionPrefix = "# revision "

// tableShow shows the table in force.
type tableShow struct {
	Format string `long:"format" choice:"table" choice:"csv" choice:"json" default:"table" description:"how to print it"`
}

func (t *tableShow) Run(env *environment, _ []string) error {
	answer, err := env.client.table(env.ctx)
	if err != nil {
		return err
	}
	switch t.Format {
	case "csv":
		if err := cells.WriteCSV(env.stdout, answer.Rows); err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "%s%d\n", revisionPrefix, answer.Revision)
		return err
	case "json":
		return printJSON(env.stdout, answer)
	}
	writer := newTableWriter(env.stdout, "group", "model", "weight", "floor", "ceiling", "version")
	for _, row := range answer.Rows {
		writer.AppendRow(table.Row{row.Group, row.Model, row.Weight, row.Floor, row.Ceiling, row.Version})
	}
	writer.Render()
	_, err = fmt.Fprintf(env.stdout, "revision %d\n", answer.Revision)
	return err
}

// newTableWriter returns a plain table that fits a terminal and a pipe.
func newTableWriter(w io.Writer, header ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(w)
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	writer.SetStyle(style)
	writer.AppendHeader(table.Row(header))
	return writer
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// editOptions go with every command that edits.
type editOptions struct {
	Author string        `long:"author" value-name:"NAME" description:"who makes the edit; the user's name if absent"`
	Reason string        `long:"reason" value-name:"TEXT" description:"why"`
	ID     string        `long:"id" value-name:"ID" description:"id of the edit; a new one if absent"`
	Wait   time.Duration `long:"wait" value-name:"TIME" default:"10s" description:"how long to look for an edit whose answer was lost"`
}

func (o *editOptions) patch(changes []cells.Change) daemon.TablePatch {
	patch := daemon.TablePatch{ID: cells.EditID(o.ID), Author: o.Author, Reason: o.Reason, Changes: changes}
	if patch.ID == "" {
		patch.ID = cells.EditID(rand.Text())
	}
	if patch.Author == "" {
		patch.Author = "unknown"
		if current, err := user.Current(); err == nil {
			patch.Author = current.Username
		}
	}
	return patch
}

// settlePollInterval is the time between two looks for an edit.
const settlePollInterval = 250 * time.Millisecond

// submit makes an edit. It ends with accepted, refused or, after the time to
// wait, undecided; an edit whose answer was lost is looked for, not made again.
func (o *editOptions) submit(env *environment, base cells.Revision, changes []cells.Change) error {
	patch := o.patch(changes)
	answer, err := env.client.patch(env.ctx, base, patch)
	if err == nil {
		_, err = fmt.Fprintf(env.stdout, "accepted: edit %s is revision %d\n", answer.Edit, answer.Revision)
		return err
	}
	var coded *exitError
	lost := errors.Is(err, errNoResponse) || errors.As(err, &coded) && coded.code == exitUndecided
	if !lost {
		return err
	}
	for deadline := time.Now().Add(o.Wait); time.Now().Before(deadline) && env.ctx.Err() == nil; time.Sleep(settlePollInterval) {
		record, found, findErr := env.client.editRecord(env.ctx, patch.ID)
		if findErr == nil && found {
			_, err = fmt.Fprintf(env.stdout, "accepted: edit %s is revision %d\n", record.ID, record.Revision)
			return err
		}
	}
	return withCode(exitUndecided, fmt.Errorf(
		"undecided: it is not known whether edit %s was accepted (%w); later, settle it with: cinderslip table settle %s",
		patch.ID, err, patch.ID))
}

// tableSet sets cells of one row.
type tableSet struct {
	editOptions
	Remove bool `long:"remove" description:"remove the row"`
}

func (t *tableSet) Run(env *environment, args []string) error {
	if len(args) < 2 || t.Remove != (len(args) == 2) {
		return withCode(exitUsage, errors.New("want GROUP MODEL column=value…, or GROUP MODEL --remove"))
	}
	change := cells.Change{
		Key: cells.Key{Group: cells.Group(args[0]), Model: cells.Model(args[1])}, Remove: t.Remove,
	}
	for _, word := range args[2:] {
		column, value, ok := strings.Cut(word, "=")
		if !ok {
			return withCode(exitUsage, fmt.Errorf("want column=value, got %q", word))
		}
		if change.Set == nil {
			change.Set = make(map[cells.Column]string)
		}
		change.Set[cells.Column(column)] = value
	}
	current, err := env.client.table(env.ctx)
	if err != nil {
		return err
	}
	return t.submit(env, current.Revision, []cells.Change{change})
}

// tableApply makes the table what a file says.
type tableApply struct {
	editOptions
	Base   uint64 `long:"base" value-name:"REVISION" description:"revision that the file is based on; read from the file's last line if absent"`
	DryRun bool   `long:"dry-run" description:"show the difference only"`
}

func (t *tableApply) Run(env *environment, args []string) error {
	rows, revision, err := readCSV(env, args)
	if err != nil {
		return err
	}
	if t.Base != 0 {
		revision = cells.Revision(t.Base)
	}
	current, err := env.client.table(env.ctx)
	if err != nil {
		return err
	}
	if revision == 0 {
		_, _ = fmt.Fprintln(env.stderr, "cinderslip: the file names no revision, so edits made since it was written cannot be seen")
		revision = current.Revision
	}
	if revision != current.Revision {
		return t.refuseStale(env, revision, current.Revision)
	}
	changes := cells.Diff(current.Rows, rows)
	printDiff(env.stdout, current.Rows, changes)
	if len(changes) == 0 || t.DryRun {
		return nil
	}
	return t.submit(env, revision, changes)
}

// refuseStale refuses a file that is based on another revision and names what was
// edited since.
func (t *tableApply) refuseStale(env *environment, base, current cells.Revision) error {
	lines := []string{fmt.Sprintf("refused: the file is based on revision %d, the table is at %d; show it again and redo the change", base, current)}
	if records, err := env.client.history(env.ctx); err == nil {
		for _, record := range records {
			if record.Revision > base {
				lines = append(lines, "  "+describeEdit(record))
			}
		}
	}
	return withCode(exitRefused, errors.New(strings.Join(lines, "\n")))
}

func describeEdit(record cells.EditRecord) string {
	parts := make([]string, 0, len(record.Changes))
	for _, change := range record.Changes {
		parts = append(parts, describeChange(change))
	}
	return fmt.Sprintf("revision %d, edit %s by %s at %s: %s", record.Revision, record.ID, record.Author,
		record.Time.Format(time.RFC3339), strings.Join(parts, "; "))
}

func describeChange(change cells.Change) string {
	if change.Remove {
		return change.String() + " removed"
	}
	var sets []string
	for _, column := range cells.Columns {
		if text, ok := change.Set[column]; ok {
			sets = append(sets, fmt.Sprintf("%s=%s", column, text))
		}
	}
	return change.String() + " " + strings.Join(sets, " ")
}

// printDiff shows each changed cell with its old and new text.
func printDiff(w io.Writer, before []cells.Row, changes []cells.Change) {
	old := make(map[cells.Key]cells.Row, len(before))
	for _, row := range before {
		old[row.Key()] = row
	}
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no difference")
	}
	for _, change := range changes {
		row, existed := old[change.Key]
		switch {
		case change.Remove:
			_, _ = fmt.Fprintf(w, "- %s\n", change.Key)
		case !existed:
			_, _ = fmt.Fprintf(w, "+ %s\n", describeChange(change))
		default:
			for _, column := range cells.Columns {
				if text, ok := change.Set[column]; ok {
					_, _ = fmt.Fprintf(w, "~ %s %s: %s -> %s\n", change.Key, column, row.Cell(column), text)
				}
			}
		}
	}
}

// tableCheck checks a file without a server.
type tableCheck struct{}

func (*tableCheck) Run(env *environment, args []string) error {
	rows, _, err := readCSV(env, args)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "%s: %d rows, no findings\n", args[0], len(rows))
	return err
}

// readCSV reads a table as CSV, with the revision that it names, if any. All
// findings are reported, each with its place.
func readCSV(env *environment, args []string) ([]cells.Row, cells.Revision, error) {
	if len(args) != 1 {
		return nil, 0, withCode(exitUsage, errors.New("want one FILE.csv, or - for standard input"))
	}
	var content []byte
	var err error
	if args[0] == "-" {
		content, err = io.ReadAll(env.stdin)
	} else {
		content, err = os.ReadFile(args[0])
	}
	if err != nil {
		return nil, 0, withCode(exitUsage, fmt.Errorf("reading the table: %w", err))
	}
	rows, findings := cells.ParseCSV(strings.NewReader(string(content)))
	if len(findings) == 0 {
		return rows, revisionOf(string(content)), nil
	}
	lines := make([]string, 0, len(findings)+1)
	lines = append(lines, fmt.Sprintf("%s has %d findings:", args[0], len(findings)))
	for _, finding := range findings {
		lines = append(lines, fmt.Sprintf("  %s: %s", args[0], finding))
	}
	return nil, 0, withCode(exitRefused, errors.New(strings.Join(lines, "\n")))
}

func revisionOf(content string) cells.Revision {
	revision := uint64(0)
	for scanner := bufio.NewScanner(strings.NewReader(content)); scanner.Scan(); {
		if text, ok := strings.CutPrefix(scanner.Text(), revisionPrefix); ok {
			revision, _ = strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		}
	}
	return cells.Revision(revision)
}

// tableHistory shows the last edits.
type tableHistory struct{}

func (*tableHistory) Run(env *environment, _ []string) error {
	records, err := env.client.history(env.ctx)
	if err != nil {
		return err
	}
	for _, record := range records {
		line := describeEdit(record)
		if record.Reason != "" {
			line += " (" + record.Reason + ")"
		}
		if _, err := fmt.Fprintln(env.stdout, line); err != nil {
			return err
		}
	}
	return nil
}

// tableSettle tells what became of an edit that was undecided.
type tableSettle struct{}

func (*tableSettle) Run(env *environment, args []string) error {
	if len(args) != 1 {
		return withCode(exitUsage, errors.New("want the id of an edit"))
	}
	record, found, err := env.client.editRecord(env.ctx, cells.EditID(args[0]))
	if err != nil {
		return err
	}
	if !found {
		return withCode(exitRefused, fmt.Errorf("not in the table: edit %s", args[0]))
	}
	_, err = fmt.Fprintf(env.stdout, "accepted: %s\n", describeEdit(record))
	return err
}
