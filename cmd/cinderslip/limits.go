package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/direct"
)

// limits prints the backend servers that advertise a rate limit.
type limits struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

func (l *limits) Run(env *environment, _ []string) error {
	var limited []direct.LimitedServer
	if err := env.client.call(env.ctx, http.MethodGet, direct.RateLimitsPath, nil, nil, &limited); err != nil {
		return err
	}
	if l.Format == "json" {
		return printJSON(env.stdout, limited)
	}
	writer := newTableWriter(
		env.stdout, "server", "service", "per second", "since", "from", "share", "available", "sent", "sent by others",
	)
	for _, server := range limited {
		writer.AppendRow(table.Row{
			server.Server, server.Service, server.PerSecond, server.Since.Format(time.RFC3339), server.From,
			fmt.Sprintf("%.2f", server.Share), fmt.Sprintf("%.1f", server.Available), server.Sent, server.SentByOthers,
		})
	}
	writer.Render()
	return nil
}
