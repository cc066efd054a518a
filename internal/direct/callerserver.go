package direct

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// maxHeaderBytes bounds a caller's headers, in bytes, until the operators'
	// limit is known.
	maxHeaderBytes = 16 << 10
	// defaultMaxBodyBytes bounds a caller's body where the operators give no limit.
	defaultMaxBodyBytes = 4 << 20
	// noConfigurationRetryAfter is the shortest time after which a caller should return to a
	// box that knows no configuration yet.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// configurationWaitFraction is the part of its time for which a request waits for the box
	// to know a configuration, maxConfigurationWait bounds it: readers of streams leave
	// after two seconds without any event.
	configurationWaitFraction = 0.3
	maxConfigurationWait      = 1600 * time.Millisecond
	// typicalModelDuration and typicalPlainDuration are how long requests hold a place until
	// the mean is known.
	typicalModelDuration = time.Second
	typicalPlainDuration = 40 * time.Millisecond
	// typicalModelTTFB and typicalPlainTTFB are how long answers take to begin until
	// that is known.
	typicalModelTTFB = 120 * time.Millisecond
	typicalPlainTTFB = 40 * time.Millisecond
	// maxIdlePerServer bounds the unused connections kept to one server.
	maxIdlePerServer = 16
	// cutoffMargin is how long before the bound older weights no longer start a
	// request: it covers hearing late of the version and a request on its way.
	cutoffMargin = time.Second
	// slowCutoffMargin is the same for servers that were not seen to start at once.
	slowCutoffMargin = 2500 * time.Millisecond
	// dispatcherUpdateInterval is how often time alone may change what servers may do.
	dispatcherUpdateInterval = 100 * time.Millisecond
)

// CallerServer answers callers.
type CallerServer struct {
	fleetState   *FleetState
	protocol     provider.CallerProtocol
	clock        clockwork.Clock
	log          zerolog.Logger
	metrics      *Metrics
	pool         *upstream.Pool
	tasks        *kernel.TaskGroup
	versionBound time.Duration
	retries      retryLimits
	started      time.Time
	box          member.BoxID
	isLocal      func(member.FailureDomain) bool
	entries      atomic.Pointer[EntryBoxes]
	service      *httpService
	leaving      atomic.Bool
	// leavingSince is when the box began to leave; it is set before leaving is.
	leavingSince time.Time
	active       atomic.Int64
	// accepted counts the requests since the start, to see when callers have
	// gone elsewhere.
	accepted atomic.Int64
	// onLimitedSend is called when a request is sent to a server with a low rate limit.
	onLimitedSend func()
	// rejectedCallers are the callers who were sent away.
	rejectedCallers route.RejectedCallers
	// suspects are the requests under which servers have ended, ends tells whether one has, answered what was answered lately.
	suspects        *SuspectRequests
	exitProbes      *exitProbes
	recentResponses *recentResponses

	mu sync.Mutex
	// peerReports is what the other boxes of the cell have in flight and are asked for, of all services: a service that is
	// configured later starts from it, as only what changes is told again.
	peerReports peerReports
	dispatchers map[member.Service]*route.Dispatcher
	budgets     map[member.Service]*route.WindowRetryBudget
	// models are what the servers of a service run, also of one that is configured no more: what was
	// sent there before may not have begun.
	models map[member.Service]fleet.ModelName
	// callerTimeouts is how long the callers of a route wait, by the route's name.
	callerTimeouts map[string]*route.CallerTimeoutEstimator
}

// retryLimits bound the attempts beyond the first of all entry boxes together.
type retryLimits struct {
	ratio  float64
	extra  float64
	window time.Duration
}

// startCallerServer answers callers.
func (p *Process) startCallerServer() error {
	direct := p.settings.Direct
	f := &CallerServer{
		fleetState: p.fleetState, protocol: p.options.Platform.Callers, clock: p.options.Clock, log: p.options.Log, metrics: p.metrics,
		tasks: kernel.NewTaskGroup(), started: p.options.Clock.Now(), versionBound: time.Duration(direct.VersionBound),
		retries: retryLimits{*direct.RetryRatio, *direct.RetryExtra, time.Duration(direct.RetryWindow)},
		isLocal: p.isLocal, box: p.box(), suspects: p.suspects, recentResponses: newRecentResponses(), dispatchers: make(map[member.Service]*route.Dispatcher),
		budgets: make(map[member.Service]*route.WindowRetryBudget), models: make(map[member.Service]fleet.ModelName), callerTimeouts: make(map[string]*route.CallerTimeoutEstimator),
	}
	f.onLimitedSend = p.status.noteLimitedSend
	f.pool = upstream.NewPool(upstream.Options{
		Clock: p.options.Clock, Matches: f.isMatchingResponse, MaxIdlePerServer: maxIdlePerServer, OnConnect: p.metrics.connections.Inc,
	})
	f.exitProbes = newExitProbes(f.clock, f.pool)
	p.callerServer = f
	router := newRouter()
	router.Any("/*", f.serve)
	var err error
	if f.service, err = p.serveHTTP("callers", p.settings.Listen.Callers, router, maxHeaderBytes); err != nil {
		return err
	}
	f.tasks.Go(f.updateDispatchers)
	return p.services.Register(f)
}

