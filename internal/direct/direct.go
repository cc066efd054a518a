// Package direct implements the services of processes in direct mode. In this mode, entry boxes connect directly
// to the backend servers of a platform.
//
// # Entry box
//
//	FleetState     merges facts from the platform's store and from other entry boxes
//	Membership     holds the records of all entry boxes, which the boxes exchange
//	StatusServer   streams the status and the facts of the box to other processes
//	CallerServer   serves callers
//	EntryBoxes     follows the boxes of the own cell for their load, and some neighbours
//	AgentFollower  follows the agents of the own cell for the state of each backend server
//	Directory      resolves callers to entry boxes, and serves readiness probes
//
// # Agent
//
//	FleetState     merges facts from the entry box that the agent follows
//	Loader         downloads and loads desired weights for the backend server of the box, and reports the server's state
//
// The package has no names of a specific platform: the caller of Start supplies them in a provider.DirectPlatform.
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

// Options are the parts of a process that the settings do not define.
type Options struct {
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Platform provider.DirectPlatform
	// LogQueue is the queue that Log writes to. If it is set, dropped lines are counted.
	LogQueue *daemon.LogQueue
}

// Process is a running process in the role of an entry box or an agent.
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

// step is one step of starting a process.
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

// Start starts the services of the role in the settings. If one fails to start, Start stops the others and returns
// the error.
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

// Stop stops the process as planned, within the grace period of the settings. It first directs callers to other
// boxes, then finishes the requests in progress and stops all services.
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

// stopReserve is the part of the grace period that is reserved for the exit of the process itself.
const stopReserve = 400 * time.Millisecond

// Reload updates the seed addresses of entry boxes from changed settings. All other settings are read only at
// start and stay as they are.
func (p *Process) Reload(changed *settings.Settings) {
	p.options.Log.Info().Str("box", changed.Box).Int("seeds", len(changed.Peers.Entries)).Msg("settings reloaded")
	if p.entries != nil {
		p.entries.AddSeeds(changed.Peers.Entries)
	}
}

// listen opens a TCP listener for other boxes. Its connections fail soon after their peer stops responding or reading, so that no
// write waits for a process that stands still. For callers see upstream.Listen.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: upstream.SetUserTimeout}
	return config.Listen(context.Background(), "tcp", address)
}

func (p *Process) box() member.BoxID { return member.BoxID(p.settings.Box) }

func (p *Process) region() member.Region { return member.Region(p.settings.Region) }

// regionOf returns the region of a failure domain, empty if the settings do not list the domain.
func (p *Process) regionOf(domain member.FailureDomain) member.Region {
	return member.Region(p.settings.Direct.Domains[string(domain)])
}

// domains returns the failure domains of the settings.
func (p *Process) domains() []member.FailureDomain {
	domains := make([]member.FailureDomain, 0, len(p.settings.Direct.Domains))
	for domain := range p.settings.Direct.Domains {
		domains = append(domains, member.FailureDomain(domain))
	}
	return domains
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
