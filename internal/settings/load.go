package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Finding is one thing wrong with a settings file. Line and Column count from 1
// and are 0 where the finding has no place, as for a key that is missing.
type Finding struct {
	File    string
	Line    int
	Column  int
	Key     string
	Message string
}

// String returns the finding with its place before it.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Key != "" {
		return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Message)
	}
	return fmt.Sprintf("%s: %s", place, f.Message)
}

// Findings is every finding about a file; as an error it lists them all.
type Findings []Finding

// Error joins the findings.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads a file, sets defaults and checks the result.
func Load(path string) (*Settings, Findings) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, Findings{{File: path, Message: err.Error()}}
	}
	return Parse(path, content)
}

// Parse is Load for content already read.
func Parse(name string, content []byte) (*Settings, Findings) {
	places, findings := keyPositions(name, content)
	if len(findings) > 0 {
		return nil, findings
	}
	loaded, findings := decode(name, content)
	broken := make(map[string]bool, len(findings))
	for _, finding := range findings {
		broken[finding.Key] = true
	}
	for _, finding := range loaded.check() {
		if broken[finding.Key] {
			continue
		}
		finding.File = name
		if place, ok := places[finding.Key]; ok {
			finding.Line, finding.Column = place.line, place.column
		}
		findings = append(findings, finding)
	}
	return loaded, findings
}

// maxDecodeErrors bounds how many findings of one file are collected.
const maxDecodeErrors = 100

// decode collects every unknown key and every value of a wrong type. The decoder
// stops at the first wrong value, so the line of that value is blanked and the
// rest is decoded again.
func decode(name string, content []byte) (*Settings, Findings) {
	var findings Findings
	text := string(content)
	for range maxDecodeErrors {
		loaded := &Settings{}
		loaded.Default()
		decoder := toml.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(loaded)
		var unknown *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case err == nil:
			return loaded, findings
		case errors.As(err, &unknown):
			for i := range unknown.Errors {
				findings = append(findings, decodeFinding(name, &unknown.Errors[i], "unknown key"))
			}
			if err := toml.Unmarshal([]byte(text), loaded); err != nil {
				return loaded, append(findings, Finding{File: name, Message: err.Error()})
			}
			return loaded, findings
		case errors.As(err, &wrong):
			findings = append(findings, decodeFinding(name, wrong, strings.TrimPrefix(wrong.Error(), "toml: ")))
			line, _ := wrong.Position()
			text = blankLine(text, line)
		default:
			return loaded, append(findings, Finding{File: name, Message: err.Error()})
		}
	}
	return &Settings{}, findings
}

func decodeFinding(name string, problem *toml.DecodeError, message string) Finding {
	line, column := problem.Position()
	return Finding{File: name, Line: line, Column: column, Key: strings.Join(problem.Key(), "."), Message: message}
}

func blankLine(text string, line int) string {
	lines := strings.Split(text, "\n")
	if line >= 1 && line <= len(lines) {
		lines[line-1] = ""
	}
	return strings.Join(lines, "\n")
}

type position struct{ line, column int }

// keyPositions finds where each key stands, and reports what is not TOML at all.
func keyPositions(name string, content []byte) (map[string]position, Findings) {
	places := make(map[string]position)
	var parser unstable.Parser
	parser.Reset(content)
	prefix := ""
	tables := make(map[string]int)
	for parser.NextExpression() {
		node := parser.Expression()
		keys, at := keyPosition(&parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = keys + "."
			places[keys] = at
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", keys, tables[keys])
			tables[keys]++
			places[strings.TrimSuffix(prefix, ".")] = at
		case unstable.KeyValue:
			places[prefix+keys] = at
		}
	}
	if err := parser.Error(); err != nil {
		return nil, Findings{syntaxFinding(name, content)}
	}
	return places, nil
}

func keyPosition(parser *unstable.Parser, node *unstable.Node) (string, position) {
	var parts []string
	var at position
	for keys := node.Key(); keys.Next(); {
		key := keys.Node()
		if len(parts) == 0 {
			start := parser.Shape(key.Raw).Start
			at = position{line: start.Line, column: start.Column}
		}
		parts = append(parts, string(key.Data))
	}
	return strings.Join(parts, "."), at
}

// syntaxFinding gets the place of a syntax error, which the decoder knows.
func syntaxFinding(name string, content []byte) Finding {
	var ignored map[string]any
	err := toml.Unmarshal(content, &ignored)
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return decodeFinding(name, wrong, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return Finding{File: name, Message: fmt.Sprint(err)}
}
