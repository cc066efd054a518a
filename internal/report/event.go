// Package report analyses collected logs of entry boxes and agents. It explains how a
// request ended, counts lost and late requests by cause, and measures the burn rates of
// routes and the progress of rollouts of weights.
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

// ErrLine reports a log line that cannot be parsed.
var ErrLine = errors.New("invalid log line")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// field is one key=value pair of a log line.
type field struct{ key, value string }

// Event is one log line.
type Event struct {
	Time time.Time
	// Source is the name of the file that contains the line.
	Source string
	// Process is the last word of the prefix that a log collector put before the line, or Source if there is no prefix.
	Process string
	// Name is the message of the line, the value of its event key.
	Name   string
	fields []field
}

// Get returns the value of a field, or an empty string if the line has no such field.
func (e *Event) Get(key string) string {
	for _, field := range e.fields {
		if field.key == key {
			return field.value
		}
	}
	return ""
}

// Milliseconds returns a field in milliseconds as a duration, or 0 if the field is absent or not a number.
func (e *Event) Milliseconds(key string) time.Duration {
	value, err := strconv.ParseFloat(e.Get(key), 64)
	if err != nil {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}

// Read reads events from a log file named source, in the order of its lines. It skips lines without the keys time and
// event. findings joins an ErrLine for each line that has both keys but cannot be parsed, and an error of the reader;
// the other events are returned all the same.
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

// processName returns the last word of the prefix before a log line, or source if there is no prefix.
func processName(prefix, source string) string {
	fields := strings.Fields(prefix)
	if len(fields) == 0 {
		return source
	}
	return strings.TrimRight(fields[len(fields)-1], ":|")
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

// Sort sorts events by time. Events with the same time keep their order.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
}
