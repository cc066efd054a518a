package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/report"
)

// copies prints, from collected logs, when each agent reached each step of a rollout of weights.
type copies struct {
	Model   string `long:"model" value-name:"NAME" description:"only this model"`
	Version int    `long:"version" value-name:"N" description:"only this version"`
	Format  string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
	Plot    string `long:"plot" value-name:"FILE" description:"also write how many agents had taken each step over time, as SVG; needs a single version"`
}

func (c *copies) Run(env *environment, args []string) error {
	if c.Version < 0 {
		return withCode(exitUsage, fmt.Errorf("--version must be an integer above 0, got %d", c.Version))
	}
	events, err := readLogs(env, args)
	if err != nil {
		return err
	}
	rollouts := c.filter(report.MeasureRollouts(events))
	if len(rollouts) == 0 {
		return errors.New("no event of a rollout of these weights found; check that the files are logs of agents")
	}
	if c.Plot != "" {
		if len(rollouts) > 1 {
			return withCode(exitUsage, fmt.Errorf("--plot needs a single version, but the logs contain %d; select one with --model and --version", len(rollouts)))
		}
		if err := plotRollout(c.Plot, &rollouts[0]); err != nil {
			return err
		}
	}
	if c.Format == "json" {
		return printJSON(env.stdout, rollouts)
	}
	for i := range rollouts {
		printRollout(env, &rollouts[i])
	}
	return nil
}

// filter returns the rollouts that match --model and --version.
func (c *copies) filter(all []report.Rollout) []report.Rollout {
	var selected []report.Rollout
	for _, rollout := range all {
		if (c.Model == "" || rollout.Model == c.Model) && (c.Version == 0 || rollout.Version == c.Version) {
			selected = append(selected, rollout)
		}
	}
	return selected
}

// printRollout prints a row for each agent with the seconds from publication to each step, and as a footer the minimum,
// the median and the maximum over all agents.
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

// formatSeconds formats the time from publication to a step, in seconds.
func formatSeconds(after time.Duration) string { return fmt.Sprintf("%.3f", after.Seconds()) }

func plotRollout(path string, rollout *report.Rollout) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.PlotRollout(file, rollout), file.Close())
}
