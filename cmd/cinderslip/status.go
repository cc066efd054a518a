package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// status prints the current table and plan, with a row for each group and model.
type status struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (s *status) Run(env *environment, _ []string) error {
	response, err := env.client.status(env.ctx)
	if err != nil {
		return err
	}
	if s.Format == "json" {
		return printJSON(env.stdout, response)
	}
	_, _ = fmt.Fprintf(env.stdout, "table revision %d, plan %d.%d by %s\n", response.Table, response.Plan.Epoch, response.Plan.Sequence, response.Plan.Planner)
	writer := newTableWriter(env.stdout, "group", "model", "share", "serving", "target", "live", "replicas", "waits")
	for _, row := range response.Rows {
		writer.AppendRow(table.Row{
			row.Group, row.Model, fmt.Sprintf("%.3f", row.Plan.Share), row.Plan.Serving, row.Plan.Target,
			row.Plan.Live, row.Plan.Replicas, row.Plan.WaitReason,
		})
	}
	writer.Render()
	return nil
}

// boxes prints the known boxes with their versions and services.
type boxes struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (b *boxes) Run(env *environment, _ []string) error {
	response, err := env.client.status(env.ctx)
	if err != nil {
		return err
	}
	if b.Format == "json" {
		return printJSON(env.stdout, response.Boxes)
	}
	writer := newTableWriter(env.stdout, "box", "role", "region", "failure domain", "status", "carries")
	for _, record := range response.Boxes {
		writer.AppendRow(table.Row{
			record.Box, record.Role, record.Region, record.FailureDomain, record.Status, describeContents(record),
		})
	}
	writer.Render()
	return nil
}

// describeContents lists the versions and services on a box; a version that is not live yet is followed by its phase.
func describeContents(record member.Record) string {
	var parts []string
	for _, copied := range record.Copies {
		part := fmt.Sprintf("%s@%s", copied.Model, copied.Version)
		if copied.Phase != member.PhaseLive {
			part += fmt.Sprintf(" (%s)", copied.Phase)
		}
		parts = append(parts, part)
	}
	for _, service := range record.Services {
		parts = append(parts, string(service))
	}
	return strings.Join(parts, " ")
}

// resolve prints the entry boxes that the directory returns to callers of a service.
type resolve struct{}

func (*resolve) Run(env *environment, args []string) error {
	if len(args) != 1 {
		return withCode(exitUsage, errors.New("expected one SERVICE"))
	}
	response, err := env.client.entries(env.ctx, args[0])
	if err != nil {
		return err
	}
	writer := newTableWriter(env.stdout, "address", "failure domain")
	for _, entry := range response.Entries {
		writer.AppendRow(table.Row{entry.Address, entry.FailureDomain})
	}
	writer.Render()
	_, err = fmt.Fprintf(env.stdout, "to be kept for %d s\n", response.TTLSeconds)
	return err
}
