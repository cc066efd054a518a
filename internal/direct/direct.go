// Package direct holds the services of processes in direct mode, in which entry
// boxes connect straight to the backend servers of a platform.
//
// # Entry box
//
//	facts      what the platform's store and other entry boxes tell
//	members    who is there, as the entry boxes tell each other
//	peers      follows those of the own cell, for what they have in flight, and some neighbours
//	servers    follows the agents of the cell: what each backend server has loaded and runs
//	front      answers callers
//	directory  tells callers which entry boxes to use, and the platform if this one is ready
//
// # Agent
//
//	facts      follows an entry box
//	loader     brings the wanted weights to the backend server of the box
//	status     reads the backend server's state for the entry boxes
//
// Nothing here knows the platform's names: they are in provider.Direct, which the
// program fills.
//
// # Usage
//
//	process, err := direct.Start(loaded, direct.Options{Clock: clock, Log: log, Platform: platform})
//	...
//	err = process.Stop(ctx)
package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Options are what a process gets from outside its settings.
type Options struct {
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Platform provider.DirectPlatform
	// LogQueue is where the log goes, if its losses are to be counted.
	LogQueue *daemon.LogQueue
}

// Process is one running role.
type Process struct {
	services     *kernel.Registry
	settings     *settings.Settings
	options      Options
	metrics      *Metrics
	mux          *drpcmux.Mux
	peers        *daemon.PeerPool
	fleetState   *FleetState
	membership   *Membership
	entries      *EntryBoxes
	suspects     *SuspectRequests
	callerServer *CallerServer
	status       *StatusServer
}

// step starts one part of a process.
type step struct {
	name string
	run  func(p *Process) error
}

// The steps of each role, in order. Services stop in the reverse order.
var (
	entrySteps = []step{
		{"facts", (*Process).startFleetState},
		{"members", (*Process).startMembership},
		{"status", (*Process).startStatus},
		{"front", (*Process).startCallerServer},
		{"peers", (*Process).startPeers},
		{"servers", (*Process).startAgentFollower},
		{"telling", (*Process).startBroadcast},
		{"peer server", (*Process).startPeerServer},
		{"metrics", (*Process).startMetrics},
		{"directory", (*Process).startDirectory},
	}
	agentSteps = []step{
		{"facts", (*Process).startEntryFollower},
		{"loader", (*Process).startLoader},
		{"peer server", (*Process).startPeerServer},
		{"metrics", (*Process).startMetrics},
	}
)

// Start runs the steps of a role. If one fails, what was started is stopped.
func Start(loaded *settings.Settings, options Options) (*Process, error) {
	p := &Process{
		services: kernel.New(), settings: loaded, options: options,
		metrics: NewMetrics(), mux: drpcmux.New(), peers: daemon.NewPeerPool(),
	}
	p.suspects = newSuspectRequests(options.Clock, options.Log, p.metrics)
	if options.LogQueue != nil {
		options.LogQueue.OnDrop = p.metrics.logDropped.Inc
	}
	if err := p.services.Register(p.peers); err != nil {
		return nil, err
	}
	steps := agentSteps
	if loaded.Role == settings.RoleEntry {
		steps = entrySteps
	}
	for _, step := range steps {
		if err := step.run(p); err != nil {
			ctx, cancel := clockwork.WithTimeout(context.Background(), options.Clock, time.Second)
			defer cancel()
			return nil, errors.Join(fmt.Errorf("starting %s: %w", step.name, err), p.services.Stop(ctx))
		}
	}
	return p, nil
}

// Stop is a planned stop: callers are led elsewhere first, then what is in
// progress is finished, within the grace of the settings.
func (p *Process) Stop(ctx context.Context) error {
	grace := time.Duration(p.settings.Stop.Grace) - stopReserve
	stopCtx, cancel := clockwork.WithTimeout(ctx, p.options.Clock, grace)
	defer cancel()
	if p.callerServer != nil {
		p.status.Leave()
		p.callerServer.Leave(stopCtx, grace)
	}
	return p.services.Stop(stopCtx)
}

// stopReserve is kept of the grace for ending the process itself.
const stopReserve = 400 * time.Millisecond

// Reload notes that the settings file may have changed. Nothing that is read at
// start can change while the process runs, so the running settings stay.
func (p *Process) Reload(changed *settings.Settings) {
	p.options.Log.Info().Str("box", changed.Box).Int("seeds", len(changed.Peers.Entries)).Msg("settings reloaded")
	if p.entries != nil {
		p.entries.AddSeeds(changed.Peers.Entries)
	}
}

// listen opens a listener whose connections fail soon after their peer has
// fallen silent.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: upstream.SetUserTimeout}
	return config.Listen(context.Background(), "tcp", address)
}

func (p *Process) box() member.BoxID { return member.BoxID(p.settings.Box) }

func (p *Process) region() member.Region { return member.Region(p.settings.Region) }

// regionOf returns the region of a failure domain; empty if the settings do not name it.
func (p *Process) regionOf(domain member.FailureDomain) member.Region {
	return member.Region(p.settings.Direct.Domains[string(domain)])
}

// isLocal reports whether a failure domain is in the own region.
func (p *Process) isLocal(domain member.FailureDomain) bool { return p.regionOf(domain) == p.region() }

func (p *Process) startPeerServer() error {
	listener, err := listen(p.settings.Listen.Peers)
	if err != nil {
		return err
	}
	return p.services.Register(daemon.NewPeerServer(listener, p.mux, p.options.Log))
}
