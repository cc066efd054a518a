// Package report reads the logs of a system's processes, after the fact: it explains
// what became of one request, and tells how fast the service levels of routes were
// used up, and how agents came to newer weights.
//
// # Usage
//
//	events, err := report.Read("entry-1.log", file)
//	...
//	explanation, ok := report.Explain(events, "9c41d07be2a35f68")
//	losses := report.MeasureLosses(events, report.BySecond)
//	burn := report.MeasureBurn(events, report.BurnOptions{Target: 0.99, Windows: windows})
//	rollouts := report.MeasureRollouts(events)
package report

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// ErrLine reports a line that cannot be read.
var ErrLine = errors.New("line of the log cannot be read")

// maxLineBytes bounds one line, in bytes.
const maxLineBytes = 1 << 20

// field is one key=value pair.
type field struct{ key, value string }

// Event is one line of a log.
type Event struct {
	Time time.Time
	// Source is the file that it stands in.
	Source string
	// Process is the last word that a collector put before the line; the source if there
	// is none.
	Process string
	Name    string
	fields  []field
}

// Get returns the value of a field; empty if the line has no such field.
func (e *Event) Get(key string) string {
	for _, field := range e.fields {
		if field.key == key {
			return field.value
		}
	}
	return ""
}

// Milliseconds returns a field that holds milliseconds; 0 if there is none.
func (e *Event) Milliseconds(key string) time.Duration {
	value, err := strconv.ParseFloat(e.Get(key), 64)
	if err != nil {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}

// Read reads the lines of one process in the order in which they stand. What a
// collector puts before a line is passed over, and so are lines without time and
// event. The findings name the lines that look like events and cannot be read.
func Read(source string, reader io.Reader) (events []Event, findings error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var problems []error
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		at := strings.Index(line, "time=")
		if at < 0 || !strings.Contains(line, "event=") {
			continue
		}
		event, err := parse(line[at:])
		if err != nil {
			problems = append(problems, fmt.Errorf("%s:%d: %w: %w", source, number, ErrLine, err))
			continue
		}
		event.Source, event.Process = source, processName(line[:at], source)
		events = append(events, event)
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, fmt.Errorf("%s: %w", source, err))
	}
	return events, errors.Join(problems...)
}

func processName(prefix, source string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return source
	}
	return strings.TrimRight(words[len(words)-1], ":|")
}

func parse(line string) (Event, error) {
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	var event Event
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return Event{}, err
				}
				event.Time = at
			case "event":
				event.Name = value
			default:
				event.fields = append(event.fields, field{key, value})
			}
		}
	}
	return event, decoder.Err()
}

// Sort puts the events of several processes in the order of their times.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
}
