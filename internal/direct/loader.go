package direct

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// reportInterval is how often the backend server's report is read; from its
	// own box it is fresh and free.
	reportInterval = 100 * time.Millisecond
	// orderPollInterval is the same while the server carries an order out: callers wait for it.
	orderPollInterval = 20 * time.Millisecond
	// serverCallTimeout bounds reading it.
	serverCallTimeout = time.Second
	// loadRetryDelay is the wait after a step towards the wanted weights that failed.
	loadRetryDelay = 200 * time.Millisecond
	// maxChunkMemory bounds the pieces that are held, in bytes: two versions of the
	// largest models of today fit many times.
	maxChunkMemory = 64 << 20
)

// Loader brings the wanted weights to the backend server of the box and tells
// the entry boxes how far it is. It implements the drpc service Fleet for agents.
type Loader struct {
	wire.DRPCFleetUnimplementedServer

	options LoaderOptions
	tasks   *kernel.TaskGroup
	store   *weights.MemoryStore

	mu sync.Mutex
	// manifests are the manifests of the versions whose pieces are held.
	manifests map[publishedVersion]*weights.Manifest
	// downloads are the versions that are being fetched or have been.
	downloads map[fleet.WeightsVersion]*versionDownload
	verified  verifiedChunks
	report    fleet.Report
	reportAt  time.Time
	// incarnation is which start of the server has reported; 0 if none has said.
	incarnation member.Incarnation
	// leaving is set while the server says that it will end.
	leaving bool
	// polled is set once the server has been asked for a report.
	polled   bool
	swapping bool
	// swapAt is when the server is to be swapped; zero if that is not known.
	swapAt   time.Time
	changed  chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// LoaderOptions are the parts that a Loader works with.
type LoaderOptions struct {
	Box     string
	Service member.Service
	// Address is that of the backend server on the box, Agent that of this
	// process for its peers.
	Address         member.Address
	Agent           member.Address
	AgentPort       uint16
	FleetState      *FleetState
	SuspectRequests *SuspectRequests
	Peers           *daemon.PeerPool
	Server          provider.ModelServer
	Origin          provider.ChunkOrigin
	Clock           clockwork.Clock
	Log             zerolog.Logger
	Metrics         *Metrics
	// IsLocal reports whether a failure domain is in the own region.
	IsLocal func(member.FailureDomain) bool
	// LinkMbps is the rate of the box's link, in Mbit/s.
	LinkMbps float64
	// VersionBound is how long after newer weights were named older ones may still start
	// a request.
	VersionBound time.Duration
}

// startLoader starts to follow the wanted weights.
func (p *Process) startLoader() error {
	l := &Loader{
		options: LoaderOptions{
			Box: p.settings.Box, Service: member.Service(p.settings.Direct.Service),
			Address: member.Address(p.settings.Direct.Server), Agent: member.Address(p.settings.Listen.Peers),
			AgentPort:  uint16(p.settings.Direct.AgentPort),
			FleetState: p.fleetState, SuspectRequests: p.suspects, Peers: p.peers,
			Server: serverWithBackoff(p.options.Platform.Server, &serverBackoff{name: "server", clock: p.options.Clock, log: p.options.Log}),
			Origin: originWithBackoff(p.options.Platform.Origin, &serverBackoff{name: "origin", clock: p.options.Clock, log: p.options.Log}),
			Clock:  p.options.Clock, Log: p.options.Log, Metrics: p.metrics, IsLocal: p.isLocal,
			LinkMbps: p.settings.Direct.LinkMbps, VersionBound: time.Duration(p.settings.Direct.VersionBound),
		},
		tasks: kernel.NewTaskGroup(), store: weights.NewMemoryStore(maxChunkMemory),
		manifests: make(map[publishedVersion]*weights.Manifest),
		downloads: make(map[fleet.WeightsVersion]*versionDownload),
		changed:   make(chan struct{}), done: make(chan struct{}),
	}
	if err := wire.DRPCRegisterFleet(p.mux, l); err != nil {
		return err
	}
	if err := wire.DRPCRegisterChunks(p.mux, NewChunkServer(l.store, p.settings.Direct.LinkMbps, l.isIdle)); err != nil {
		return err
	}
	l.tasks.Go(l.pollServer)
	l.tasks.Go(l.reconcileLoop)
	return p.services.Register(l)
}

// String returns the service's name.
func (l *Loader) String() string { return "loader" }

// Stop ends following.
func (l *Loader) Stop(ctx context.Context) error {
	l.stopOnce.Do(func() { close(l.done) })
	return l.tasks.Stop(ctx)
}

// notify wakes the streams. The lock must be held.
func (l *Loader) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// pollServer reads the backend server's report again and again.
func (l *Loader) pollServer(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := l.readReport(ctx)
		if failed := err != nil; failed != lost && ctx.Err() == nil {
			lost = failed
			event, message := l.options.Log.Info(), "dependency regained"
			if failed {
				event, message = l.options.Log.Warn().Err(err), "dependency lost"
			}
			event.Str("dependency", "server").Str("address", string(l.options.Address)).Msg(message)
		}
		sleep(ctx, l.options.Clock, reportInterval)
	}
}

