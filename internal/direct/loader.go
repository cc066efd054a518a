package direct

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// reportInterval is the interval at which the backend server's report is read. The server runs on the
	// same box, so reading it often costs little.
	reportInterval = 100 * time.Millisecond
	// orderPollInterval replaces reportInterval while the server executes a load order. It is shorter because
	// callers wait for the server.
	orderPollInterval = 20 * time.Millisecond
	// serverCallTimeout is the timeout of one call to the backend server.
	serverCallTimeout = time.Second
	// loadRetryDelay is the delay after a failed download or swap.
	loadRetryDelay = 200 * time.Millisecond
	// maxChunkMemory limits the memory for chunks, in bytes. It is many times the size of two versions of
	// the largest expected models.
	maxChunkMemory = 64 << 20
)

// Loader downloads the desired weights, loads them into the backend server of the box and reports the state
// of the server to the entry boxes. It implements the drpc service Fleet for agents.
type Loader struct {
	wire.DRPCFleetUnimplementedServer

	options LoaderOptions
	tasks   *kernel.TaskGroup
	store   *weights.MemoryStore

	mu sync.Mutex
	// manifests holds the manifests of the versions whose chunks are in the store.
	manifests map[publishedVersion]*heldManifest
	// downloads holds the downloads in progress and the complete ones.
	downloads map[fleet.WeightsVersion]*versionDownload
	// originSchedule orders the origin fetches of all downloads.
	originSchedule *originSchedule
	verified       verifiedChunks
	report         fleet.Report
	reportAt       time.Time
	// incarnation is the latest incarnation that the server has reported; 0 if it has reported none. earlierIncarnation is a
	// lower one that the last report had; 0 if it had none.
	incarnation, earlierIncarnation member.Incarnation
	// leaving is set while the server announces its end.
	leaving bool
	// polled is set after the first request for a report of the server, whether it succeeded or not.
	polled bool
	// swapping is set while the server must get no new requests because of a weight swap.
	swapping bool
	// swapAt is the time of the next weight swap; zero if none is scheduled.
	swapAt time.Time
	// changed is closed and replaced at each change of the server's status.
	changed  chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// LoaderOptions configures a Loader.
type LoaderOptions struct {
	Box     string
	Region  member.Region
	Service member.Service
	// Address is the address of the backend server on the box. Agent is the address of this process for
	// its peers.
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
	// IsLocal reports whether a failure domain is in the region of this box.
	IsLocal func(member.FailureDomain) bool
	// LinkMbps is the rate of the box's link, in Mbit/s.
	LinkMbps float64
	// VersionBound is the time from the publication of a version to the cutoff of the older ones, which may
	// start no more requests from then on.
	VersionBound time.Duration
}

// startLoader creates the loader, registers its drpc services and starts its tasks.
func (p *Process) startLoader() error {
	l := &Loader{
		options: LoaderOptions{
			Box: p.settings.Box, Region: p.region(), Service: member.Service(p.settings.Direct.Service),
			Address: member.Address(p.settings.Direct.Server), Agent: member.Address(p.settings.Listen.Peers),
			AgentPort:  uint16(p.settings.Direct.AgentPort),
			FleetState: p.fleetState, SuspectRequests: p.suspects, Peers: p.peers,
			Server: serverWithBackoff(p.options.Platform.Server, &serverBackoff{name: "server", clock: p.options.Clock, log: p.options.Log}),
			Origin: originWithBackoff(p.options.Platform.Origin, &serverBackoff{name: "origin", clock: p.options.Clock, log: p.options.Log}),
			Clock:  p.options.Clock, Log: p.options.Log, Metrics: p.metrics, IsLocal: p.isLocal,
			LinkMbps: p.settings.Direct.LinkMbps, VersionBound: time.Duration(p.settings.Direct.VersionBound),
		},
		tasks: kernel.NewTaskGroup(), store: weights.NewMemoryStore(maxChunkMemory),
		manifests:      make(map[publishedVersion]*heldManifest),
		downloads:      make(map[fleet.WeightsVersion]*versionDownload),
		originSchedule: &originSchedule{clock: p.options.Clock, log: p.options.Log, metrics: p.metrics},
		changed:        make(chan struct{}), done: make(chan struct{}),
	}
	if err := wire.DRPCRegisterFleet(p.mux, l); err != nil {
		return err
	}
	if err := wire.DRPCRegisterChunks(p.mux, NewChunkServer(l.store, p.settings.Direct.LinkMbps, l.isIdle, l.isDoubted, l.isDeferred)); err != nil {
		return err
	}
	l.tasks.Go(l.pollServer)
	l.tasks.Go(l.reconcileLoop)
	return p.services.Register(l)
}

// String returns the service's name.
func (l *Loader) String() string { return "loader" }

// Stop closes the status streams and stops the loader's tasks.
func (l *Loader) Stop(ctx context.Context) error {
	l.stopOnce.Do(func() { close(l.done) })
	return l.tasks.Stop(ctx)
}

// notify wakes the status streams. The caller must hold mu.
func (l *Loader) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// pollServer reads the backend server's report every reportInterval and logs when the server becomes
// unreachable or reachable.
func (l *Loader) pollServer(ctx context.Context) {
	down := false
	for ctx.Err() == nil {
		err := l.readReport(ctx)
		if failed := err != nil; failed != down && ctx.Err() == nil {
			down = failed
			event, message := l.options.Log.Info(), "dependency regained"
			if failed {
				event, message = l.options.Log.Warn().Err(err), "dependency lost"
			}
			event.Str("dependency", "server").Str("address", string(l.options.Address)).Msg(message)
		}
		sleep(ctx, l.options.Clock, reportInterval)
	}
}

// readReport reads the backend server's report once and stores it. A failure clears the stored report.
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

// errEarlierIncarnation is returned for a report of an incarnation of the server before the current one.
var errEarlierIncarnation = errors.New("report is from an earlier start of the server")

// noteIncarnation records the incarnation of a report and rejects a report of an earlier one, which may be late. If the next report
// has the same, the server has started again by a clock that was ahead before. A new incarnation clears the state of the one
// before: its staged chunks may be lost, and swaps are scheduled again.
func (l *Loader) noteIncarnation(reported member.Incarnation) error {
	if reported == 0 {
		return nil
	}
	earlier := l.earlierIncarnation
	l.earlierIncarnation = 0
	switch {
	case reported == l.incarnation:
		return nil
	case reported < l.incarnation && reported != earlier:
		l.earlierIncarnation = reported
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

// serverReport returns the newest report. ok is false if the last request for a report failed.
func (l *Loader) serverReport() (report fleet.Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, !l.reportAt.IsZero()
}

// setSwapping sets whether the server is in a weight swap and wakes the status streams at a change.
func (l *Loader) setSwapping(swapping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.swapping != swapping {
		l.swapping = swapping
		l.notify()
	}
}

// target is the model and the weights that the backend server should run.
type target struct {
	model     fleet.ModelName
	engine    *fleet.Engine
	published fleet.PublishedVersions
	// origin is the service that publishes the weights. Its address is empty if no origin is known.
	origin  fleet.Service
	servers []fleet.Server
	// resumable is set if every request to the servers can be resumed at another server.
	resumable bool
}

// chunked returns a version of the model with the layout in the configuration.
func (t *target) chunked(version fleet.WeightsVersion) provider.ChunkedVersion {
	return provider.ChunkedVersion{
		Model: t.model, Version: version, Layout: weights.Layout{Chunks: t.engine.Chunks, ChunkSize: t.engine.ChunkSize},
	}
}

// newest returns the newest published version.
func (t *target) newest() fleet.WeightsVersion { return t.published.Newest().Version }

// target returns what the backend server should run. ok is false while the service has no engine with a model
// in the current configuration.
func (l *Loader) target() (target, bool) {
	view := l.options.FleetState.View()
	service := view.Service(l.options.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return target{}, false
	}
	model := service.Engine.Models[0]
	desired := target{
		model: model, engine: service.Engine, published: view.PublishedVersions(model),
		servers: withoutLeaving(view.Servers(l.options.Service)), resumable: view.Resumable(l.options.Service),
	}
	if origin := view.Origin(); origin != nil {
		desired.origin = *origin
	}
	return desired, true
}

// withoutLeaving returns the servers that have not announced their end. Leaving servers get no newer weights and
// have no position in the order of swaps, so they delay no other server.
func withoutLeaving(servers []fleet.Server) []fleet.Server {
	isLeaving := func(s fleet.Server) bool { return s.Leaving }
	if !slices.ContainsFunc(servers, isLeaving) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), isLeaving)
}

// isLeaving reports whether the backend server has announced its end, by its last response or by the fleet state
// of its current incarnation. The fleet state is ignored if the server reports no incarnation: it may describe
// the previous server at the address, and the new one would get no weights until its entry is received.
func (l *Loader) isLeaving() bool {
	l.mu.Lock()
	leaving, incarnation := l.leaving, l.incarnation
	l.mu.Unlock()
	return leaving || incarnation != 0 && slices.ContainsFunc(l.options.FleetState.View().Servers(l.options.Service), func(s fleet.Server) bool {
		return s.Address == l.options.Address && s.Incarnation == incarnation && s.Leaving
	})
}

// loadedVersion returns the version of a model that the server has loaded completely; 0 if there is none.
func loadedVersion(report *fleet.Report, model fleet.ModelName, layers int) fleet.WeightsVersion {
	for i := range report.Models {
		if report.Models[i].Name != model {
			continue
		}
		if version, complete := report.Models[i].CompleteVersion(layers); complete {
			return version
		}
	}
	return 0
}

// reconcileLoop loads the desired weights into the server. It repeats this when the desired version changes and
// when the server has lost its weights.
func (l *Loader) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		desired, known := l.target()
		report, responding := l.serverReport()
		if known && responding && !report.Busy {
			l.reconcile(ctx, &desired, loadedVersion(&report, desired.model, desired.engine.Layers))
		}
		sleep(ctx, l.options.Clock, reconcileInterval)
	}
}

