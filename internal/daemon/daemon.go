// Package daemon holds the services of an entry box and of an agent, and the
// steps that start them.
//
// # Entry box
//
//	Replica        keeps the replicated items in step with the relays
//	View           reads them into the form that decisions need
//	Heart          the box's own record and its heartbeats
//	Monitor        takes heartbeats, marks boxes silent, hands out assignments
//	Configuration  follows the table in the key-value service and makes edits
//	Planner        computes plans while it holds the lease
//	Lister         compares the platform's box list with the records
//	Callers        answers callers
//	Operators      answers operators
//
// # Agent
//
//	Heart          the box's own record and its heartbeats
//	Copier         fetches, verifies, loads and drops versions
//	ChunkServer    gives chunks to other agents
//	Gate           the last check before a backend server
//	Operators      metrics and health checks
//
// # Usage
//
//	process, err := daemon.Start(loaded, daemon.Options{Clock: clock, Log: log})
//	...
//	err = process.Stop(ctx)
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// Options are what a process gets from outside its settings.
type Options struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
}

// Process is one running role.
type Process struct {
	services     *kernel.Registry
	settings     *settings.Settings
	options      Options
	metrics      *Metrics
	peers        *PeerPool
	client       *http.Client
	heartbeater  *Heartbeater
	overlay      *Overlay
	backendProxy *BackendProxy

	callerSocket     *boundSocket
	operatorListener net.Listener
	peerListener     net.Listener
	mux              *drpcmux.Mux
}

// Step is one part of starting a process.
type Step interface {
	// String names the step in logs and errors.
	String() string
	// Skip reports whether the role does without the step.
	Skip(p *Process) bool
	// Run does the step.
	Run(p *Process) error
}

// Start runs the steps of a role in order. If one fails, what was started is
// stopped again.
func Start(loaded *settings.Settings, options Options) (*Process, error) {
	p := &Process{
		services: kernel.New(), settings: loaded, options: options,
		metrics: NewMetrics(), mux: drpcmux.New(),
		client: newPlatformClient(),
	}
	for _, step := range steps {
		if err := withLogging(runUnlessSkipped)(p, step); err != nil {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			return nil, errors.Join(fmt.Errorf("starting %s: %w", step, err), p.services.Stop(ctx))
		}
	}
	return p, nil
}

// platformIdleConns bounds the unused connections kept to a platform service.
const platformIdleConns = 8

func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: platformIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		DialContext: upstream.NewDialer(dialTimeout).DialContext,
	}}
}

// stepFunc runs a step; middleware wraps it.
type stepFunc func(p *Process, step Step) error

// runUnlessSkipped leaves out a step that the role does without.
func runUnlessSkipped(p *Process, step Step) error {
	if step.Skip(p) {
		return nil
	}
	return step.Run(p)
}

// withLogging writes a line for each step.
func withLogging(run stepFunc) stepFunc {
	return func(p *Process, step Step) error {
		started := p.options.Clock.Now()
		err := run(p, step)
		event := p.options.Log.Debug()
		if err != nil {
			event = p.options.Log.Error().Err(err)
		}
		event.Str("step", step.String()).Dur("taken_ms", p.options.Clock.Since(started)).Msg("step done")
		return err
	}
}

// Stop is a planned stop: the box announces that it is leaving, finishes what is
// in progress and ends every service, within the grace of the settings.
func (p *Process) Stop(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(ctx, time.Duration(p.settings.Stop.Grace))
	defer cancel()
	p.announceLeaving()
	err := p.services.Stop(stopCtx)
	p.client.CloseIdleConnections()
	return err
}

// announceLeaving announces that the box is leaving and waits until its monitors know.
func (p *Process) announceLeaving() {
	if p.heartbeater.Record().Status == member.StatusLeaving {
		return
	}
	p.options.Log.Info().Str("box", p.settings.Box).Msg("leaving")
	p.heartbeater.Update(func(record *member.Record) { record.Status = member.StatusLeaving })
	ctx, cancel := context.WithTimeout(context.Background(), 2*dialTimeout)
	defer cancel()
	p.heartbeater.Announce(ctx)
}

// CallersAddress returns where callers are answered; empty on an agent.
func (p *Process) CallersAddress() string {
	if p.callerSocket == nil {
		return ""
	}
	return p.callerSocket.address
}

// OperatorsAddress returns where operators are answered.
func (p *Process) OperatorsAddress() string { return listenerAddress(p.operatorListener) }

// PeersAddress returns where other processes are answered.
func (p *Process) PeersAddress() string { return listenerAddress(p.peerListener) }

func listenerAddress(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// record is the box's own record as the settings give it.
func (p *Process) record(role member.Role) member.Record {
	return member.Record{
		Box: member.BoxID(p.settings.Box), Role: role,
		Region: member.Region(p.settings.Region), FailureDomain: member.FailureDomain(p.settings.FailureDomain),
		Peers: member.Address(p.PeersAddress()),
	}
}

// sources are asked in order: the weight store first, because bytes drawn from
// the origin are the ones that are scarce.
func (p *Process) sources() []provider.WeightSource {
	return []provider.WeightSource{
		provider.NewWeightSource("weight-store", p.settings.Platform.WeightStore, p.client),
		provider.NewWeightSource("origin", p.settings.Platform.Origin, p.client),
	}
}

func (p *Process) configuredEntries() []member.Address {
	addresses := make([]member.Address, 0, len(p.settings.Peers.Entries))
	for _, entry := range p.settings.Peers.Entries {
		if entry != p.PeersAddress() {
			addresses = append(addresses, member.Address(entry))
		}
	}
	return addresses
}

// IsServing reports whether an entry box answers callers and has a live box for
// every row of the table in force.
func (p *Process) IsServing() bool {
	view, err := kernel.Find[*View](p.services, "view")
	if err != nil {
		return false
	}
	rows, _ := view.Rows()
	for _, row := range rows {
		decided, ok := view.RowPlan(row.Key())
		place := route.ServiceVersion{Service: member.Service(row.Model), Version: decided.Serving}
		if !ok || view.Router().Count(place) == 0 {
			return false
		}
	}
	return len(rows) > 0 && p.heartbeater.Record().Callers != ""
}