// readReport reads the backend server's report once.
func (l *Loader) readReport(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	report, err := l.options.Server.Report(callCtx)
	cancel()
	leaving := l.options.Server.Leaving()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polled = true
	if leaving && !l.leaving {
		l.options.Log.Info().Str("address", string(l.options.Address)).Uint64("incarnation", uint64(report.Incarnation)).Msg("server says that it leaves")
	}
	l.leaving = leaving
	if err == nil {
		err = l.noteIncarnation(report.Incarnation)
	}
	if err == nil {
		l.report, l.reportAt = report, l.options.Clock.Now()
	} else {
		l.report, l.reportAt = fleet.Report{}, time.Time{}
	}
	l.notify()
	return err
}

// errEarlierIncarnation reports an answer of a start of the server before the present one.
var errEarlierIncarnation = errors.New("report is of an earlier start of the server")

// noteIncarnation notes which start of the server reports. Nothing that was known of the one
// before holds of the next: what was staged may be gone, and swaps are planned anew.
func (l *Loader) noteIncarnation(reported member.Incarnation) error {
	switch {
	case reported == 0 || reported == l.incarnation:
		return nil
	case reported < l.incarnation:
		return errEarlierIncarnation
	}
	if l.incarnation != 0 {
		l.options.Log.Warn().Str("address", string(l.options.Address)).Uint64("incarnation", uint64(reported)).
			Uint64("before", uint64(l.incarnation)).Msg("server has started again")
		l.verified, l.swapAt = verifiedChunks{}, time.Time{}
	}
	l.incarnation = reported
	return nil
}

// serverReport returns the newest report; ok is false while the server does not
// answer.
func (l *Loader) serverReport() (report fleet.Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, !l.reportAt.IsZero()
}

func (l *Loader) setSwapping(swapping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.swapping != swapping {
		l.swapping = swapping
		l.notify()
	}
}

// target is what the server should run.
type target struct {
	model     fleet.ModelName
	engine    *fleet.Engine
	published fleet.PublishedVersions
	// origin publishes the weights; it has no address if none is known.
	origin  fleet.Service
	servers []fleet.Server
	// resumable is set if every request that the servers run can go on at another
	// one.
	resumable bool
}

// newest is the version that the server should come to.
func (t *target) newest() fleet.WeightsVersion { return t.published.Newest().Version }

// target returns what the server should run; ok is false until it is known.
func (l *Loader) target() (target, bool) {
	view := l.options.FleetState.View()
	service := view.Service(l.options.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return target{}, false
	}
	model := service.Engine.Models[0]
	want := target{
		model: model, engine: service.Engine, published: view.PublishedVersions(model),
		servers: withoutLeaving(view.Servers(l.options.Service)), resumable: view.Resumable(l.options.Service),
	}
	if origin := view.Origin(); origin != nil {
		want.origin = *origin
	}
	return want, true
}

