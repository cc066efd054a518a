package main

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/direct"
)

// quarantineList prints the quarantined requests.
type quarantineList struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (q *quarantineList) Run(env *environment, _ []string) error {
	var requests []direct.QuarantinedRequest
	if err := env.client.call(env.ctx, http.MethodGet, direct.QuarantinePath, nil, nil, &requests); err != nil {
		return err
	}
	return printQuarantine(env, requests, q.Format)
}

// quarantineLift removes one request from quarantine and prints those that remain.
type quarantineLift struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print the requests that stay quarantined"`
}

func (q *quarantineLift) Run(env *environment, args []string) error {
	if len(args) != 1 {
		return withCode(exitUsage, errors.New("expected one CONTENT, as printed by list and in the logs"))
	}
	var requests []direct.QuarantinedRequest
	if err := env.client.call(env.ctx, http.MethodDelete, direct.QuarantinePath+"/"+url.PathEscape(args[0]), nil, nil, &requests); err != nil {
		return err
	}
	return printQuarantine(env, requests, q.Format)
}

func printQuarantine(env *environment, requests []direct.QuarantinedRequest, format string) error {
	if format == "json" {
		return printJSON(env.stdout, requests)
	}
	writer := newTableWriter(env.stdout, "content", "until", "servers ended")
	for _, request := range requests {
		writer.AppendRow(table.Row{request.Content, request.Until.Format(time.RFC3339), strings.Join(request.Servers, " ")})
	}
	writer.Render()
	return nil
}
