package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// status shows what is in force.
type status struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (s *status) Run(env *environment, _ []string) error {
	answer, err := env.client.status(env.ctx)
	if err != nil {
		return err
	}
	if s.Format == "json" {
		return printJSON(env.stdout, answer)
	}
	_, _ = fmt.Fprintf(env.stdout, "table revision %d, plan %d.%d by %s\n", answer.Table, answer.Plan.Epoch, answer.Plan.Sequence, answer.Plan.Planner)
	writer := newTableWriter(env.stdout, "group", "model", "share", "serving", "target", "live", "replicas", "waits")
	for _, row := range answer.Rows {
		writer.AppendRow(table.Row{
			row.Group, row.Model, fmt.Sprintf("%.3f", row.Plan.Share), row.Plan.Serving, row.Plan.Target,
			row.Plan.Live, row.Plan.Replicas, row.Plan.WaitReason,
		})
	}
	writer.Render()
	return nil
}

// boxes shows the boxes.
type boxes struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (b *boxes) Run(env *environment, _ []string) error {
	answer, err := env.client.status(env.ctx)
	if err != nil {
		return err
	}
	if b.Format == "json" {
		return printJSON(env.stdout, answer.Boxes)
	}
	writer := newTableWriter(env.stdout, "box", "role", "region", "failure domain", "status", "carries")
	for _, record := range answer.Boxes {
		writer.AppendRow(table.Row{
			record.Box, record.Role, record.Region, record.FailureDomain, record.Status, describeContents(record),
		})
	}
	writer.Render()
	return nil
}

func describeContents(record member.Record) string {
	var parts []string
	for _, held := range record.Copies {
		part := fmt.Sprintf("%s@%s", held.Model, held.Version)
		if held.Phase != member.PhaseLive {
			part += fmt.Sprintf(" (%s)", held.Phase)
		}
		parts = append(parts, part)
	}
	for _, service := range record.Services {
		parts = append(parts, string(service))
	}
	return strings.Join(parts, " ")
}

// resolve shows the entry boxes that a caller would be told.
type resolve struct{}

func (*resolve) Run(env *environment, args []string) error {
	if len(args) != 1 {
		return withCode(exitUsage, errors.New("want one SERVICE"))
	}
	answer, err := env.client.entries(env.ctx, args[0])
	if err != nil {
		return err
	}
	writer := newTableWriter(env.stdout, "address", "failure domain")
	for _, entry := range answer.Entries {
		writer.AppendRow(table.Row{entry.Address, entry.FailureDomain})
	}
	writer.Render()
	_, err = fmt.Fprintf(env.stdout, "to be kept for %d s\n", answer.TTLSeconds)
	return err
}