// isMatchingResponse reports whether an answer belongs to the request. A refusal that does
// not name its request is taken for the one that is waiting.
func (f *CallerServer) isMatchingResponse(answer *http.Response, id string) bool {
	mark := f.protocol.ReadResponse(answer)
	return mark.RequestID == id || mark.RequestID == "" && mark.NotExecuted
}

// String returns the service's name.
func (f *CallerServer) String() string { return "front" }

const (
	// minLeaveDuration is how long a leaving box goes on taking new connections: some
	// callers keep an address for three times the time that they are told.
	minLeaveDuration = 3500 * time.Millisecond
	// leaveAcceptDuration is how long a leaving box goes on taking requests. Those that come
	// later might not end within its grace, and are sent elsewhere.
	leaveAcceptDuration = 3 * time.Second
	// leaveQuietPeriod is for how long no request must have come before it stops.
	leaveQuietPeriod = time.Second
	// leaveReserve is kept of the time for the requests in progress.
	leaveReserve = 2500 * time.Millisecond
)

// Leave goes on answering until callers have gone elsewhere, or too little is left of a time for the requests in progress.
// The time is counted by the process's own clock: the end of the context is one of a clock that stands while the machine is
// suspended.
func (f *CallerServer) Leave(ctx context.Context, within time.Duration) {
	f.leavingSince = f.clock.Now()
	f.leaving.Store(true)
	f.log.Info().Int64("active", f.active.Load()).Msg("leaving")
	started, quietSince, seen := f.clock.Now(), f.clock.Now(), f.accepted.Load()
	for ctx.Err() == nil {
		sleep(ctx, f.clock, statusInterval)
		now := f.clock.Now()
		if accepted := f.accepted.Load(); accepted != seen {
			seen, quietSince = accepted, now
		}
		if within-now.Sub(started) < leaveReserve {
			return
		}
		if now.Sub(started) >= minLeaveDuration && now.Sub(quietSince) >= leaveQuietPeriod {
			return
		}
	}
}

// Stop finishes what is in progress.
func (f *CallerServer) Stop(ctx context.Context) error {
	err := f.service.Stop(ctx)
	f.log.Info().Int64("active", f.active.Load()).Msg("callers are no longer answered")
	return errors.Join(err, f.tasks.Stop(ctx))
}

// Load returns what this box has in flight at each server.
func (f *CallerServer) Load() route.Load {
	load := make(route.Load)
	for _, d := range f.dispatcherList() {
		maps.Copy(load, d.OwnLoad())
	}
	return load
}

// Demands returns what this box is asked for of each service.
func (f *CallerServer) Demands() route.Demands {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	demands := make(route.Demands, len(f.dispatchers))
	for name, d := range f.dispatchers {
		demands[name] = d.Demand(now)
	}
	return demands
}

func (f *CallerServer) dispatcherList() []*route.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*route.Dispatcher, 0, len(f.dispatchers))
	for _, d := range f.dispatchers {
		all = append(all, d)
	}
	return all
}

// MergePeerReport takes what another entry box has in flight and is asked for: at the servers
// and of the services that are named or, if whole is set, of these and no others.
func (f *CallerServer) MergePeerReport(box member.BoxID, load route.Load, demands route.Demands, whole bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.peerReports.merge(box, load, demands, whole)
	for service, d := range f.dispatchers {
		// A demand that stays is not told again, and counts for as long as its box is heard.
		d.UpdatePeerDemand(box, known.demands[service], now)
		d.UpdatePeerLoad(box, load, whole, now)
	}
}

// MergeRejectedCallers takes the callers of whom another entry box tells on a way.
func (f *CallerServer) MergeRejectedCallers(callers []route.RejectedCaller, from route.RelayDimension, now time.Time) {
	f.rejectedCallers.Merge(callers, from, now)
}

// UpdateServerState takes what an agent tells of the server at an address.
func (f *CallerServer) UpdateServerState(address member.Address, state route.ServerState, now time.Time) {
	view := f.fleetState.View()
	for _, service := range view.Services() {
		if service.Engine == nil {
			continue
		}
		for _, server := range view.Servers(service.Name) {
			if server.Address == address {
				f.suspects.NoteServerStart(server.ID, state.Incarnation, "agent")
				f.dispatcher(service.Name).UpdateServer(server.ID, state, now)
			}
		}
	}
}

// dispatcher returns the dispatcher of a service.
func (f *CallerServer) dispatcher(name member.Service) *route.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.dispatchers[name]
	if !ok {
		service := f.fleetState.View().Service(name)
		d = f.newDispatcher(name, service)
		f.dispatchers[name] = d
		f.updateDispatcher(name, d)
	}
	return d
}