// withoutLeaving returns the servers that have not said that they will end: those who leave get no newer weights,
// so no swap waits its turn behind theirs.
func withoutLeaving(servers []fleet.Server) []fleet.Server {
	isLeaving := func(s fleet.Server) bool { return s.Leaving }
	if !slices.ContainsFunc(servers, isLeaving) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), isLeaving)
}

// isLeaving reports whether the server of the box will end, by its own last answer or by what is believed of this
// start of it. Where the platform does not tell starts, what is believed may be of the server that had the address
// before, and the next one would get no weights until its entry has come.
func (l *Loader) isLeaving() bool {
	l.mu.Lock()
	leaving, incarnation := l.leaving, l.incarnation
	l.mu.Unlock()
	return leaving || incarnation != 0 && slices.ContainsFunc(l.options.FleetState.View().Servers(l.options.Service), func(s fleet.Server) bool {
		return s.Address == l.options.Address && s.Incarnation == incarnation && s.Leaving
	})
}

// loadedVersion returns the whole version of a model that the server has; 0 for none.
func loadedVersion(report *fleet.Report, model fleet.ModelName, layers int) fleet.WeightsVersion {
	for i := range report.Models {
		if report.Models[i].Name != model {
			continue
		}
		if version, whole := report.Models[i].CompleteVersion(layers); whole {
			return version
		}
	}
	return 0
}

// reconcileLoop brings the wanted weights to the server, again whenever they change or
// the server has lost them.
func (l *Loader) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		want, known := l.target()
		report, answers := l.serverReport()
		if known && answers && !report.Busy {
			l.reconcile(ctx, &want, loadedVersion(&report, want.model, want.engine.Layers))
		}
		sleep(ctx, l.options.Clock, reconcileInterval)
	}
}

// reconcileInterval is how often is looked at what the server lacks.
const reconcileInterval = 50 * time.Millisecond

// reconcile does what is due for a server that holds a whole version, or none if it is
// 0.
func (l *Loader) reconcile(ctx context.Context, want *target, have fleet.WeightsVersion) {
	if have >= want.newest() {
		l.announceSwap(time.Time{})
		l.cancelDownloads()
		if err := l.importRunning(ctx, want, have); err != nil {
			l.options.Log.Debug().Err(err).Msg("staged pieces not adopted")
		}
		return
	}
	if l.isLeaving() {
		// What was begun goes on, as other boxes may fetch it from here.
		l.announceSwap(time.Time{})
		return
	}
	l.startDownload(want, want.newest())
	version, at, ok := l.nextSwap(want, have)
	l.announceSwap(at)
	if !ok || l.options.Clock.Now().Before(at) {
		return
	}
	if err := l.swap(ctx, want, version, have > 0); err != nil && ctx.Err() == nil {
		l.options.Log.Warn().Str("model", string(want.model)).Uint64("version", uint64(version)).
			Uint64("have", uint64(have)).Err(err).Msg("weights not taken, trying again")
		sleep(ctx, l.options.Clock, loadRetryDelay)
	}
}

// nextSwap returns the version that the server is to be swapped to, and when: the newest
// that is whole here. ok is false if there is none.
func (l *Loader) nextSwap(want *target, have fleet.WeightsVersion) (version fleet.WeightsVersion, at time.Time, ok bool) {
	version, whole := l.newestComplete()
	switch {
	case version <= have:
		return 0, time.Time{}, false
	case have == 0:
		return version, whole, true
	}
	return version, l.swapTime(want, have, version, whole), true
}

// swapTimeTolerance is by how much a swap must move to be told again at once.
const swapTimeTolerance = 100 * time.Millisecond

// announceSwap notes when the server is to be swapped, the zero time for not at all.
func (l *Loader) announceSwap(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.swapAt.IsZero() == at.IsZero() && l.swapAt.Sub(at).Abs() < swapTimeTolerance {
		return
	}
	l.swapAt = at
	l.notify()
}

