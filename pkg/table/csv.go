package table

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ParseCSV reads a table in CSV form. Lines that start with # are comments. It returns the rows that can be
// parsed and all findings, including those of Check, sorted by line.
func ParseCSV(r io.Reader) ([]Row, Findings) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	reader.Comment = '#'
	header, err := reader.Read()
	if err != nil {
		return nil, Findings{{Line: 1, Message: "want the header " + headerLine() + ", got " + readErrorMessage(err)}}
	}
	if findings := checkHeader(header); len(findings) > 0 {
		return nil, findings
	}
	var rows []Row
	var findings Findings
	lines := make(map[Key]int)
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			findings = append(findings, Finding{Line: errorLine(err), Message: readErrorMessage(err)})
			break
		}
		row, recordFindings := parseRecord(record, line)
		findings = append(findings, recordFindings...)
		if len(recordFindings) == 0 {
			rows = append(rows, row)
			lines[row.Key()] = line
		}
	}
	for _, finding := range Check(rows) {
		finding.Line = lines[finding.Key]
		findings = append(findings, finding)
	}
	slices.SortStableFunc(findings, func(a, b Finding) int { return a.Line - b.Line })
	return rows, findings
}

func headerLine() string {
	names := make([]string, len(Columns))
	for i, column := range Columns {
		names[i] = string(column)
	}
	return strings.Join(names, ",")
}

func checkHeader(header []string) Findings {
	if strings.Join(header, ",") == headerLine() {
		return nil
	}
	return Findings{{Line: 1, Message: fmt.Sprintf("want the header %s, got %s", headerLine(), strings.Join(header, ","))}}
}

func parseRecord(record []string, line int) (Row, Findings) {
	if len(record) != len(Columns) {
		return Row{}, Findings{{Line: line, Message: fmt.Sprintf("want %d fields, got %d", len(Columns), len(record))}}
	}
	var row Row
	var findings Findings
	for i, column := range Columns {
		if message := row.set(column, strings.TrimSpace(record[i])); message != "" {
			findings = append(findings, Finding{Line: line, Column: column, Message: message})
		}
	}
	for i := range findings {
		findings[i].Key = row.Key()
	}
	return row, findings
}

func readErrorMessage(err error) string {
	if errors.Is(err, io.EOF) {
		return "an empty file"
	}
	return err.Error()
}

func errorLine(err error) int {
	var parseErr *csv.ParseError
	if errors.As(err, &parseErr) {
		return parseErr.Line
	}
	return 0
}

// WriteCSV writes rows in CSV form, starting with the header.
func WriteCSV(w io.Writer, rows []Row) error {
	writer := csv.NewWriter(w)
	records := [][]string{strings.Split(headerLine(), ",")}
	for _, row := range rows {
		record := make([]string, 0, len(Columns))
		for _, column := range Columns {
			record = append(record, row.Cell(column))
		}
		records = append(records, record)
	}
	if err := writer.WriteAll(records); err != nil {
		return fmt.Errorf("writing table: %w", err)
	}
	return nil
}
