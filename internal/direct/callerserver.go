package direct

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// maxHeaderBytes limits the headers of a request and the head of a response, in bytes, unless the operators allow more.
	maxHeaderBytes = 16 << 10
	// defaultMaxBodyBytes limits the body of a caller's request, in bytes, if the operators set no limit.
	defaultMaxBodyBytes = 4 << 20
	// noConfigurationRetryAfter is the minimum Retry-After of a box that has no configuration yet.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// configurationWaitFraction is the part of its deadline that a request waits for the first configuration of
	// the box. maxConfigurationWait is the upper bound because readers of streams disconnect after two seconds
	// without an event.
	configurationWaitFraction = 0.3
	maxConfigurationWait      = 1600 * time.Millisecond
	// typicalModelDuration and typicalPlainDuration are the assumed times for which a request holds its slot
	// until a mean has been measured.
	typicalModelDuration = time.Second
	typicalPlainDuration = 40 * time.Millisecond
	// typicalModelTTFB and typicalPlainTTFB are the assumed times to first byte until a mean has been measured.
	typicalModelTTFB = 120 * time.Millisecond
	typicalPlainTTFB = 40 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 16
	// cutoffMargin is subtracted from the version bound to get the age at which a version may no longer start
	// requests. It covers the delay with which a box receives a publication and the time that a request is in
	// transit.
	cutoffMargin = time.Second
	// slowCutoffMargin replaces cutoffMargin for servers that were not observed to start requests promptly.
	slowCutoffMargin = 2500 * time.Millisecond
	// dispatcherUpdateInterval is the interval at which dispatchers are updated for the passage of time alone.
	dispatcherUpdateInterval = 100 * time.Millisecond
)

// CallerServer serves callers over HTTP.
type CallerServer struct {
	fleetState   *FleetState
	protocol     provider.CallerProtocol
	clock        clockwork.Clock
	log          zerolog.Logger
	metrics      *Metrics
	pool         *upstream.Pool
	tasks        *kernel.TaskGroup
	versionBound time.Duration
	retries      route.RetryLimits
	started      time.Time
	box          member.BoxID
	isLocal      func(member.FailureDomain) bool
	regionOf     func(member.FailureDomain) member.Region
	entries      atomic.Pointer[EntryBoxes]
	listener     *callerListener
	leaving      atomic.Bool
	// leavingSince is when the box began to leave. It is set before leaving.
	leavingSince time.Time
	active       atomic.Int64
	// accepted is the number of requests since the start. Leave uses it to detect that callers have moved to
	// other boxes.
	accepted atomic.Int64
	// held bounds the bytes that are held for callers and servers.
	held *heldBytes
	// onLimitedSend is called when a request is sent to a server with a low rate limit.
	onLimitedSend func()
	// rejectedCallers are the callers that entry boxes have recently rejected.
	rejectedCallers route.RejectedCallers
	// suspects are the requests during which backend servers exited. exitProbes check whether a server has
	// exited. recentResponses are the requests that were recently answered.
	suspects        *SuspectRequests
	exitProbes      *exitProbes
	recentResponses *recentResponses
	// inFlight are the requests that are being served.
	inFlight inFlight
	// retryShares decides the share of the extra retries that retryAllowance holds. Only updateRetryAllowance uses it.
	retryShares    *route.RetryShares
	retryAllowance atomic.Pointer[route.RetryAllowance]

	mu sync.Mutex
	// peerReports holds the load and the demands that the other boxes of the cell have reported, for all
	// services. Reports contain only changes, so the dispatcher of a service that is configured later starts
	// from this state.
	peerReports peerReports
	dispatchers map[member.Service]*route.Dispatcher
	// dispatcherServers are the servers that each dispatcher was given last.
	dispatcherServers map[member.Service]dispatcherServers
	budgets           map[member.Service]*route.WindowRetryBudget
	// models are the models that the servers of each service run. Services that are no longer configured are
	// kept because requests to them may still be awaiting their first byte.
	models map[member.Service]fleet.ModelName
	// callerTimeouts holds an estimate of the caller timeout of each route, by route name.
	callerTimeouts map[string]*route.CallerTimeoutEstimator
}

