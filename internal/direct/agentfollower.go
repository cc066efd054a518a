package direct

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// AgentFollower follows the status streams of the agents that run beside the backend servers of the own cell.
type AgentFollower struct {
	fleetState *FleetState
	suspects   *SuspectRequests
	peers      *daemon.PeerPool
	// entries supplies the plan that determines the servers of the own cell.
	entries *EntryBoxes
	clock   clockwork.Clock
	log     zerolog.Logger
	tasks   *kernel.TaskGroup
	self    string
	region  member.Region
	port    uint16
	// onState is called with the state that an agent reports for the server at an address.
	onState func(address member.Address, state route.ServerState, now time.Time)
}

// startAgentFollower starts to follow the agents.
func (p *Process) startAgentFollower() error {
	a := &AgentFollower{
		fleetState: p.fleetState, suspects: p.suspects, peers: p.peers, entries: p.entries, clock: p.options.Clock, log: p.options.Log, tasks: kernel.NewTaskGroup(),
		self: p.settings.Box, region: p.region(), port: uint16(p.settings.Direct.AgentPort), onState: p.callerServer.UpdateServerState,
	}
	a.tasks.Go(a.followAll)
	return p.services.Register(a)
}

// String returns the service's name.
func (a *AgentFollower) String() string { return "model-servers" }

// Stop ends all streams.
func (a *AgentFollower) Stop(ctx context.Context) error { return a.tasks.Stop(ctx) }

// agentAddress returns the address of the agent beside a backend server, and false if the server's address
// cannot be parsed.
func agentAddress(server member.Address, port uint16) (member.Address, bool) {
	address, err := netip.ParseAddrPort(string(server))
	if err != nil {
		return "", false
	}
	return member.Address(netip.AddrPortFrom(address.Addr(), port).String()), true
}

// followAll runs a task for the agent of each server of the own cell, until the context ends.
func (a *AgentFollower) followAll(ctx context.Context) {
	following := make(map[member.Address]context.CancelFunc)
	for {
		changed, replanned := a.fleetState.Changed(), a.entries.Replanned()
		servers := a.cellServers()
		// A plan that is postponed may give the own cell all servers of the fleet.
		isPostponed := a.entries.isPlanPostponed()
		for address := range servers {
			if following[address] == nil && !isPostponed {
				followCtx, cancel := context.WithCancel(ctx)
				following[address] = cancel
				a.tasks.Go(func(context.Context) { a.follow(followCtx, address) })
			}
		}
		for address, cancel := range following {
			if !servers[address] {
				cancel()
				delete(following, address)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range following {
				cancel()
			}
			return
		case <-changed:
		case <-replanned:
		}
	}
}

// cellServers returns the addresses of the own cell's servers, for services with an engine.
func (a *AgentFollower) cellServers() map[member.Address]bool {
	view, plan := a.fleetState.View(), a.entries.currentPlan()
	addresses := make(map[member.Address]bool)
	for _, service := range view.Services() {
		if service.Engine == nil {
			continue
		}
		for _, server := range plan.ownServers(view.Servers(service.Name)) {
			addresses[server.Address] = true
		}
	}
	return addresses
}

// follow follows one agent until the context ends, and reports its server as silent when a stream
// that had messages falls silent.
func (a *AgentFollower) follow(ctx context.Context, server member.Address) {
	agent, ok := agentAddress(server, a.port)
	if !ok {
		a.log.Error().Str("address", string(server)).Msg("server address is not an IP address with a port; not following its agent")
		return
	}
	for ctx.Err() == nil {
		received, err := a.followOnce(ctx, server, agent)
		if received && errors.Is(err, errSilent) && ctx.Err() == nil {
			a.onState(server, route.ServerState{Silent: true}, a.clock.Now())
		}
		sleep(ctx, a.clock, followRetryDelay)
	}
}

// followOnce follows an agent until its stream ends, and reports whether any message was received.
func (a *AgentFollower) followOnce(ctx context.Context, server, agent member.Address) (received bool, err error) {
	// Only the first message names the agent's box.
	box, lastReport := "", agentReport{}
	return followStream(ctx, a.clock, a.peers, a.log, &peerStream[*wire.ServerStatus]{
		dependency: "agent", address: agent,
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.ServerStatus, error), error) {
			stream, err := client.Server(ctx, &wire.FollowRequest{Box: a.self, Region: string(a.region)})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage: func(status *wire.ServerStatus) {
			if box == "" {
				box = status.Box
			}
			a.fleetState.MergeVersionAges(agesFromWire(status.Ages), box)
			a.suspects.MergeEvidence(evidenceFromWire(status.Evidence, a.clock.Now()), box)
			a.entries.membership.NoteFleetSize(agent, fleetSize{member.Incarnation(status.FleetSince), int(status.FleetBoxes)})
			if report := (agentReport{member.Incarnation(status.Incarnation), status.Leaving}); report.leaving || report != lastReport {
				// A departure is merged at each message, because the server's entry may arrive later.
				lastReport = report
				a.fleetState.MergeAgentReport(server, report.incarnation, report.leaving, box)
			}
			a.onState(server, serverStateFromWire(status, a.clock.Now()), a.clock.Now())
		},
		regainedFields: func(line *zerolog.Event, first *wire.ServerStatus) { line.Str("box", first.Box) },
		lostFields:     func(line *zerolog.Event, err error) { line.Str("box", box).Bool("silent", errors.Is(err, errSilent)) },
	})
}

// agentReport is the incarnation of a server that its agent reports, and whether it is leaving.
type agentReport struct {
	incarnation member.Incarnation
	leaving     bool
}

func serverStateFromWire(status *wire.ServerStatus, now time.Time) route.ServerState {
	state := route.ServerState{
		Incarnation: member.Incarnation(status.Incarnation), Swapping: status.Swapping, Running: int(status.Running), Waiting: int(status.Waiting), Slowdown: status.Pace,
	}
	if status.Whole {
		state.Version = fleet.WeightsVersion(status.Version)
	}
	if status.SwapInMilliseconds > 0 {
		state.SwapAt = now.Add(time.Duration(status.SwapInMilliseconds) * time.Millisecond)
	}
	return state
}
