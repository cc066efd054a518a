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
	// callerHeaders bounds a caller's headers, in bytes, until the operators'
	// limit is known.
	callerHeaders = 16 << 10
	// defaultBody bounds a caller's body where the operators give no limit.
	defaultBody = 4 << 20
	// noConfigurationWait is the shortest time after which a caller should return to a
	// box that knows no configuration yet.
	noConfigurationWait = 300 * time.Millisecond
	// configurationPart is the part of its time for which a request waits for the box
	// to know a configuration, configurationLongest bounds it: readers of streams leave
	// after two seconds without any event.
	configurationPart    = 0.3
	configurationLongest = 1600 * time.Millisecond
	// usualModelTime and usualPlainTime are how long requests hold a place until
	// the mean is known.
	usualModelTime = time.Second
	usualPlainTime = 40 * time.Millisecond
	// firstModelTime and firstPlainTime are how long answers take to begin until
	// that is known.
	firstModelTime = 120 * time.Millisecond
	firstPlainTime = 40 * time.Millisecond
	// keepPerServer bounds the unused connections kept to one server.
	keepPerServer = 16
	// versionMargin is how long before the bound older weights no longer start a
	// request: it covers hearing late of the version and a request on its way.
	versionMargin = time.Second
	// slowMargin is the same for servers that were not seen to start at once.
	slowMargin = 2500 * time.Millisecond
	// adjustInterval is how often time alone may change what servers may do.
	adjustInterval = 100 * time.Millisecond
)

// Front answers callers.
type Front struct {
	facts    *Facts
	protocol provider.CallerProtocol
	clock    clockwork.Clock
	log      zerolog.Logger
	metrics  *Metrics
	pool     *upstream.Pool
	duties   *kernel.TaskGroup
	bound    time.Duration
	retries  retryLimits
	started  time.Time
	box      member.BoxID
	isNear   func(member.FailureDomain) bool
	entries  atomic.Pointer[EntryBoxes]
	service  *httpService
	leaving  atomic.Bool
	// leavingSince is when the box began to leave; it is set before leaving is.
	leavingSince time.Time
	active       atomic.Int64
	// accepted counts the requests since the start, to see when callers have
	// gone elsewhere.
	accepted atomic.Int64
	// onLimitedSend is called when a request is sent to a server with a low rate limit.
	onLimitedSend func()
	// returns are the callers who were sent away.
	returns route.RejectedCallers
	// suspects are the requests under which servers have ended, ends tells whether one has, answered what was answered lately.
	suspects *Suspects
	ends     *endProbes
	answered *answeredLately

	mu sync.Mutex
	// peers is what the other boxes of the cell have in flight and are asked for, of all services: a service that is
	// configured later starts from it, as only what changes is told again.
	peers       peersTold
	dispatchers map[member.Service]*route.Dispatcher
	budgets     map[member.Service]*route.WindowRetryBudget
	// models are what the servers of a service run, also of one that is configured no more: what was
	// sent there before may not have begun.
	models map[member.Service]fleet.ModelName
	// patience is how long the callers of a route wait, by the route's name.
	patience map[string]*route.CallerTimeoutEstimator
}

// retryLimits bound the attempts beyond the first of all entry boxes together.
type retryLimits struct {
	ratio  float64
	extra  float64
	window time.Duration
}

// startFront answers callers.
func (p *Process) startFront() error {
	direct := p.settings.Direct
	f := &Front{
		facts: p.facts, protocol: p.options.Platform.Callers, clock: p.options.Clock, log: p.options.Log, metrics: p.metrics,
		duties: kernel.NewTaskGroup(), started: p.options.Clock.Now(), bound: time.Duration(direct.VersionBound),
		retries: retryLimits{*direct.RetryRatio, *direct.RetryExtra, time.Duration(direct.RetryWindow)},
		isNear:  p.isNear, box: p.box(), suspects: p.suspects, answered: newAnsweredLately(), dispatchers: make(map[member.Service]*route.Dispatcher),
		budgets: make(map[member.Service]*route.WindowRetryBudget), models: make(map[member.Service]fleet.ModelName), patience: make(map[string]*route.CallerTimeoutEstimator),
	}
	f.onLimitedSend = p.status.noteLimitedSend
	f.pool = upstream.NewPool(upstream.Options{
		Clock: p.options.Clock, Matches: f.isOwn, MaxIdlePerServer: keepPerServer, OnConnect: p.metrics.connections.Inc,
	})
	f.ends = newEndProbes(f.clock, f.pool)
	p.front = f
	router := newRouter()
	router.Any("/*", f.serve)
	var err error
	if f.service, err = p.serveHTTP("callers", p.settings.Listen.Callers, router, callerHeaders); err != nil {
		return err
	}
	f.duties.Go(f.adjust)
	return p.kernel.Register(f)
}