// startCallerServer creates the caller server and starts listening for callers.
func (p *Process) startCallerServer() error {
	direct := p.settings.Direct
	s := &CallerServer{
		fleetState: p.fleetState, protocol: p.options.Platform.Callers, clock: p.options.Clock, log: p.options.Log, metrics: p.metrics,
		tasks: kernel.NewTaskGroup(), started: p.options.Clock.Now(), versionBound: time.Duration(direct.VersionBound),
		retries: route.RetryLimits{Ratio: *direct.RetryRatio, Extra: *direct.RetryExtra, Window: time.Duration(direct.RetryWindow)},
		isLocal: p.isLocal, regionOf: p.regionOf, box: p.box(), suspects: p.suspects,
		recentResponses: newRecentResponses(), dispatchers: make(map[member.Service]*route.Dispatcher),
		budgets: make(map[member.Service]*route.WindowRetryBudget), models: make(map[member.Service]fleet.ModelName), callerTimeouts: make(map[string]*route.CallerTimeoutEstimator),
	}
	s.retryShares = route.NewRetryShares(s.retries.Window)
	s.onLimitedSend = p.status.noteLimitedSend
	s.held = newHeldBytes(direct.MemoryLimitMegabytes, p.metrics.heldBytes)
	s.pool = upstream.NewPool(upstream.Options{
		Clock: p.options.Clock, Matches: s.isMatchingResponse, MaxIdlePerServer: maxIdlePerServer, OnConnect: p.metrics.connections.Inc,
		HeadLimit: s.headLimit,
	})
	s.exitProbes = newExitProbes(s.clock, s.pool, s.tasks)
	p.callerServer = s
	router := newRouter()
	router.Any("/*", s.serve)
	var err error
	if s.listener, err = newCallerListener(p.settings.Listen.Callers, router, s.log); err != nil {
		return err
	}
	s.suspects.Box, s.suspects.BoxCount = s.box, s.entryBoxCount
	s.tasks.Go(s.updateDispatchers)
	s.tasks.Go(s.abortQuarantined)
	return p.services.Register(s)
}

// isMatchingResponse reports whether a response belongs to the request with an ID. A refusal without a request
// ID is attributed to the pending request.
func (s *CallerServer) isMatchingResponse(resp *http.Response, id string) bool {
	meta := s.protocol.ReadResponse(resp)
	return meta.RequestID == id || meta.RequestID == "" && meta.NotExecuted
}

// headLimit returns the maximum size of the head of a server's response, in bytes. It is that of the operators for callers, as
// far as the memory of the box allows.
func (s *CallerServer) headLimit() int64 {
	if configuration := s.fleetState.View().Configuration; configuration != nil {
		return int64(newCallerLimits(&configuration.Limits, s.maxHeadBytes()).headerBytes)
	}
	return maxHeaderBytes
}

// minHeldHeads is how many heads of the maximum size fit into the limit of the bytes that a box holds.
const minHeldHeads = 16

// maxHeadBytes returns the size up to which a box takes a head, in bytes, whatever the operators allow.
func (s *CallerServer) maxHeadBytes() int64 { return s.held.limit / minHeldHeads }

// applyLimits applies the operators' limits to connections of callers. Limits that can't be read change nothing.
func (s *CallerServer) applyLimits(view *fleet.View) {
	if configuration := view.Configuration; configuration != nil && !configuration.Unreadable.Limits {
		s.listener.setLimits(newCallerLimits(&configuration.Limits, s.maxHeadBytes()))
	}
}

// String returns the service's name.
func (s *CallerServer) String() string { return "front" }