// Server streams the state of the backend server. Names and ages of versions are told
// first and when they change.
func (l *Loader) Server(_ *wire.FollowRequest, stream wire.DRPCFleet_ServerStream) error {
	var told *wire.ServerStatus
	var toldAt time.Time
	for {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		status, known := l.serverStatus()
		if known && (!isSameServerStatus(told, status, l.options.Clock.Since(toldAt)) || l.options.Clock.Since(toldAt) >= statusHeartbeat) {
			message := serverStatusDelta(told, status)
			if told == nil {
				// An entry box that has just started may have nobody else to hear it from. Others tell it themselves.
				evidence, _ := l.options.SuspectRequests.Since(0)
				message.Evidence = evidenceToWire(evidence, l.options.Clock.Now())
			}
			if err := stream.Send(message); err != nil {
				return err
			}
			told, toldAt = status, l.options.Clock.Now()
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-l.done:
			return nil
		case <-changed:
		}
	}
}

// serverStatusDelta leaves out what the receiver was told before and does not change.
func serverStatusDelta(told, status *wire.ServerStatus) *wire.ServerStatus {
	if told == nil {
		return status
	}
	brief := &wire.ServerStatus{
		Version: status.Version, Whole: status.Whole, Swapping: status.Swapping, Running: status.Running, Waiting: status.Waiting,
		MemoryUsed: status.MemoryUsed, MemoryTotal: status.MemoryTotal, Pace: status.Pace, SwapInMilliseconds: status.SwapInMilliseconds,
		Incarnation: status.Incarnation, Leaving: status.Leaving,
	}
	if !slices.EqualFunc(told.Ages, status.Ages, func(a, b *wire.VersionAge) bool { return a.Model == b.Model && a.Version == b.Version }) {
		brief.Ages = status.Ages
	}
	return brief
}

// serverStatus is what is told of the server; ok is false until the agent knows what the
// server's weights are called, or has asked it for the first time.
func (l *Loader) serverStatus() (status *wire.ServerStatus, ok bool) {
	want, known := l.target()
	l.mu.Lock()
	defer l.mu.Unlock()
	status = &wire.ServerStatus{
		Box: l.options.Box, Address: string(l.options.Address), Swapping: l.swapping,
		Running: uint32(l.report.Running), Waiting: uint32(l.report.Waiting),
		MemoryUsed: l.report.MemoryUsed, MemoryTotal: l.report.MemoryTotal, Pace: l.report.Slowdown,
		Ages: agesToWire(l.options.FleetState.VersionAges()), Incarnation: uint64(l.incarnation), Leaving: l.leaving,
	}
	if !l.swapAt.IsZero() {
		status.SwapInMilliseconds = uint64(max(1, l.swapAt.Sub(l.options.Clock.Now()).Milliseconds()))
	}
	if known && !l.reportAt.IsZero() {
		status.Model = string(want.model)
		version := loadedVersion(&l.report, want.model, want.engine.Layers)
		status.Version, status.Whole = uint64(version), version > 0
	}
	return status, known && l.polled
}

// isSameServerStatus reports whether entry boxes need not be told again at once that were
// told a status some time ago.
func isSameServerStatus(told, status *wire.ServerStatus, ago time.Duration) bool {
	return told != nil && told.Incarnation == status.Incarnation && told.Leaving == status.Leaving && told.Swapping == status.Swapping && told.Whole == status.Whole && told.Version == status.Version &&
		isSameSwapTime(told.SwapInMilliseconds, status.SwapInMilliseconds, ago)
}

// isSameSwapTime reports whether a swap that was told some time ago has not moved.
func isSameSwapTime(told, now uint64, ago time.Duration) bool {
	if told == 0 || now == 0 {
		return told == now
	}
	moved := time.Duration(int64(now)-int64(told))*time.Millisecond + ago
	return moved.Abs() < swapTimeTolerance
}
