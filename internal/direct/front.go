package direct

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
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
	// noConfigurationWait is when a caller should return to a box that knows no
	// configuration yet; one is read within a few round trips.
	noConfigurationWait = 300 * time.Millisecond
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
	duties   *kernel.Duties
	bound    time.Duration
	retries  retryLimits
	started  time.Time
	isNear   func(member.FailureDomain) bool
	entries  atomic.Pointer[EntryBoxes]
	service  *httpService
	leaving  atomic.Bool
	active   atomic.Int64
	// accepted counts the requests since the start, to see when callers have
	// gone elsewhere.
	accepted atomic.Int64

	mu          sync.Mutex
	dispatchers map[member.Service]*route.Dispatcher
	budgets     map[member.Service]*route.WindowBudget
	// patience is how long the callers of a route wait, by the route's name.
	patience map[string]*patience
}

// retryLimits bound the attempts beyond the first of all entry boxes together.
type retryLimits struct {
	ratio  float64
	extra  int
	window time.Duration
}

// startFront answers callers.
func (p *Process) startFront() error {
	direct := p.settings.Direct
	f := &Front{
		facts: p.facts, protocol: p.options.Platform.Callers, clock: p.options.Clock, log: p.options.Log, metrics: p.metrics,
		duties: kernel.NewDuties(), started: p.options.Clock.Now(), bound: time.Duration(direct.VersionBound),
		retries: retryLimits{direct.RetryRatio, direct.RetryExtra, time.Duration(direct.RetryWindow)},
		isNear:  p.isNear, dispatchers: make(map[member.Service]*route.Dispatcher),
		budgets: make(map[member.Service]*route.WindowBudget), patience: make(map[string]*patience),
	}
	f.pool = upstream.NewPool(upstream.Options{
		Clock: p.options.Clock, IsOwn: f.isOwn, KeepPerServer: keepPerServer, Opened: p.metrics.connections.Inc,
	})
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
	mark := f.protocol.ReadAnswer(answer)
	return mark.RequestID == id || mark.RequestID == "" && mark.NotRun
}

// String returns the service's name.
func (f *Front) String() string { return "front" }

const (
	// leaveLeast is how long a leaving box goes on taking new connections: some
	// callers keep an address for three times the time that they are told.
	leaveLeast = 3500 * time.Millisecond
	// leaveQuiet is for how long no request must have come before it stops.
	leaveQuiet = time.Second
	// leaveReserve is kept of the time for the requests in progress.
	leaveReserve = 2500 * time.Millisecond
)

// Leave goes on answering until callers have gone elsewhere.
func (f *Front) Leave(ctx context.Context) {
	f.leaving.Store(true)
	f.log.Info().Int64("active", f.active.Load()).Msg("leaving")
	started, quietSince, seen := f.clock.Now(), f.clock.Now(), f.accepted.Load()
	deadline, ok := ctx.Deadline()
	for ctx.Err() == nil {
		sleep(ctx, f.clock, statusInterval)
		now := f.clock.Now()
		if accepted := f.accepted.Load(); accepted != seen {
			seen, quietSince = accepted, now
		}
		if ok && deadline.Sub(now) < leaveReserve {
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
		maps.Copy(load, d.Own())
	}
	return load
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

// PeerLoad takes what another entry box has in flight; see route.Dispatcher.
func (f *Front) PeerLoad(box member.BoxID, load route.Load, whole bool, now time.Time) {
	for _, d := range f.all() {
		d.PeerLoad(box, load, whole, now)
	}
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
				f.dispatcher(service.Name).State(server.ID, state, now)
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
		d = newDispatcher(service)
		f.dispatchers[name] = d
		f.adjustOne(name, d)
	}
	return d
}

func newDispatcher(service *fleet.Service) *route.Dispatcher {
	if service != nil && service.Engine != nil {
		return route.NewDispatcher(usualModelTime, firstModelTime, true)
	}
	return route.NewDispatcher(usualPlainTime, firstPlainTime, false)
}

func (f *Front) budget(name member.Service) *route.WindowBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[name]
	if !ok {
		b = route.NewWindowBudget(f.retries.ratio, f.retries.window)
		f.budgets[name] = b
	}
	return b
}

