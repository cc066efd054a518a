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

// revisionPrefix starts the last line of a table in CSV form. The revision in this line lets apply detect that the
// table was edited after the file was written.
const revisionPrefix = "# revision "

// tableShow prints the current table.
type tableShow struct {
	Format string `long:"format" choice:"table" choice:"csv" choice:"json" default:"table" description:"how to print it"`
}

func (t *tableShow) Run(env *environment, _ []string) error {
	response, err := env.client.table(env.ctx)
	if err != nil {
		return err
	}
	switch t.Format {
	case "csv":
		if err := cells.WriteCSV(env.stdout, response.Rows); err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "%s%d\n", revisionPrefix, response.Revision)
		return err
	case "json":
		return printJSON(env.stdout, response)
	}
	writer := newTableWriter(env.stdout, "group", "model", "weight", "floor", "ceiling", "version")
	for _, row := range response.Rows {
		writer.AppendRow(table.Row{row.Group, row.Model, row.Weight, row.Floor, row.Ceiling, row.Version})
	}
	writer.Render()
	_, err = fmt.Fprintf(env.stdout, "revision %d\n", response.Revision)
	return err
}

// newTableWriter returns a writer for a text table without borders, readable on a terminal and by other programs.
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

// editOptions are the options of every command that edits the table.
type editOptions struct {
	Author string        `long:"author" value-name:"NAME" description:"who makes the edit; the user's name if absent"`
	Reason string        `long:"reason" value-name:"TEXT" description:"why"`
	ID     string        `long:"id" value-name:"ID" description:"id of the edit; a new one if absent"`
	Wait   time.Duration `long:"wait" value-name:"TIME" default:"10s" description:"how long to look for an edit whose response was lost"`
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

// settlePollInterval is the time between two queries for an edit.
const settlePollInterval = 250 * time.Millisecond

// submit sends an edit and prints the new revision. If the response is lost, it queries the server for the edit
// instead of sending it again, and returns an error with exitUndecided if the edit is not found within --wait.
func (o *editOptions) submit(env *environment, base cells.Revision, changes []cells.Change) error {
	patch := o.patch(changes)
	response, err := env.client.patch(env.ctx, base, patch)
	if err == nil {
		_, err = fmt.Fprintf(env.stdout, "accepted: edit %s is revision %d\n", response.Edit, response.Revision)
		return err
	}
	var coded *exitError
	undecided := errors.Is(err, errNoResponse) || errors.As(err, &coded) && coded.code == exitUndecided
	if !undecided {
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
		return withCode(exitUsage, errors.New("expected GROUP MODEL column=value…, or GROUP MODEL --remove"))
	}
	change := cells.Change{
		Key: cells.Key{Group: cells.Group(args[0]), Model: cells.Model(args[1])}, Remove: t.Remove,
	}
	for _, argument := range args[2:] {
		column, value, ok := strings.Cut(argument, "=")
		if !ok {
			return withCode(exitUsage, fmt.Errorf("expected column=value, got %q", argument))
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

// tableApply edits the table so that it equals the contents of a CSV file.
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
		_, _ = fmt.Fprintln(env.stderr, "cinderslip: the file has no revision line, so edits made after it was written cannot be detected")
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

// refuseStale returns an error with exitRefused for a file that is based on a revision other than the current one.
// The error lists the edits made after the file's revision.
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

// printDiff prints a line for each added or removed row and for each changed cell.
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

// tableCheck checks the syntax and values of a CSV file; it needs no server.
type tableCheck struct{}

func (*tableCheck) Run(env *environment, args []string) error {
	rows, _, err := readCSV(env, args)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "%s: %d rows, no findings\n", args[0], len(rows))
	return err
}

// readCSV reads a table in CSV form and the revision in its last line; the revision is 0 if there is none. The error
// lists all findings with their positions.
func readCSV(env *environment, args []string) ([]cells.Row, cells.Revision, error) {
	if len(args) != 1 {
		return nil, 0, withCode(exitUsage, errors.New("expected one FILE.csv, or - for standard input"))
	}
	var content []byte
	var err error
	if args[0] == "-" {
		content, err = io.ReadAll(env.stdin)
	} else {
		content, err = os.ReadFile(args[0])
	}
	if err != nil {
		return nil, 0, withCode(exitUsage, fmt.Errorf("reading table: %w", err))
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

// tableHistory prints the most recent edits.
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

// tableSettle prints whether an undecided edit was accepted. An edit that is not in the table leads to exitRefused.
type tableSettle struct{}

func (*tableSettle) Run(env *environment, args []string) error {
	if len(args) != 1 {
		return withCode(exitUsage, errors.New("expected the id of an edit"))
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