// reconcileInterval is the interval at which the server's weights are compared with the desired ones.
const reconcileInterval = 50 * time.Millisecond

// reconcile downloads the newest version and swaps the server to it at the scheduled time. have is the version
// that the server has loaded, or 0.
func (l *Loader) reconcile(ctx context.Context, desired *target, have fleet.WeightsVersion) {
	if have >= desired.newest() {
		l.announceSwap(time.Time{})
		l.cancelDownloads()
		if err := l.importRunning(ctx, desired, have); err != nil {
			l.options.Log.Debug().Err(err).Msg("cannot import the chunks of the running version; trying again")
		}
		return
	}
	if l.isLeaving() {
		// Downloads in progress continue, because other boxes may fetch chunks from this one.
		l.announceSwap(time.Time{})
		return
	}
	l.originSchedule.setTarget(desired, l.options.VersionBound)
	for _, older := range l.originSchedule.before(desired.newest()) {
		if older <= have {
			l.originSchedule.setComplete(older)
			continue
		}
		l.startDownload(desired, older)
	}
	l.startDownload(desired, desired.newest())
	version, at, ok := l.nextSwap(desired, have)
	l.announceSwap(at)
	if !ok || l.options.Clock.Now().Before(at) {
		return
	}
	if err := l.swap(ctx, desired, have, version); err != nil && ctx.Err() == nil {
		l.options.Log.Warn().Str("model", string(desired.model)).Uint64("version", uint64(version)).
			Uint64("have", uint64(have)).Err(err).Msg("weights not taken, trying again")
		sleep(ctx, l.options.Clock, loadRetryDelay)
	}
}

