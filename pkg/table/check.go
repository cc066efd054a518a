package table

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// Finding is one error in a table, with its position.
type Finding struct {
	// Line is the line of a CSV file, from 1; 0 where there is no file.
	Line int `json:"line,omitempty"`
	Key
	Column  Column `json:"column,omitempty"`
	Message string `json:"message"`
}

// String returns the message, preceded by the position.
func (f Finding) String() string {
	var position []string
	if f.Line > 0 {
		position = append(position, fmt.Sprintf("line %d", f.Line))
	}
	if f.Key != (Key{}) {
		position = append(position, "row "+f.Key.String())
	}
	if f.Column != "" {
		position = append(position, "column "+string(f.Column))
	}
	if len(position) == 0 {
		return f.Message
	}
	return strings.Join(position, ", ") + ": " + f.Message
}

// Findings is a list of errors in a table. It implements error.
type Findings []Finding

// Error returns all findings, separated by semicolons.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "; ")
}

// floorTolerance absorbs rounding errors in the sum of floors.
const floorTolerance = 1e-9

// namePattern matches valid names of groups, models and versions, which are safe in URL paths, keys and CSV.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check returns all findings about rows, in the order of the rows, followed by the findings about
// models whose floors sum to more than 1.
func Check(rows []Row) Findings {
	var findings Findings
	seen := make(map[Key]bool, len(rows))
	floors := make(map[Model]float64)
	for _, row := range rows {
		findings = append(findings, checkRow(row)...)
		if seen[row.Key()] {
			findings = append(findings, Finding{Key: row.Key(), Message: "row stands twice"})
		}
		seen[row.Key()] = true
		floors[row.Model] += row.Floor
	}
	return append(findings, checkFloors(floors)...)
}

func checkRow(row Row) Findings {
	var findings Findings
	add := func(column Column, format string, args ...any) {
		findings = append(findings, Finding{Key: row.Key(), Column: column, Message: fmt.Sprintf(format, args...)})
	}
	for _, column := range []Column{ColumnGroup, ColumnModel, ColumnVersion} {
		if text := row.Cell(column); !namePattern.MatchString(text) {
			add(column, "want 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit, got %q", text)
		}
	}
	if !(row.Weight > 0) || math.IsInf(row.Weight, 0) {
		add(ColumnWeight, "want a number above 0, got %s", formatNumber(row.Weight))
	}
	if !isShare(row.Floor) {
		add(ColumnFloor, "want a share from 0 to 1, got %s", formatNumber(row.Floor))
	}
	if !isShare(row.Ceiling) {
		add(ColumnCeiling, "want a share from 0 to 1, got %s", formatNumber(row.Ceiling))
	}
	if row.Floor > row.Ceiling {
		add(ColumnFloor, "floor %s is above ceiling %s", formatNumber(row.Floor), formatNumber(row.Ceiling))
	}
	return findings
}

// isShare reports whether value is from 0 to 1. It is false for NaN.
func isShare(value float64) bool { return value >= 0 && value <= 1 }

func checkFloors(floors map[Model]float64) Findings {
	models := make([]Model, 0, len(floors))
	for model := range floors {
		models = append(models, model)
	}
	slices.Sort(models)
	var findings Findings
	for _, model := range models {
		if floors[model] > 1+floorTolerance {
			findings = append(findings, Finding{
				Key: Key{Model: model}, Column: ColumnFloor,
				Message: fmt.Sprintf("floors of the model sum to %s, want at most 1", formatNumber(floors[model])),
			})
		}
	}
	return findings
}

// CheckVersions returns a finding for each row whose version is not in published, or whose model has no entry there.
func CheckVersions(rows []Row, published map[Model][]ModelVersion) Findings {
	var findings Findings
	for _, row := range rows {
		versions, ok := published[row.Model]
		if !ok {
			findings = append(findings, Finding{Key: row.Key(), Column: ColumnModel, Message: "no version of this model is published"})
			continue
		}
		if !slices.Contains(versions, row.Version) {
			findings = append(findings, Finding{
				Key: row.Key(), Column: ColumnVersion,
				Message: fmt.Sprintf("version %q is not published, want one of %v", row.Version, versions),
			})
		}
	}
	return findings
}
