package daemon

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// steps lists the startup steps. Each service starts after those that it depends on. Services
// stop in reverse order, so the services for callers start last and stop first.
var steps = []Step{
	listenStep{},
	peersStep{},
	entryStateStep{},
	entryHeartbeatStep{},
	entryServicesStep{},
	agentHeartbeatStep{},
	agentWeightsStep{},
	operatorServerStep{},
	peerServerStep{},
	callerServerStep{},
	backendProxyStep{},
}

// everyRole is embedded in steps that every role needs.
type everyRole struct{}

// Skip returns false.
func (everyRole) Skip(*Process) bool { return false }

// entryOnly is embedded in steps of the entry role.
type entryOnly struct{}

// Skip returns true on an agent.
func (entryOnly) Skip(p *Process) bool { return p.settings.Role != settings.RoleEntry }

// agentOnly is embedded in steps of the agent role.
type agentOnly struct{}

// Skip returns true on an entry box.
func (agentOnly) Skip(p *Process) bool { return p.settings.Role != settings.RoleAgent }

// listenStep opens the listeners before any step announces their addresses.
type listenStep struct{ everyRole }

func (listenStep) String() string { return "listeners" }

func (listenStep) Run(p *Process) error {
	ctx := context.Background()
	var config net.ListenConfig
	var err error
	if p.peerListener, err = config.Listen(ctx, "tcp", p.settings.Listen.Peers); err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	if p.operatorListener, err = config.Listen(ctx, "tcp", p.settings.Listen.Operators); err != nil {
		return fmt.Errorf("listening for operators: %w", err)
	}
	if p.settings.Role == settings.RoleEntry {
		// The socket is bound but does not listen, so connections are refused until the process is ready.
		if p.callerSocket, err = bindSocket(p.settings.Listen.Callers); err != nil {
			return fmt.Errorf("reserving caller address: %w", err)
		}
	}
	return nil
}

// peersStep creates the pool of connections to other processes.
type peersStep struct{ everyRole }

func (peersStep) String() string { return "peers" }

func (peersStep) Run(p *Process) error {
	p.peers = NewPeerPool()
	return p.services.Register(p.peers)
}

// entryStateStep creates the replicated state and the services that synchronize and decode it.
type entryStateStep struct{ entryOnly }

func (entryStateStep) String() string { return "replicated state" }

func (entryStateStep) Run(p *Process) error {
	store := state.NewStore(uint64(p.options.Clock.Now().UnixNano()))
	view := NewView(store, member.Region(p.settings.Region), p.options.Log)
	if err := p.services.Register(view); err != nil {
		return err
	}
	p.overlay = NewOverlay(view, p.record(member.RoleEntry), p.seeds)
	replica := NewReplica(store, p.peers, p.options.Clock, p.options.Log, p.overlay.Links)
	if err := wire.DRPCRegisterReplica(p.mux, replica); err != nil {
		return err
	}
	return p.services.Register(replica)
}

// viewAndReplica returns the two services for an entry box's replicated state.
func (p *Process) viewAndReplica() (*View, *Replica, error) {
	view, err := kernel.Find[*View](p.services, "view")
	if err != nil {
		return nil, nil, err
	}
	replica, err := kernel.Find[*Replica](p.services, "replica")
	return view, replica, err
}

// seeds returns the entry boxes to contact first: those of the settings and those that
// the platform lists.
func (p *Process) seeds() []member.Address {
	seeds := p.configuredEntries()
	poller, err := kernel.Find[*BoxListPoller](p.services, "lister")
	if err != nil {
		return seeds
	}
	for _, entry := range poller.Entries() {
		if string(entry) != p.PeersAddress() && !slices.Contains(seeds, entry) {
			seeds = append(seeds, entry)
		}
	}
	return seeds
}

// entryHeartbeatStep publishes the entry box's own record.
type entryHeartbeatStep struct{ entryOnly }

func (entryHeartbeatStep) String() string { return "entry heart" }

func (entryHeartbeatStep) Run(p *Process) error {
	view, replica, err := p.viewAndReplica()
	if err != nil {
		return err
	}
	record := p.record(member.RoleEntry)
	p.heartbeater = NewHeartbeater(record, HeartbeaterOptions{
		Peers: p.peers, Clock: p.options.Clock, Log: p.options.Log,
		Interval: time.Duration(p.settings.Peers.Heartbeat),
		Monitors: func() []member.Address {
			if local := rankedMonitors(record.Box, view.Entries(record.Region)); len(local) > 0 {
				return local
			}
			return p.seeds()
		},
		FillRequest: func(*wire.HeartbeatRequest) {},
		OnResponse:  func(member.Address, *wire.HeartbeatResponse) {},
		OnChange: func(record member.Record) {
			item, err := record.Item()
			if err != nil {
				p.options.Log.Error().Err(err).Msg("cannot encode own record; not published")
				return
			}
			replica.Publish(item)
		},
	})
	return p.services.Register(p.heartbeater)
}

