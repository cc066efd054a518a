// Package daemon provides the services of an entry box and of an agent, and the steps that start them.
//
// # Entry box
//
//	Replica         synchronizes the replicated items with other entry boxes
//	View            decodes the replicated items and indexes them for routing and planning
//	Heartbeater     publishes the box's own record and sends heartbeats
//	Monitor         receives heartbeats, marks boxes silent, sends assignments
//	TableStore      follows the table in the key-value service and applies edits
//	Planner         computes plans while it holds the lease
//	BoxListPoller   compares the platform's box list with the records
//	CallerServer    serves callers
//	OperatorServer  serves operators
//
// # Agent
//
//	Heartbeater     publishes the box's own record and sends heartbeats
//	Loader          fetches, verifies, loads and drops versions
//	ChunkServer     serves chunks to other agents
//	BackendProxy    checks a request and proxies it to the backend server
//	OperatorServer  serves metrics and health checks
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

// Options holds the dependencies of a process that its settings don't provide.
type Options struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
}

// Process is a running entry box or agent.
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

// Step is one step of starting a process.
type Step interface {
	// String returns the name of the step in logs and errors.
	String() string
	// Skip reports whether the role of the process does not need the step.
	Skip(p *Process) bool
	// Run executes the step.
	Run(p *Process) error
}

// Start runs the startup steps of the configured role in order. If a step fails,
// Start stops the services that are already running and returns the error.
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

// platformIdleConns is the maximum number of idle connections to a platform service.
const platformIdleConns = 8

func newPlatformClient() *http.Client {
	return upstream.NewHTTPClient(&http.Transport{
		MaxIdleConnsPerHost: platformIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		DialContext: upstream.DialContext(upstream.NewDialer(dialTimeout)), MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// stepFunc runs a step. Middleware wraps it.
type stepFunc func(p *Process, step Step) error

// runUnlessSkipped runs a step unless the role does not need it.
func runUnlessSkipped(p *Process, step Step) error {
	if step.Skip(p) {
		return nil
	}
	return step.Run(p)
}

// withLogging logs the duration and the error of each step.
func withLogging(run stepFunc) stepFunc {
	return func(p *Process, step Step) error {
		started := p.options.Clock.Now()
		err := run(p, step)
		event := p.options.Log.Debug()
		if err != nil {
			event = p.options.Log.Error().Err(err)
		}
		event.Str("step", step.String()).Dur("taken_ms", p.options.Clock.Since(started)).Msg("startup step finished")
		return err
	}
}

// Stop shuts the process down gracefully: it announces that the box is leaving, finishes requests
// in progress and stops every service, within the grace period of the settings.
func (p *Process) Stop(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(ctx, time.Duration(p.settings.Stop.Grace))
	defer cancel()
	p.announceLeaving()
	err := p.services.Stop(stopCtx)
	p.client.CloseIdleConnections()
	return err
}

// announceLeaving announces that the box is leaving and waits for the responses of its monitors.
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

// CallersAddress returns the address for callers, or an empty string on an agent.
func (p *Process) CallersAddress() string {
	if p.callerSocket == nil {
		return ""
	}
	return p.callerSocket.address
}

// OperatorsAddress returns the address for operators.
func (p *Process) OperatorsAddress() string { return listenerAddress(p.operatorListener) }

// PeersAddress returns the address for other processes of the system.
func (p *Process) PeersAddress() string { return listenerAddress(p.peerListener) }

func listenerAddress(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// record returns the box's own record according to the settings.
func (p *Process) record(role member.Role) member.Record {
	return member.Record{
		Box: member.BoxID(p.settings.Box), Role: role,
		Region: member.Region(p.settings.Region), FailureDomain: member.FailureDomain(p.settings.FailureDomain),
		Peers: member.Address(p.PeersAddress()),
	}
}

// sources returns the weight sources in the order of use. The weight store comes first,
// because bandwidth from the origin is scarce.
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

// IsServing reports whether an entry box accepts callers and knows a live box for
// every row of the current table.
func (p *Process) IsServing() bool {
	view, err := kernel.Find[*View](p.services, "view")
	if err != nil {
		return false
	}
	rows, _ := view.Rows()
	for _, row := range rows {
		rowPlan, ok := view.RowPlan(row.Key())
		version := route.ServiceVersion{Service: member.Service(row.Model), Version: rowPlan.Serving}
		if !ok || view.Router().Count(version) == 0 {
			return false
		}
	}
	return len(rows) > 0 && p.heartbeater.Record().Callers != ""
}
