package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/report"
)

// errNoFiles reports that a command was given no log files.
var errNoFiles = errors.New("no log files given: name the files with the logs of all processes")

// readLogs reads the log files and returns their events sorted by time. Invalid lines are reported on stderr and
// skipped; a file that does not exist or that may not be read is an error.
func readLogs(env *environment, paths []string) ([]report.Event, error) {
	if len(paths) == 0 {
		return nil, withCode(exitUsage, errNoFiles)
	}
	var all []report.Event
	for _, path := range paths {
		events, err := readLog(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
			return nil, err
		}
		if err != nil {
			_, _ = fmt.Fprintln(env.stderr, "cinderslip:", err)
		}
		all = append(all, events...)
	}
	report.Sort(all)
	return all, nil
}

func readLog(path string) ([]report.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return report.Read(filepath.Base(path), file)
}

// explain prints, from collected logs, how a request ended and why.
type explain struct{}

func (*explain) Run(env *environment, args []string) error {
	if len(args) == 0 {
		return withCode(exitUsage, errors.New("expected the id of a request, then the log files"))
	}
	events, err := readLogs(env, args[1:])
	if err != nil {
		return err
	}
	explanation, ok := report.Explain(events, args[0])
	if !ok {
		return fmt.Errorf("none of %d events belongs to request %s; its caller may have failed to connect, or log lines were dropped", len(events), args[0])
	}
	_, _ = fmt.Fprint(env.stdout, explanation.String())
	return nil
}

// burn prints, from collected logs, the burn rate of the error budget of each route.
type burn struct {
	Target  float64         `long:"target" default:"0.99" value-name:"PART" description:"part of the requests that must be answered in time"`
	Windows []time.Duration `long:"window" default:"1m" default:"5m" default:"1h" value-name:"TIME" description:"span back from the newest line; may be repeated"`
	Format  string          `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (b *burn) Run(env *environment, args []string) error {
	if b.Target <= 0 || b.Target >= 1 {
		return withCode(exitUsage, fmt.Errorf("--target must be between 0 and 1, got %v", b.Target))
	}
	events, err := readLogs(env, args)
	if err != nil {
		return err
	}
	burns := report.MeasureBurn(events, report.BurnOptions{Target: b.Target, Windows: b.Windows})
	if b.Format == "json" {
		return printJSON(env.stdout, burns)
	}
	writer := newTableWriter(env.stdout, "route", "window", "good", "late", "refused", "failed", "burn rate")
	for _, route := range burns {
		for _, window := range route.Windows {
			writer.AppendRow(table.Row{
				route.Route, window.Span, window.Good, window.Late, window.Refused, window.Failed, fmt.Sprintf("%.2f", window.Rate),
			})
		}
	}
	writer.Render()
	return nil
}