// entryServicesStep starts the monitor, the table store, the box list poller and the planner.
type entryServicesStep struct{ entryOnly }

func (entryServicesStep) String() string { return "entry duties" }

func (entryServicesStep) Run(p *Process) error {
	view, replica, err := p.viewAndReplica()
	if err != nil {
		return err
	}
	clock, log, isRelay := p.options.Clock, p.options.Log, p.overlay.IsRelay
	monitor := NewMonitor(member.Address(p.PeersAddress()), view, replica, p.peers, clock, log, p.metrics, time.Duration(p.settings.Peers.SilenceTimeout))
	if err := wire.DRPCRegisterMonitor(p.mux, monitor); err != nil {
		return err
	}
	kv := provider.NewKeyValue(p.settings.Platform.KeyValue, p.client)
	list := provider.NewBoxList(p.settings.Platform.BoxList, p.client)
	for _, service := range []kernel.Service{
		monitor,
		NewTableStore(kv, p.sources(), replica, clock, log, p.metrics, isRelay),
		NewBoxListPoller(list, view, replica, clock, log, isRelay),
		NewPlanner(member.BoxID(p.settings.Box), kv, p.sources(), view, replica, clock, log, p.metrics, isRelay,
			time.Duration(p.settings.Peers.Heartbeat)),
	} {
		if err := p.services.Register(service); err != nil {
			return err
		}
	}
	return nil
}

// agentHeartbeatStep starts the agent's heartbeats.
type agentHeartbeatStep struct{ agentOnly }

func (agentHeartbeatStep) String() string { return "agent heart" }

// knownEntries holds the entry boxes that a monitor announced most recently.
type knownEntries struct {
	mu      sync.Mutex
	entries []member.Address
}

func (k *knownEntries) set(entries []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.entries = k.entries[:0:0]
	for _, entry := range entries {
		k.entries = append(k.entries, member.Address(entry))
	}
}