const (
	// minLeaveDuration is the minimum time for which a leaving box accepts new connections. Some callers use an
	// address for three times as long as its TTL.
	minLeaveDuration = 3500 * time.Millisecond
	// leaveAcceptDuration is how long a leaving box accepts requests. Later ones might not finish within the
	// grace period and are refused.
	leaveAcceptDuration = 3 * time.Second
	// leaveQuietPeriod is the time without any new request after which a leaving box stops.
	leaveQuietPeriod = time.Second
	// leaveReserve is the part of the grace period that is reserved for requests in progress.
	leaveReserve = 2500 * time.Millisecond
)

// Leave keeps serving until callers have moved to other boxes or the remaining time is needed for the requests
// in progress. It measures the time with the process's own clock, because the deadline of the context uses a
// clock that stops while the machine is suspended.
func (s *CallerServer) Leave(ctx context.Context, within time.Duration) {
	s.leavingSince = s.clock.Now()
	s.leaving.Store(true)
	s.log.Info().Int64("active", s.active.Load()).Msg("leaving")
	started, quietSince, lastAccepted := s.clock.Now(), s.clock.Now(), s.accepted.Load()
	for ctx.Err() == nil {
		sleep(ctx, s.clock, statusInterval)
		now := s.clock.Now()
		if accepted := s.accepted.Load(); accepted != lastAccepted {
			lastAccepted, quietSince = accepted, now
		}
		if within-now.Sub(started) < leaveReserve {
			return
		}
		if now.Sub(started) >= minLeaveDuration && now.Sub(quietSince) >= leaveQuietPeriod {
			return
		}
	}
}

// stopAnswerTime is how long before the end of a stop the requests in progress are ended, so that their callers get an answer.
const stopAnswerTime = 200 * time.Millisecond

// Stop finishes the requests in progress, and waits until their callers have read the responses. Requests that are still in
// progress shortly before the context ends get an answer.
func (s *CallerServer) Stop(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		timer := s.clock.AfterFunc(s.clock.Until(deadline)-stopAnswerTime, s.inFlight.end)
		defer timer.Stop()
	}
	err := s.listener.Stop(ctx)
	s.log.Info().Int64("active", s.active.Load()).Msg("stopped serving callers")
	return errors.Join(err, s.tasks.Stop(ctx))
}

// Load returns the requests of this box that are in flight at each server.
func (s *CallerServer) Load() route.Load {
	load := make(route.Load)
	for _, d := range s.dispatcherList() {
		maps.Copy(load, d.OwnLoad())
	}
	return load
}

// Demands returns the demand at this box for each service.
func (s *CallerServer) Demands() route.Demands {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	demands := make(route.Demands, len(s.dispatchers))
	for name, d := range s.dispatchers {
		demands[name] = d.Demand(now)
	}
	return demands
}

func (s *CallerServer) dispatcherList() []*route.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*route.Dispatcher, 0, len(s.dispatchers))
	for _, d := range s.dispatchers {
		all = append(all, d)
	}
	return all
}

// MergePeerReport merges the load and the demands that another entry box reports. If full is set, the report lists all
// of its servers and services; otherwise it lists only those that have changed.
func (s *CallerServer) MergePeerReport(box member.BoxID, load route.Load, demands route.Demands, full bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peerReports.merge(box, load, demands, full)
	for service, d := range s.dispatchers {
		// An unchanged demand is not reported again and stays valid while the box sends reports.
		d.UpdatePeerDemand(box, known.demands[service], now)
		d.UpdatePeerLoad(box, load, full, now)
	}
}

// MergeRejectedCallers merges the rejected callers that another entry box reports over a relay dimension.
func (s *CallerServer) MergeRejectedCallers(callers []route.RejectedCaller, from route.RelayDimension, now time.Time) {
	s.rejectedCallers.Merge(callers, from, now)
}