// isOwn reports whether an answer belongs to the request. A refusal that does
// not name its request is taken for the one that is waiting.
func (f *Front) isOwn(answer *http.Response, id string) bool {
	mark := f.protocol.ReadResponse(answer)
	return mark.RequestID == id || mark.RequestID == "" && mark.NotExecuted
}

// String returns the service's name.
func (f *Front) String() string { return "front" }

const (
	// leaveLeast is how long a leaving box goes on taking new connections: some
	// callers keep an address for three times the time that they are told.
	leaveLeast = 3500 * time.Millisecond
	// leaveTakes is how long a leaving box goes on taking requests. Those that come
	// later might not end within its grace, and are sent elsewhere.
	leaveTakes = 3 * time.Second
	// leaveQuiet is for how long no request must have come before it stops.
	leaveQuiet = time.Second
	// leaveReserve is kept of the time for the requests in progress.
	leaveReserve = 2500 * time.Millisecond
)

// Leave goes on answering until callers have gone elsewhere, or too little is left of a time for the requests in progress.
// The time is counted by the process's own clock: the end of the context is one of a clock that stands while the machine is
// suspended.
func (f *Front) Leave(ctx context.Context, within time.Duration) {
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
		if now.Sub(started) >= leaveLeast && now.Sub(quietSince) >= leaveQuiet {
			return
		}
	}
}

// Stop finishes what is in progress.
func (f *Front) Stop(ctx context.Context) error {
	err := f.service.Stop(ctx)
	f.log.Info().Int64("active", f.active.Load()).Msg("callers are no longer answered")
	return errors.Join(err, f.duties.Stop(ctx))
}

// Load returns what this box has in flight at each server.
func (f *Front) Load() route.Load {
	load := make(route.Load)
	for _, d := range f.all() {
		maps.Copy(load, d.OwnLoad())
	}
	return load
}

// Demands returns what this box is asked for of each service.
func (f *Front) Demands() route.Demands {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	demands := make(route.Demands, len(f.dispatchers))
	for name, d := range f.dispatchers {
		demands[name] = d.Demand(now)
	}
	return demands
}

func (f *Front) all() []*route.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*route.Dispatcher, 0, len(f.dispatchers))
	for _, d := range f.dispatchers {
		all = append(all, d)
	}
	return all
}

// PeerTold takes what another entry box has in flight and is asked for: at the servers
// and of the services that are named or, if whole is set, of these and no others.
func (f *Front) PeerTold(box member.BoxID, load route.Load, demands route.Demands, whole bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.peers.take(box, load, demands, whole)
	for service, d := range f.dispatchers {
		// A demand that stays is not told again, and counts for as long as its box is heard.
		d.UpdatePeerDemand(box, known.demands[service], now)
		d.UpdatePeerLoad(box, load, whole, now)
	}
}

// PeerSentAway takes the callers of whom another entry box tells on a way.
func (f *Front) PeerSentAway(callers []route.RejectedCaller, from route.RelayDimension, now time.Time) {
	f.returns.Merge(callers, from, now)
}

// ServerState takes what an agent tells of the server at an address.
func (f *Front) ServerState(address member.Address, state route.ServerState, now time.Time) {
	view := f.facts.View()
	for _, service := range view.Services() {
		if service.Engine == nil {
			continue
		}
		for _, server := range view.Servers(service.Name) {
			if server.Address == address {
				f.suspects.Started(server.ID, state.Incarnation, "agent")
				f.dispatcher(service.Name).UpdateServer(server.ID, state, now)
			}
		}
	}
}

// dispatcher returns the dispatcher of a service.
func (f *Front) dispatcher(name member.Service) *route.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.dispatchers[name]
	if !ok {
		service := f.facts.View().Service(name)
		d = f.newDispatcher(name, service)
		f.dispatchers[name] = d
		f.adjustOne(name, d)
	}
	return d
}