// withSeeds returns the announced entry boxes, followed by the seeds that are not among them.
func (k *knownEntries) withSeeds(seeds []member.Address) []member.Address {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := slices.Clone(k.entries)
	for _, seed := range seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

func (agentHeartbeatStep) Run(p *Process) error {
	record := p.record(member.RoleAgent)
	for _, model := range p.settings.Agent.Engine.Models {
		record.Models = append(record.Models, table.Model(model))
	}
	if len(record.Models) > 0 {
		record.Slots = p.settings.Agent.Engine.Slots
	}
	for _, service := range p.settings.Agent.Services {
		record.Services = append(record.Services, member.Service(service.Name))
	}
	known := &knownEntries{}
	p.heartbeater = NewHeartbeater(record, HeartbeaterOptions{
		Peers: p.peers, Clock: p.options.Clock, Log: p.options.Log,
		Interval: time.Duration(p.settings.Peers.Heartbeat),
		Monitors: func() []member.Address { return known.withSeeds(p.configuredEntries()) },
		FillRequest: func(request *wire.HeartbeatRequest) {
			if loader, err := kernel.Find[*Loader](p.services, "copier"); err == nil {
				loader.FillHeartbeat(request)
			}
		},
		OnResponse: func(_ member.Address, response *wire.HeartbeatResponse) {
			if len(response.Entries) > 0 {
				known.set(response.Entries)
			}
			if loader, err := kernel.Find[*Loader](p.services, "copier"); err == nil {
				loader.HandleResponse(response)
			}
		},
	})
	return p.services.Register(p.heartbeater)
}

// soonestLiveDivisor divides the delay of the second origin fetcher if the settings prefer an early
// live version to fewer bytes from the origin.
const soonestLiveDivisor = 2

// agentWeightsStep creates the backend proxy, and starts the loader and the chunk server.
type agentWeightsStep struct{ agentOnly }

func (agentWeightsStep) String() string { return "agent weights" }

func (agentWeightsStep) Run(p *Process) error {
	services := make(map[member.Service]string)
	for _, service := range p.settings.Agent.Services {
		services[member.Service(service.Name)] = service.URL
	}
	engine := p.settings.Agent.Engine.URL
	p.backendProxy = NewBackendProxy(engine, services, p.peers, p.heartbeater.Record, p.options.Clock, p.options.Log, p.metrics)
	if err := wire.DRPCRegisterBackend(p.mux, p.backendProxy); err != nil {
		return err
	}
	store := weights.NewMemoryStore(p.settings.Weights.MemoryLimit)
	if err := wire.DRPCRegisterChunks(p.mux, NewChunkServer(store, p.metrics)); err != nil {
		return err
	}
	picker := weights.DefaultPickerOptions()
	picker.RankDelay = time.Duration(p.settings.Weights.OriginFetchWait)
	if p.settings.Weights.Prefer == settings.PreferSoonestLive {
		picker.RankDelay /= soonestLiveDivisor
	}
	loader := NewLoader(LoaderOptions{
		Self: member.BoxID(p.settings.Box), Peers: p.peers, Store: store, Sources: p.sources(),
		Engine: provider.NewEngine(engine, p.client), Proxy: p.backendProxy, Heartbeater: p.heartbeater,
		Clock: p.options.Clock, Log: p.options.Log, Metrics: p.metrics, Picker: picker,
	})
	return p.services.Register(loader)
}

// operatorServerStep starts the server for operators.
type operatorServerStep struct{ everyRole }

func (operatorServerStep) String() string { return "operators" }

func (operatorServerStep) Run(p *Process) error {
	options := OperatorServerOptions{
		TokenFile: p.settings.Operators.TokenFile, Metrics: p.metrics, Clock: p.options.Clock, Log: p.options.Log,
		EntriesTTL: time.Duration(p.settings.Requests.EntriesTTL), Self: p.heartbeater.Record,
		Ready: func() (bool, string) { return true, "" },
	}
	if p.settings.Role == settings.RoleEntry {
		view, err := kernel.Find[*View](p.services, "view")
		if err != nil {
			return err
		}
		if options.Table, err = kernel.Find[*TableStore](p.services, "configuration"); err != nil {
			return err
		}
		options.View = view
		options.Ready = func() (bool, string) {
			if view.PlanHead().Epoch == 0 {
				return false, "no plan is in force yet"
			}
			return true, ""
		}
	}
	operators, err := NewOperatorServer(p.operatorListener, options)
	if err != nil {
		return err
	}
	return p.services.Register(operators)
}

// peerServerStep starts the server for other processes.
type peerServerStep struct{ everyRole }

func (peerServerStep) String() string { return "peer server" }

func (peerServerStep) Run(p *Process) error {
	if err := wire.DRPCRegisterProbe(p.mux, probeServer{p.heartbeater}); err != nil {
		return err
	}
	return p.services.Register(NewPeerServer(p.peerListener, p.mux, p.options.Log))
}

// probeServer handles probes of monitors.
type probeServer struct{ heartbeater *Heartbeater }

// Alive handles the probe of a monitor that misses heartbeats of this box. It returns the current incarnation.
func (p probeServer) Alive(context.Context, *wire.AliveRequest) (*wire.AliveResponse, error) {
	record := p.heartbeater.Record()
	return &wire.AliveResponse{Box: string(record.Box), Incarnation: uint64(record.Incarnation)}, nil
}

// callerServerStep starts the server for callers.
type callerServerStep struct{ entryOnly }

func (callerServerStep) String() string { return "callers" }

func (callerServerStep) Run(p *Process) error {
	view, err := kernel.Find[*View](p.services, "view")
	if err != nil {
		return err
	}
	return p.services.Register(NewCallerServer(CallerServerOptions{
		Listen: p.callerSocket.listen,
		Ready:  func() bool { return view.PlanHead().Epoch != 0 },
		OnListening: func() {
			p.heartbeater.Update(func(record *member.Record) { record.Callers = member.Address(p.callerSocket.address) })
		},
		Settings: p.settings.Requests, Region: member.Region(p.settings.Region), View: view, Peers: p.peers,
		Clock: p.options.Clock, Log: p.options.Log, Metrics: p.metrics,
	}))
}

// backendProxyStep registers the backend proxy last, so that it stops first and waits
// for the requests in progress while all other services still run.
type backendProxyStep struct{ agentOnly }

func (backendProxyStep) String() string { return "gate" }

func (backendProxyStep) Run(p *Process) error { return p.services.Register(p.backendProxy) }