// nextSwap returns the newest completely downloaded version and the time at which the server is to be swapped to
// it. ok is false if no such version is newer than the loaded one.
func (l *Loader) nextSwap(desired *target, have fleet.WeightsVersion) (version fleet.WeightsVersion, at time.Time, ok bool) {
	version, completedAt := l.newestComplete()
	switch {
	case version <= have:
		return 0, time.Time{}, false
	case have == 0:
		return version, completedAt, true
	}
	return version, l.swapTime(desired, have, version, completedAt), true
}

// swapTimeTolerance is the smallest change of a swap time that is reported immediately.
const swapTimeTolerance = 100 * time.Millisecond

// announceSwap sets the reported time of the next swap; the zero time means that none is scheduled. Changes
// smaller than swapTimeTolerance are ignored.
func (l *Loader) announceSwap(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.swapAt.IsZero() == at.IsZero() && l.swapAt.Sub(at).Abs() < swapTimeTolerance {
		return
	}
	l.swapAt = at
	l.notify()
}

// Server streams the status of the backend server: at each urgent change and at least every statusHeartbeat.
// Names are sent in the first message, and version ages in the first one and when they change.
func (l *Loader) Server(request *wire.FollowRequest, stream wire.DRPCFleet_ServerStream) error {
	remote := request.Region != string(l.options.Region)
	var sent *wire.ServerStatus
	var sentAt time.Time
	for {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		status, known := l.serverStatus()
		if known && (!isSameServerStatus(sent, status, l.options.Clock.Since(sentAt)) || l.options.Clock.Since(sentAt) >= statusHeartbeat) {
			message := serverStatusDelta(sent, status)
			if sent == nil {
				// An entry box that has just started may have no other source for the evidence against suspect
				// requests. Later evidence comes from the other entry boxes.
				evidence, _ := l.options.SuspectRequests.Since(0)
				message.Evidence = evidenceToWire(evidence, l.options.Clock.Now())
			}
			if err := stream.Send(message); err != nil {
				return err
			}
			l.options.Metrics.traffic.count(purposeAgent, proto.Size(message), remote)
			sent, sentAt = status, l.options.Clock.Now()
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

// serverStatusDelta returns the message for a status without the names and ages that the receiver has from the
// last status that was sent. The last status is nil before the first message.
func serverStatusDelta(sent, status *wire.ServerStatus) *wire.ServerStatus {
	if sent == nil {
		return status
	}
	delta := &wire.ServerStatus{
		Version: status.Version, Whole: status.Whole, Swapping: status.Swapping, Running: status.Running, Waiting: status.Waiting,
		MemoryUsed: status.MemoryUsed, MemoryTotal: status.MemoryTotal, Pace: status.Pace, SwapInMilliseconds: status.SwapInMilliseconds,
		Incarnation: status.Incarnation, Leaving: status.Leaving,
	}
	if !slices.EqualFunc(sent.Ages, status.Ages, func(a, b *wire.VersionAge) bool { return a.Model == b.Model && a.Version == b.Version }) {
		delta.Ages = status.Ages
	}
	if sent.FleetSince != status.FleetSince || sent.FleetBoxes != status.FleetBoxes {
		delta.FleetSince, delta.FleetBoxes = status.FleetSince, status.FleetBoxes
	}
	return delta
}

// serverStatus returns the status of the server for the entry boxes. ok is false until the agent knows the
// server's model and has requested a report for the first time.
func (l *Loader) serverStatus() (status *wire.ServerStatus, ok bool) {
	desired, known := l.target()
	l.mu.Lock()
	defer l.mu.Unlock()
	status = &wire.ServerStatus{
		Box: l.options.Box, Address: string(l.options.Address), Swapping: l.swapping,
		Running: uint32(l.report.Running), Waiting: uint32(l.report.Waiting),
		MemoryUsed: l.report.MemoryUsed, MemoryTotal: l.report.MemoryTotal, Pace: l.report.Slowdown,
		Ages: agesToWire(l.options.FleetState.VersionAges()), Incarnation: uint64(l.incarnation), Leaving: l.leaving,
	}
	fleet := l.options.FleetState.fleetSize.Size()
	status.FleetSince, status.FleetBoxes = uint64(fleet.since), uint32(fleet.boxes)
	if !l.swapAt.IsZero() {
		status.SwapInMilliseconds = uint64(max(1, l.swapAt.Sub(l.options.Clock.Now()).Milliseconds()))
	}
	if known && !l.reportAt.IsZero() {
		status.Model = string(desired.model)
		version := loadedVersion(&l.report, desired.model, desired.engine.Layers)
		status.Version, status.Whole = uint64(version), version > 0
	}
	return status, known && l.polled
}

// isSameServerStatus reports whether a status has no urgent change since the last one sent. ago is the time since
// that one was sent.
func isSameServerStatus(sent, status *wire.ServerStatus, ago time.Duration) bool {
	return sent != nil && sent.Incarnation == status.Incarnation && sent.Leaving == status.Leaving && sent.Swapping == status.Swapping && sent.Whole == status.Whole && sent.Version == status.Version &&
		isSameSwapTime(sent.SwapInMilliseconds, status.SwapInMilliseconds, ago)
}

// isSameSwapTime reports whether the time of the next swap has changed by less than swapTimeTolerance. Both times
// are in milliseconds from the sending of their message, 0 for none; ago is the time between the messages.
func isSameSwapTime(sent, now uint64, ago time.Duration) bool {
	if sent == 0 || now == 0 {
		return sent == now
	}
	moved := time.Duration(int64(now)-int64(sent))*time.Millisecond + ago
	return moved.Abs() < swapTimeTolerance
}