// UpdateServerState applies the state that an agent reports for the server at an address.
func (s *CallerServer) UpdateServerState(address member.Address, state route.ServerState, now time.Time) {
	view, server, ok := s.fleetState.serverShownAt(address)
	if !ok {
		return
	}
	if service := view.Service(server.Service); service == nil || service.Engine == nil {
		return
	}
	s.suspects.NoteServerStart(server.ID, state.Incarnation, "agent")
	s.dispatcher(server.Service).UpdateServer(server.ID, state, now)
}

// dispatcher returns the dispatcher of a service and creates it if necessary.
func (s *CallerServer) dispatcher(name member.Service) *route.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.dispatchers[name]
	if !ok {
		service := s.fleetState.View().Service(name)
		d = s.newDispatcher(name, service)
		s.dispatchers[name] = d
		s.updateDispatcher(name, d)
	}
	return d
}

// newDispatcher returns a dispatcher that starts from the reports of other boxes. The lock must be held.
func (s *CallerServer) newDispatcher(name member.Service, service *fleet.Service) *route.Dispatcher {
	options := route.DispatcherOptions{
		TypicalHoldTime: typicalPlainDuration, TTFB: typicalPlainTTFB, Box: s.box, RegionOf: s.regionOf, OnLimitedSend: s.onLimitedSend,
	}
	if service != nil && service.Engine != nil {
		options.TypicalHoldTime, options.TTFB, options.NeedsWeights = typicalModelDuration, typicalModelTTFB, true
	}
	d := route.NewDispatcher(options)
	s.peerReports.replayTo(name, d, s.clock.Now())
	return d
}

// retryBudget returns the retry budget of a service and creates it if necessary.
func (s *CallerServer) retryBudget(name member.Service) *route.WindowRetryBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[name]
	if !ok {
		b = route.NewWindowRetryBudget(s.retries, s.started)
		s.budgets[name] = b
	}
	return b
}

// updateDispatchers updates all dispatchers whenever the fleet state changes, and otherwise every
// dispatcherUpdateInterval.
func (s *CallerServer) updateDispatchers(ctx context.Context) {
	var retriesUpdatedAt time.Time
	for {
		changed := s.fleetState.Changed()
		s.suspects.Expire(s.clock.Now())
		if now := s.clock.Now(); now.Sub(retriesUpdatedAt) >= dispatcherUpdateInterval {
			retriesUpdatedAt = now
			s.updateRetryAllowance(now)
		}
		s.applyLimits(s.fleetState.View())
		s.mu.Lock()
		input := s.dispatcherInput()
		for _, service := range input.view.Services() {
			if s.dispatchers[service.Name] == nil && service.Origin == "" {
				s.dispatchers[service.Name] = s.newDispatcher(service.Name, service)
			}
		}
		for name, d := range s.dispatchers {
			s.applyInput(name, d, input)
			s.metrics.waiting.WithLabelValues(string(name)).Set(float64(d.QueueLen()))
			s.observeQueuedPriorities(name, d)
			s.metrics.limitedServers.WithLabelValues(string(name)).Set(float64(len(d.LimitedServers(s.clock.Now()))))
			s.metrics.unclaimed.WithLabelValues(string(name)).Set(float64(d.Unclaimed(s.clock.Now())))
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-s.clock.After(dispatcherUpdateInterval):
		}
	}
}

// updateDispatcher brings one dispatcher up to date. The lock must be held.
func (s *CallerServer) updateDispatcher(name member.Service, d *route.Dispatcher) {
	s.applyInput(name, d, s.dispatcherInput())
}

// applyInput sets the servers of a dispatcher and the weights versions that it may use. The lock must be held.
func (s *CallerServer) applyInput(name member.Service, d *route.Dispatcher, input *dispatcherInput) {
	view, now := input.view, input.now
	layers := 0
	if service := view.Service(name); service != nil && service.Engine != nil {
		layers = service.Engine.Layers
		if len(service.Engine.Models) > 0 {
			s.models[name] = service.Engine.Models[0]
		}
	}
	if s.suspects.awaitsRestarts() {
		for _, server := range view.Servers(name) {
			s.suspects.NoteServerStart(server.ID, server.Incarnation, "entry")
		}
	}
	if model, ok := s.models[name]; ok {
		d.RequireVersions(s.versionConstraints(view.PublishedVersions(model), now), now)
	}
	if input.hasBoxes {
		d.SetBoxCount(input.liveBoxes, input.allBoxes)
	}
	d.SetPriorityClasses(hasSeveralPriorities(view, name))
	s.setServers(name, d, input, layers)
}

