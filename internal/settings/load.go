package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Finding is one error in a settings file. Line and Column count from 1. They are 0 if the finding has no position in
// the file, for example because a key is missing.
type Finding struct {
	File    string
	Line    int
	Column  int
	Key     string
	Message string
}

// String returns the message, preceded by the position and the key as far as they are known.
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Key != "" {
		return fmt.Sprintf("%s: %s: %s", location, f.Key, f.Message)
	}
	return fmt.Sprintf("%s: %s", location, f.Message)
}

// Findings holds all findings about one settings file.
type Findings []Finding

// Error returns all findings, one on each line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file, sets the defaults and checks the result. The settings are nil if the file cannot be read
// or is not valid TOML, and must not be used if there are findings.
func Load(path string) (*Settings, Findings) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, Findings{{File: path, Message: err.Error()}}
	}
	return Parse(path, content)
}

// Parse does the same as Load for content that has already been read. name is the file name for the findings.
func Parse(name string, content []byte) (*Settings, Findings) {
	positions, findings := keyPositions(name, content)
	if len(findings) > 0 {
		return nil, findings
	}
	loaded, findings := decode(name, content)
	undecoded := make(map[string]bool, len(findings))
	for _, finding := range findings {
		undecoded[finding.Key] = true
	}
	for _, finding := range loaded.check() {
		if undecoded[finding.Key] {
			continue
		}
		finding.File = name
		if at, ok := positions[finding.Key]; ok {
			finding.Line, finding.Column = at.line, at.column
		}
		findings = append(findings, finding)
	}
	return loaded, findings
}

// maxDecodeErrors is the maximum number of values of a wrong type that are collected from one file.
const maxDecodeErrors = 100

// decode returns the settings and a finding for each unknown key and each value of a wrong type. The TOML decoder stops
// at the first value of a wrong type, so decode blanks the line of that value and decodes the remaining text again.
func decode(name string, content []byte) (*Settings, Findings) {
	var findings Findings
	text := string(content)
	for range maxDecodeErrors {
		loaded := &Settings{}
		loaded.Default()
		decoder := toml.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(loaded)
		var unknownKeys *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case err == nil:
			return loaded, findings
		case errors.As(err, &unknownKeys):
			for i := range unknownKeys.Errors {
				findings = append(findings, decodeFinding(name, &unknownKeys.Errors[i], "unknown key"))
			}
			if err := toml.Unmarshal([]byte(text), loaded); err != nil {
				return loaded, append(findings, Finding{File: name, Message: err.Error()})
			}
			return loaded, findings
		case errors.As(err, &decodeErr):
			findings = append(findings, decodeFinding(name, decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: ")))
			line, _ := decodeErr.Position()
			text = blankLine(text, line)
		default:
			return loaded, append(findings, Finding{File: name, Message: err.Error()})
		}
	}
	return &Settings{}, findings
}

func decodeFinding(name string, decodeErr *toml.DecodeError, message string) Finding {
	line, column := decodeErr.Position()
	return Finding{File: name, Line: line, Column: column, Key: strings.Join(decodeErr.Key(), "."), Message: message}
}

func blankLine(text string, line int) string {
	lines := strings.Split(text, "\n")
	if line >= 1 && line <= len(lines) {
		lines[line-1] = ""
	}
	return strings.Join(lines, "\n")
}

type position struct{ line, column int }

// keyPositions returns the position of each key, or a finding if the content is not valid TOML.
func keyPositions(name string, content []byte) (map[string]position, Findings) {
	positions := make(map[string]position)
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
			positions[keys] = at
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", keys, tables[keys])
			tables[keys]++
			positions[strings.TrimSuffix(prefix, ".")] = at
		case unstable.KeyValue:
			positions[prefix+keys] = at
		}
	}
	if err := parser.Error(); err != nil {
		return nil, Findings{syntaxFinding(name, content)}
	}
	return positions, nil
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

// syntaxFinding returns a finding for content that is not valid TOML. It decodes the content again, because the decoder
// reports the position of the error.
func syntaxFinding(name string, content []byte) Finding {
	var ignored map[string]any
	err := toml.Unmarshal(content, &ignored)
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return decodeFinding(name, decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return Finding{File: name, Message: fmt.Sprint(err)}
}