// adjust follows the view and the time.
func (f *Front) adjust(ctx context.Context) {
	for {
		changed := f.facts.Changed()
		f.mu.Lock()
		for _, service := range f.facts.View().Services() {
			if f.dispatchers[service.Name] == nil && service.Origin == "" {
				f.dispatchers[service.Name] = newDispatcher(service)
			}
		}
		for name, d := range f.dispatchers {
			f.adjustOne(name, d)
			f.metrics.waiting.WithLabelValues(string(name)).Set(float64(d.Waiting()))
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

// adjustOne gives a dispatcher its servers and the weights that it may use.
func (f *Front) adjustOne(name member.Service, d *route.Dispatcher) {
	view, now := f.facts.View(), f.clock.Now()
	layers := 0
	service := view.Service(name)
	if service != nil && service.Engine != nil {
		layers = service.Engine.Layers
		if len(service.Engine.Models) > 0 {
			named := view.Wanted(service.Engine.Models[0])
			d.Require(route.Versions{
				Required: f.required(named, now), Preferred: named.Required(f.bound-slowMargin, now), Newest: named.Newest().Version,
			}, now)
		}
	}
	d.Servers(view.Servers(name), layers, f.isNear, now)
	d.Boxes(f.boxes())
}

// boxes is how many entry boxes there are, with this one, as far as it knows.
func (f *Front) boxes() int {
	entries := f.entries.Load()
	if entries == nil {
		return 1
	}
	return len(entries.Boxes()) + 1
}

// required is the oldest version of weights that may start a request now.
func (f *Front) required(named fleet.Named, now time.Time) fleet.WeightsVersion {
	return named.Required(f.bound-versionMargin, now)
}

// exchange is one request of a caller.
type exchange struct {
	provider.Inbound

	writer       http.ResponseWriter
	request      *http.Request
	body         []byte
	route        *fleet.Route
	service      member.Service
	organisation *fleet.Organisation
	arrived      time.Time
	// deadline is when the caller's and the route's time is over.
	deadline  time.Time
	returning bool
	// configuration is the version by which the request was routed.
	configuration uint64
	// attempts counts what was sent, unreachable what could not be, misdirected
	// what came to a server that was not the one meant.
	attempts    int
	unreachable int
	misdirected int
	// begun is set once the head of an answer has been passed on, after firstAfter.
	begun      bool
	firstAfter time.Duration
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
}

// serve answers one request.
func (f *Front) serve(c echo.Context) error {
	f.accepted.Add(1)
	f.active.Add(1)
	defer f.active.Add(-1)
	x := &exchange{
		Inbound: f.protocol.ReadRequest(c.Request()), writer: c.Response().Writer, request: c.Request(), arrived: f.clock.Now(),
	}
	if f.leaving.Load() {
		x.writer.Header().Set("Connection", "close")
	}
	if !f.admit(x) || !f.readBody(x) {
		return nil
	}
	f.setTimes(x)
	f.run(x)
	return nil
}

// admit finds the route and the organisation of a request. If there is none, the
// answer is written.
func (f *Front) admit(x *exchange) bool {
	view := f.facts.View()
	if view.Configuration == nil {
		f.refuse(x, "no-configuration", noConfigurationWait)
		return false
	}
	x.configuration = view.Configuration.Version
	var ok bool
	if x.route, ok = view.Route(hostOf(x.request), x.request.URL.EscapedPath()); !ok {
		f.reject(x, http.StatusNotFound, "no-route")
		return false
	}
	if len(view.Configuration.Organisations) > 0 && !x.route.Public {
		if x.organisation, ok = view.Organisation(x.Key); !ok {
			f.reject(x, http.StatusUnauthorized, "unknown-key")
			return false
		}
	}
	x.service = chooseBackend(x.route.Backends)
	return true
}

// hostOf is the host that a request names, without a port.
func hostOf(request *http.Request) string {
	host := request.Host
	if at := strings.LastIndexByte(host, ':'); at > 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return host
}

// chooseBackend draws one of a route's services by their weights.
func chooseBackend(backends []fleet.Backend) member.Service {
	total := 0.0
	for _, backend := range backends {
		total += backend.Weight
	}
	drawn := rand.Float64() * total
	for _, backend := range backends {
		drawn -= backend.Weight
		if drawn < 0 {
			return backend.Service
		}
	}
	return backends[len(backends)-1].Service
}

// readBody reads the body, which is kept for a second attempt. If it is too long
// or incomplete, the answer is written.
func (f *Front) readBody(x *exchange) bool {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return true
	}
	limit := int64(defaultBody)
	if configuration := f.facts.View().Configuration; configuration.Limits.BodyBytes > 0 {
		limit = configuration.Limits.BodyBytes
	}
	var err error
	reader := http.MaxBytesReader(x.writer, x.request.Body, limit)
	if length := x.request.ContentLength; length >= 0 && length <= limit {
		x.body = make([]byte, length)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
	}
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		// The end must have been seen, or the server can't tell that the caller
		// leaves.
		_, _ = reader.Read(make([]byte, 1))
		return true
	case errors.As(err, &tooLong):
		f.reject(x, http.StatusRequestEntityTooLarge, "body-too-long")
	default:
		f.reject(x, http.StatusBadRequest, "body-incomplete")
	}
	return false
}

// patience is the longest time that callers of a route have asked for. One who asks
// for less has been here before.
type patience struct {
	longest time.Duration
	seen    int
}

const (
	// returningPart is the part of the longest time asked for below which a caller is
	// taken to have been refused before.
	returningPart = 0.985
	// patienceKnown is after how many callers the longest time is known. Until then the
	// route's own time counts too: after a loss of power most callers have been here
	// before.
	patienceKnown = 20
)

// isReturning reports whether a caller has been refused before.
func (f *Front) isReturning(x *exchange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.patience[x.route.Name]
	if known == nil {
		known = &patience{}
		f.patience[x.route.Name] = known
	}
	known.seen++
	known.longest = max(known.longest, x.Deadline)
	longest := known.longest
	if known.seen <= patienceKnown {
		longest = max(longest, x.route.Timeout)
	}
	return float64(x.Deadline) < returningPart*float64(longest)
}

func (f *Front) setTimes(x *exchange) {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = x.Deadline
	}
	if x.Deadline > 0 {
		x.returning = f.isReturning(x)
		timeout = min(timeout, x.Deadline)
	}
	x.deadline = x.arrived.Add(timeout)
}