// observeQueuedPriorities sets the metric for the requests queued by priority.
func (s *CallerServer) observeQueuedPriorities(name member.Service, d *route.Dispatcher) {
	lengths, ok := d.QueueLenByClass(s.clock.Now())
	if !ok {
		s.metrics.priorityWaiting.DeletePartialMatch(prometheus.Labels{"service": string(name)})
		return
	}
	for priority, length := range lengths {
		s.metrics.priorityWaiting.WithLabelValues(string(name), strconv.Itoa(priority)).Set(float64(length))
	}
}

// hasSeveralPriorities reports whether the requests of a service can have different priorities.
func hasSeveralPriorities(view *fleet.View, service member.Service) bool {
	if view.Configuration == nil {
		return false
	}
	priorities := make(map[int]struct{})
	for i := range view.Configuration.Routes {
		r := &view.Configuration.Routes[i]
		if slices.ContainsFunc(r.Backends, func(b fleet.Backend) bool { return b.Service == service }) {
			priorities[r.Priority] = struct{}{}
		}
	}
	if len(priorities) == 0 {
		return false
	}
	for i := range view.Configuration.Organisations {
		if priority := view.Configuration.Organisations[i].Priority; priority != nil {
			priorities[*priority] = struct{}{}
		}
	}
	return len(priorities) > 1
}

// responseStartMargin is how long before the version bound a response must have started. It covers the delay
// with which a box receives a publication and the time that it takes to abort a request.
const responseStartMargin = 500 * time.Millisecond

// versionConstraints returns the weights versions that a dispatcher may use now.
func (s *CallerServer) versionConstraints(published fleet.PublishedVersions, now time.Time) route.VersionRequirements {
	return route.VersionRequirements{
		Required: s.requiredVersion(published, now), Preferred: published.OldestAllowed(s.versionBound-slowCutoffMargin, now),
		RequiredInFlight: published.OldestAllowed(s.versionBound-responseStartMargin, now), Newest: published.Newest().Version,
	}
}

// isPastCutoff reports whether the version of a reservation may no longer start a request. The cutoff may have
// passed since the reservation was made, for example if the machine was suspended. In this case the dispatcher
// is updated at once, rather than within dispatcherUpdateInterval, so that no other request gets the slot.
func (s *CallerServer) isPastCutoff(name member.Service, reservation *route.Reservation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	model, ok := s.models[name]
	if !ok || reservation.Version >= s.requiredVersion(s.fleetState.View().PublishedVersions(model), s.clock.Now()) {
		return false
	}
	s.updateDispatcher(name, s.dispatchers[name])
	return true
}

// entryBoxCount returns the number of known entry boxes, including this one.
func (s *CallerServer) entryBoxCount() int {
	entries := s.entries.Load()
	if entries == nil {
		return 1
	}
	return entries.Up()
}

// requiredVersion returns the oldest weights version that may start a request now.
func (s *CallerServer) requiredVersion(published fleet.PublishedVersions, now time.Time) fleet.WeightsVersion {
	return published.OldestAllowed(s.versionBound-cutoffMargin, now)
}

// watchReady returns a task that marks the box as ready once it has a configuration and is not leaving.
func (s *CallerServer) watchReady(status *StatusServer) func(ctx context.Context) {
	return func(ctx context.Context) {
		for {
			changed := s.fleetState.Changed()
			if s.fleetState.View().Configuration != nil && !s.leaving.Load() {
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
