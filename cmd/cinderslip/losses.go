package main

import (
	"errors"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/report"
)

// losses prints, from collected logs, how many requests failed or were late, grouped and by cause.
type losses struct {
	By     string `long:"by" choice:"all" choice:"second" choice:"route" choice:"size" choice:"organisation" choice:"box" default:"all" description:"what to group by"`
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
	Plot   string `long:"plot" value-name:"FILE" description:"also write a plot over time, as SVG"`
}

func (l *losses) Run(env *environment, args []string) error {
	events, err := readLogs(env, args)
	if err != nil {
		return err
	}
	groups := report.MeasureLosses(events, report.Dimension(l.By))
	if len(groups) == 0 {
		return errors.New("no event of a request with a route found; check that the files are logs of entry boxes")
	}
	if l.Plot != "" {
		if err := plotLosses(l.Plot, report.MeasureLosses(events, report.BySecond)); err != nil {
			return err
		}
	}
	if l.Format == "json" {
		return printJSON(env.stdout, groups)
	}
	if l.By == string(report.ByNothing) {
		printCauses(env, &groups[0])
		return nil
	}
	writer := newTableWriter(env.stdout, l.By, "asked", "in time", "late", "lost for good", "most lost as")
	for i := range groups {
		group := &groups[i]
		writer.AppendRow(table.Row{group.Group, group.Callers(), group.InTime(), group.Late(), group.Lost(), group.MainCause()})
	}
	writer.Render()
	return nil
}

// printCauses prints the number of new requests and of retries for each cause.
func printCauses(env *environment, all *report.Losses) {
	writer := newTableWriter(env.stdout, "cause", "first requests", "returned")
	for _, cause := range report.Causes {
		if all.New[cause]+all.Retries[cause] > 0 {
			writer.AppendRow(table.Row{cause, all.New[cause], all.Retries[cause]})
		}
	}
	writer.AppendFooter(table.Row{"callers: in time, late, lost for good", all.Callers(), []int{all.InTime(), all.Late(), all.Lost()}})
	writer.Render()
}

func plotLosses(path string, bySecond []report.Losses) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.PlotLosses(file, bySecond), file.Close())
}
