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

// quarantineList shows the requests that are barred.
type quarantineList struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (q *quarantineList) Run(env *environment, _ []string) error {
	var held []direct.QuarantinedRequest
	if err := env.client.call(env.ctx, http.MethodGet, direct.QuarantinePath, nil, nil, &held); err != nil {
		return err
	}
	return printQuarantine(env, held, q.Format)
}

// quarantineLift lifts one bar.
type quarantineLift struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print what stays barred"`
}

func (q *quarantineLift) Run(env *environment, args []string) error {
	if len(args) != 1 {
		return withCode(exitUsage, errors.New("want one CONTENT, as list and the logs name it"))
	}
	var held []direct.QuarantinedRequest
	if err := env.client.call(env.ctx, http.MethodDelete, direct.QuarantinePath+"/"+url.PathEscape(args[0]), nil, nil, &held); err != nil {
		return err
	}
	return printQuarantine(env, held, q.Format)
}

func printQuarantine(env *environment, held []direct.QuarantinedRequest, format string) error {
	if format == "json" {
		return printJSON(env.stdout, held)
	}
	writer := newTableWriter(env.stdout, "content", "until", "servers ended")
	for _, request := range held {
		writer.AppendRow(table.Row{request.Content, request.Until.Format(time.RFC3339), strings.Join(request.Servers, " ")})
	}
	writer.Render()
	return nil
}
