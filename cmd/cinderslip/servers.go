package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/cinderslip/cinderslip/internal/direct"
)

// servers prints the backend servers that boxes list, or only those that some boxes list although they are gone.
type servers struct {
	Also     []string `long:"also" value-name:"ADDRESS" description:"metrics address of another box to compare with; may be repeated"`
	Outdated bool     `long:"outdated" description:"only servers that a box lists and a box with a later list does not; exits with 1 if there are any"`
	Format   string   `long:"format" choice:"table" choice:"json" default:"table" description:"how to print it"`
}

// errOutdatedServers reports that some box lists servers that are gone.
var errOutdatedServers = errors.New("some boxes list servers that are gone")

func (s *servers) Run(env *environment, _ []string) error {
	lists := make([]direct.ServerList, 1+len(s.Also))
	if err := env.client.call(env.ctx, http.MethodGet, direct.ServersPath, nil, nil, &lists[0]); err != nil {
		return err
	}
	for i, address := range s.Also {
		other := &client{base: baseURL(address), token: env.client.token, http: env.client.http}
		if err := other.call(env.ctx, http.MethodGet, direct.ServersPath, nil, nil, &lists[i+1]); err != nil {
			return fmt.Errorf("%s: %w", address, err)
		}
	}
	if s.Outdated {
		return s.printOutdated(env, direct.OutdatedServers(lists))
	}
	if s.Format == "json" {
		return printJSON(env.stdout, lists)
	}
	writer := newTableWriter(env.stdout, "box", "complete", "server", "service", "address", "failure domain", "state", "revision", "from", "since")
	for i := range lists {
		for _, server := range lists[i].Servers {
			writer.AppendRow(table.Row{
				lists[i].Box, lists[i].Complete, server.Server, server.Service, server.Address, server.FailureDomain, serverState(&server), server.Revision,
				server.From, server.Since.Format(time.RFC3339),
			})
		}
	}
	writer.Render()
	return nil
}

// serverState returns the state of a server in a few words: ready, or all that limits its use.
func serverState(server *direct.ListedServer) string {
	var states []string
	for _, state := range []struct {
		name string
		set  bool
	}{{"leaving", server.Leaving}, {"evacuated", server.Evacuated}, {"withheld", server.Withheld}, {"cold", server.Cold}} {
		if state.set {
			states = append(states, state.name)
		}
	}
	if len(states) == 0 {
		return "ready"
	}
	return strings.Join(states, ", ")
}

func (s *servers) printOutdated(env *environment, outdated []direct.Outdated) error {
	if s.Format == "json" {
		if err := printJSON(env.stdout, outdated); err != nil {
			return err
		}
	} else {
		writer := newTableWriter(env.stdout, "box", "server", "address", "revision", "from", "since", "missing at", "complete")
		for _, o := range outdated {
			writer.AppendRow(table.Row{
				o.Box, o.Server.Server, o.Server.Address, o.Server.Revision, o.Server.From, o.Server.Since.Format(time.RFC3339), o.Missing, o.Complete,
			})
		}
		writer.Render()
	}
	if len(outdated) > 0 {
		return errOutdatedServers
	}
	return nil
}