// newDispatcher returns a dispatcher that knows what others have told before. The lock must be held.
func (f *Front) newDispatcher(name member.Service, service *fleet.Service) *route.Dispatcher {
	options := route.DispatcherOptions{TypicalHoldTime: usualPlainTime, TTFB: firstPlainTime, Box: f.box, OnLimitedSend: f.onLimitedSend}
	if service != nil && service.Engine != nil {
		options.TypicalHoldTime, options.TTFB, options.NeedsWeights = usualModelTime, firstModelTime, true
	}
	d := route.NewDispatcher(options)
	f.peers.tell(name, d, f.clock.Now())
	return d
}

func (f *Front) budget(name member.Service) *route.WindowRetryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[name]
	if !ok {
		b = route.NewWindowRetryBudget(f.retries.ratio, f.retries.window)
		f.budgets[name] = b
	}
	return b
}

// adjust follows the view and the time.
func (f *Front) adjust(ctx context.Context) {
	for {
		changed := f.facts.Changed()
		f.suspects.Expire(f.clock.Now())
		f.mu.Lock()
		for _, service := range f.facts.View().Services() {
			if f.dispatchers[service.Name] == nil && service.Origin == "" {
				f.dispatchers[service.Name] = f.newDispatcher(service.Name, service)
			}
		}
		for name, d := range f.dispatchers {
			f.adjustOne(name, d)
			f.metrics.waiting.WithLabelValues(string(name)).Set(float64(d.QueueLen()))
			f.metrics.limitedServers.WithLabelValues(string(name)).Set(float64(len(d.LimitedServers(f.clock.Now()))))
			f.metrics.unclaimed.WithLabelValues(string(name)).Set(float64(d.Unclaimed(f.clock.Now())))
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-f.clock.After(adjustInterval):
		}
	}
}

// adjustOne gives a dispatcher its servers and the weights that it may use. The lock must be
// held, or an older view might be the last that is taken.
func (f *Front) adjustOne(name member.Service, d *route.Dispatcher) {
	view, now := f.facts.View(), f.clock.Now()
	layers := 0
	if service := view.Service(name); service != nil && service.Engine != nil {
		layers = service.Engine.Layers
		if len(service.Engine.Models) > 0 {
			f.models[name] = service.Engine.Models[0]
		}
	}
	if f.suspects.awaitsStarts() {
		for _, server := range view.Servers(name) {
			f.suspects.Started(server.ID, server.Incarnation, "entry")
		}
	}
	if model, ok := f.models[name]; ok {
		d.RequireVersions(f.versions(view.PublishedVersions(model), now), now)
	}
	entries := f.entries.Load()
	if entries == nil {
		d.SetServers(view.Servers(name), layers, f.isNear, now)
		return
	}
	d.SetServers(entries.currentPlan().owned(view.Servers(name)), layers, f.isNear, now)
	d.SetBoxCount(entries.CellBoxes())
}

// beginReserve is how long before the weights of a server are barred an answer must
// have begun: a version may have been heard of late, and breaking off takes a while.
const beginReserve = 500 * time.Millisecond

// versions is what a dispatcher may do with which weights now.
func (f *Front) versions(named fleet.PublishedVersions, now time.Time) route.VersionRequirements {
	return route.VersionRequirements{
		Required: f.required(named, now), Preferred: named.OldestAllowed(f.bound-slowMargin, now),
		RequiredInFlight: named.OldestAllowed(f.bound-beginReserve, now), Newest: named.Newest().Version,
	}
}

// isBarred reports whether the weights of a place may no longer start a request. They may have
// become so since it was granted: a box that stood still wakes with what it was about to send. If so, the
// dispatcher learns of it at once, and not within adjustInterval, so that nobody else is given the place.
func (f *Front) isBarred(name member.Service, place *route.Reservation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	model, ok := f.models[name]
	if !ok || place.Version >= f.required(f.facts.View().PublishedVersions(model), f.clock.Now()) {
		return false
	}
	f.adjustOne(name, f.dispatchers[name])
	return true
}

// boxes is how many entry boxes there are, with this one, as far as it knows.
func (f *Front) boxes() int {
	entries := f.entries.Load()
	if entries == nil {
		return 1
	}
	return entries.Up()
}

// required is the oldest version of weights that may start a request now.
func (f *Front) required(named fleet.PublishedVersions, now time.Time) fleet.WeightsVersion {
	return named.OldestAllowed(f.bound-versionMargin, now)
}

// watchReady keeps the status in step with whether requests can be answered: a
// box is ready once it knows a configuration.
func (f *Front) watchReady(status *Status) func(ctx context.Context) {
	return func(ctx context.Context) {
		for {
			changed := f.facts.Changed()
			if f.facts.View().Configuration != nil && !f.leaving.Load() {
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
