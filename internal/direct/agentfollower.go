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

// AgentFollower follows the agents beside the model servers.
type AgentFollower struct {
	fleetState *FleetState
	suspects   *SuspectRequests
	peers      *daemon.PeerPool
	// entries tell which servers are those of the own cell.
	entries *EntryBoxes
	clock   clockwork.Clock
	log     zerolog.Logger
	tasks   *kernel.TaskGroup
	self    string
	port    uint16
	// onState is called with what an agent tells of the server at an address.
	onState func(address member.Address, state route.ServerState, now time.Time)
}

// startAgentFollower follows the agents.
func (p *Process) startAgentFollower() error {
	m := &AgentFollower{
		fleetState: p.fleetState, suspects: p.suspects, peers: p.peers, entries: p.entries, clock: p.options.Clock, log: p.options.Log, tasks: kernel.NewTaskGroup(),
		self: p.settings.Box, port: uint16(p.settings.Direct.AgentPort), onState: p.callerServer.UpdateServerState,
	}
	m.tasks.Go(m.followAll)
	return p.services.Register(m)
}

// String returns the service's name.
func (m *AgentFollower) String() string { return "model-servers" }

// Stop ends following.
func (m *AgentFollower) Stop(ctx context.Context) error { return m.tasks.Stop(ctx) }

// agentAddress is where the agent beside a backend server is reached.
func agentAddress(server member.Address, port uint16) (member.Address, bool) {
	address, err := netip.ParseAddrPort(string(server))
	if err != nil {
		return "", false
	}
	return member.Address(netip.AddrPortFrom(address.Addr(), port).String()), true
}

// followAll keeps a duty for each model server of the list.
func (m *AgentFollower) followAll(ctx context.Context) {
	following := make(map[member.Address]context.CancelFunc)
	for {
		changed, replanned := m.fleetState.Changed(), m.entries.Replanned()
		listed := m.cellServers()
		for address := range listed {
			if following[address] == nil {
				followCtx, cancel := context.WithCancel(ctx)
				following[address] = cancel
				m.tasks.Go(func(context.Context) { m.follow(followCtx, address) })
			}
		}
		for address, cancel := range following {
			if !listed[address] {
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

// cellServers returns the addresses of the model servers of the own cell.
func (m *AgentFollower) cellServers() map[member.Address]bool {
	view, plan := m.fleetState.View(), m.entries.currentPlan()
	listed := make(map[member.Address]bool)
	for _, service := range view.Services() {
		if service.Engine == nil {
			continue
		}
		for _, server := range plan.ownServers(view.Servers(service.Name)) {
			listed[server.Address] = true
		}
	}
	return listed
}

// follow takes the states that one agent tells.
func (m *AgentFollower) follow(ctx context.Context, server member.Address) {
	agent, ok := agentAddress(server, m.port)
	if !ok {
		m.log.Error().Str("address", string(server)).Msg("server's address has no IP address and port")
		return
	}
	for ctx.Err() == nil {
		heard, err := m.followOnce(ctx, server, agent)
		if heard && errors.Is(err, errSilent) && ctx.Err() == nil {
			m.onState(server, route.ServerState{Silent: true}, m.clock.Now())
		}
		sleep(ctx, m.clock, followRetryDelay)
	}
}

// followOnce follows an agent until its stream ends, and tells whether it was heard.
func (m *AgentFollower) followOnce(ctx context.Context, server, agent member.Address) (heard bool, err error) {
	// The agent's box is named by its first message only.
	box, told := "", agentReport{}
	return followStream(ctx, m.clock, m.peers, m.log, &peerStream[*wire.ServerStatus]{
		dependency: "agent", address: agent,
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.ServerStatus, error), error) {
			stream, err := client.Server(ctx, &wire.FollowRequest{Box: m.self})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage: func(status *wire.ServerStatus) {
			if box == "" {
				box = status.Box
			}
			m.fleetState.MergeVersionAges(agesFromWire(status.Ages), box)
			m.suspects.MergeEvidence(evidenceFromWire(status.Evidence, m.clock.Now()), box)
			if word := (agentReport{member.Incarnation(status.Incarnation), status.Leaving}); word.leaving || word != told {
				// One that leaves is told again, as its entry may have come later.
				told = word
				m.fleetState.MergeAgentReport(server, word.incarnation, word.leaving, box)
			}
			m.onState(server, serverStateFromWire(status, m.clock.Now()), m.clock.Now())
		},
		regainedFields: func(line *zerolog.Event, first *wire.ServerStatus) { line.Str("box", first.Box) },
		lostFields:     func(line *zerolog.Event, err error) { line.Str("box", box).Bool("silent", errors.Is(err, errSilent)) },
	})
}

// agentReport is which start of a server its agent hears, and whether that leaves.
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