// refuse answers that the request has not run and when to come back.
func (f *Front) refuse(x *exchange, reason string, wait time.Duration) {
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(http.StatusServiceUnavailable)
	f.finish(x, "refused").Str("reason", reason).Dur("retry_after_ms", wait).Msg("request refused")
}

// reject answers that the request is not a proper one.
func (f *Front) reject(x *exchange, status int, reason string) {
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	f.finish(x, "rejected").Int("status", status).Str("reason", reason).
		Str("host", x.request.Host).Msg("request rejected")
}

// fail answers that the request may have run.
func (f *Front) fail(x *exchange, status int, cause error) {
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	f.finish(x, "unknown").Int("status", status).Err(cause).Msg("request failed")
}

// finish counts the outcome and begins its log line.
func (f *Front) finish(x *exchange, outcome string) *zerolog.Event {
	name := "none"
	if x.route != nil {
		name = x.route.Name
	}
	taken := f.clock.Since(x.arrived)
	f.metrics.requests.WithLabelValues(name, outcome).Inc()
	f.metrics.seconds.WithLabelValues(name).Observe(taken.Seconds())
	event := f.log.Info().Str("request", x.ID).Str("route", name).Str("outcome", outcome)
	if x.begun {
		event = event.Dur("begun_ms", x.firstAfter).Dur("objective_ms", x.route.Objective)
	}
	return event.Uint64("configuration", x.configuration).Int("attempts", x.attempts).Int("unreachable", x.unreachable).Dur("taken_ms", taken)
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
