package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/report"
)

// copies tells from collected logs how agents came to newer weights, and which step took how long.
type copies struct {
	Model   string `long:"model" value-name:"NAME" description:"only this model"`
	Version int    `long:"version" value-name:"N" description:"only this version"`
	Format  string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
	Plot    string `long:"plot" value-name:"FILE" description:"also write how many agents had taken each step over time, as SVG; wants one version"`
}

func (c *copies) Run(env *environment, args []string) error {
	if c.Version < 0 {
		return withCode(exitUsage, fmt.Errorf("--version wants a whole number above 0, got %d", c.Version))
	}
	events, err := readLogs(env, args)
	if err != nil {
		return err
	}
	found := c.filter(report.MeasureRollouts(events))
	if len(found) == 0 {
		return errors.New("no line tells of a copy of such weights: are these the logs of agents?")
	}
	if c.Plot != "" {
		if len(found) > 1 {
			return withCode(exitUsage, fmt.Errorf("--plot wants one version, the logs tell of %d: name it with --model and --version", len(found)))
		}
		if err := plotRollout(c.Plot, &found[0]); err != nil {
			return err
		}
	}
	if c.Format == "json" {
		return printJSON(env.stdout, found)
	}
	for i := range found {
		printRollout(env, &found[i])
	}
	return nil
}

// filter returns the rollouts that were asked for.
func (c *copies) filter(all []report.Rollout) []report.Rollout {
	var selected []report.Rollout
	for _, rollout := range all {
		if (c.Model == "" || rollout.Model == c.Model) && (c.Version == 0 || rollout.Version == c.Version) {
			selected = append(selected, rollout)
		}
	}
	return selected
}

// printRollout prints a line for each agent, in seconds after the version was named, then the soonest, the middle and the latest.
func printRollout(env *environment, rollout *report.Rollout) {
	_, _ = fmt.Fprintf(env.stdout, "%s version %d, named %s\n", rollout.Model, rollout.Version, rollout.PublishedAt.UTC().Format(time.RFC3339Nano))
	var steps []report.Step
	columns := []any{"agent", "start"}
	soonest, middle, latest := table.Row{"soonest", ""}, table.Row{"middle", ""}, table.Row{"latest", ""}
	for _, step := range report.Steps {
		reached := rollout.Reached(step)
		if len(reached) == 0 {
			continue
		}
		steps, columns = append(steps, step), append(columns, string(step))
		soonest = append(soonest, formatSeconds(reached[0]))
		middle = append(middle, formatSeconds(reached[len(reached)/2]))
		latest = append(latest, formatSeconds(reached[len(reached)-1]))
	}
	writer := newTableWriter(env.stdout, columns...)
	for i := range rollout.Agents {
		agent := &rollout.Agents[i]
		row := table.Row{agent.Process, agent.Incarnation}
		for _, step := range steps {
			if after, taken := agent.After[step]; taken {
				row = append(row, formatSeconds(after))
			} else {
				row = append(row, "")
			}
		}
		writer.AppendRow(row)
	}
	for _, row := range []table.Row{soonest, middle, latest} {
		writer.AppendFooter(row)
	}
	writer.Render()
}

// formatSeconds prints how long after the version was named a step was taken.
func formatSeconds(after time.Duration) string { return fmt.Sprintf("%.3f", after.Seconds()) }

func plotRollout(path string, rollout *report.Rollout) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.PlotRollout(file, rollout), file.Close())
}