// newDispatcher returns a dispatcher that knows what others have told before. The lock must be held.
func (f *CallerServer) newDispatcher(name member.Service, service *fleet.Service) *route.Dispatcher {
	options := route.DispatcherOptions{TypicalHoldTime: typicalPlainDuration, TTFB: typicalPlainTTFB, Box: f.box, OnLimitedSend: f.onLimitedSend}
	if service != nil && service.Engine != nil {
		options.TypicalHoldTime, options.TTFB, options.NeedsWeights = typicalModelDuration, typicalModelTTFB, true
	}
	d := route.NewDispatcher(options)
	f.peerReports.replayTo(name, d, f.clock.Now())
	return d
}

func (f *CallerServer) retryBudget(name member.Service) *route.WindowRetryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[name]
	if !ok {
		b = route.NewWindowRetryBudget(f.retries.ratio, f.retries.window)
		f.budgets[name] = b
	}
	return b
}

// updateDispatchers follows the view and the time.
func (f *CallerServer) updateDispatchers(ctx context.Context) {
	for {
		changed := f.fleetState.Changed()
		f.suspects.Expire(f.clock.Now())
		f.mu.Lock()
		for _, service := range f.fleetState.View().Services() {
			if f.dispatchers[service.Name] == nil && service.Origin == "" {
				f.dispatchers[service.Name] = f.newDispatcher(service.Name, service)
			}
		}
		for name, d := range f.dispatchers {
			f.updateDispatcher(name, d)
			f.metrics.waiting.WithLabelValues(string(name)).Set(float64(d.QueueLen()))
			f.metrics.limitedServers.WithLabelValues(string(name)).Set(float64(len(d.LimitedServers(f.clock.Now()))))
			f.metrics.unclaimed.WithLabelValues(string(name)).Set(float64(d.Unclaimed(f.clock.Now())))
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-f.clock.After(dispatcherUpdateInterval):
		}
	}
}

// updateDispatcher gives a dispatcher its servers and the weights that it may use. The lock must be
// held, or an older view might be the last that is taken.
func (f *CallerServer) updateDispatcher(name member.Service, d *route.Dispatcher) {
	view, now := f.fleetState.View(), f.clock.Now()
	layers := 0
	if service := view.Service(name); service != nil && service.Engine != nil {
		layers = service.Engine.Layers
		if len(service.Engine.Models) > 0 {
			f.models[name] = service.Engine.Models[0]
		}
	}
	if f.suspects.awaitsRestarts() {
		for _, server := range view.Servers(name) {
			f.suspects.NoteServerStart(server.ID, server.Incarnation, "entry")
		}
	}
	if model, ok := f.models[name]; ok {
		d.RequireVersions(f.versionConstraints(view.PublishedVersions(model), now), now)
	}
	entries := f.entries.Load()
	if entries == nil {
		d.SetServers(view.Servers(name), layers, f.isLocal, now)
		return
	}
	d.SetServers(entries.currentPlan().ownServers(view.Servers(name)), layers, f.isLocal, now)
	d.SetBoxCount(entries.CellSize())
}

// responseStartMargin is how long before the weights of a server are barred an answer must
// have begun: a version may have been heard of late, and breaking off takes a while.
const responseStartMargin = 500 * time.Millisecond

// versionConstraints is what a dispatcher may do with which weights now.
func (f *CallerServer) versionConstraints(named fleet.PublishedVersions, now time.Time) route.VersionRequirements {
	return route.VersionRequirements{
		Required: f.requiredVersion(named, now), Preferred: named.OldestAllowed(f.versionBound-slowCutoffMargin, now),
		RequiredInFlight: named.OldestAllowed(f.versionBound-responseStartMargin, now), Newest: named.Newest().Version,
	}
}

// isPastCutoff reports whether the weights of a place may no longer start a request. They may have
// become so since it was granted: a box that stood still wakes with what it was about to send. If so, the
// dispatcher learns of it at once, and not within dispatcherUpdateInterval, so that nobody else is given the place.
func (f *CallerServer) isPastCutoff(name member.Service, place *route.Reservation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	model, ok := f.models[name]
	if !ok || place.Version >= f.requiredVersion(f.fleetState.View().PublishedVersions(model), f.clock.Now()) {
		return false
	}
	f.updateDispatcher(name, f.dispatchers[name])
	return true
}

// entryBoxCount is how many entry boxes there are, with this one, as far as it knows.
func (f *CallerServer) entryBoxCount() int {
	entries := f.entries.Load()
	if entries == nil {
		return 1
	}
	return entries.Up()
}

// requiredVersion is the oldest version of weights that may start a request now.
func (f *CallerServer) requiredVersion(named fleet.PublishedVersions, now time.Time) fleet.WeightsVersion {
	return named.OldestAllowed(f.versionBound-cutoffMargin, now)
}

// watchReady keeps the status in step with whether requests can be answered: a
// box is ready once it knows a configuration.
func (f *CallerServer) watchReady(status *StatusServer) func(ctx context.Context) {
	return func(ctx context.Context) {
		for {
			changed := f.fleetState.Changed()
			if f.fleetState.View().Configuration != nil && !f.leaving.Load() {
				status.SetReady(true)
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}
}
