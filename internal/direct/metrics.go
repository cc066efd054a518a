package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/metric"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// Metrics are the Prometheus metrics of one process.
type Metrics struct {
	registry *prometheus.Registry

	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	ttfb           *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	// hedges counts the attempts that were started beside a silent one.
	hedges *prometheus.CounterVec
	// retries counts the decisions on attempts beyond the first of a request.
	retries *prometheus.CounterVec
	// invalidResponses counts attempts whose response was none by the protocol or ended early.
	invalidResponses *prometheus.CounterVec
	// cutResponses counts responses that had started and were cut.
	cutResponses *prometheus.CounterVec
	// serverSignals counts responses in which backend servers announce a departure, request a backoff or advertise
	// a rate limit.
	serverSignals *prometheus.CounterVec
	// suspects counts the evidence about requests under which servers have exited.
	suspects *prometheus.CounterVec
	waiting  *prometheus.GaugeVec
	// priorityWaiting is the queued requests of services with several priorities, priorityRefusals the requests refused
	// because servers were busy, of all services.
	priorityWaiting  *prometheus.GaugeVec
	priorityRefusals *prometheus.CounterVec
	// limitedServers is the number of servers with a rate limit; limitRefusals counts the requests refused while
	// all servers that could run them had one.
	limitedServers *prometheus.GaugeVec
	limitRefusals  *prometheus.CounterVec
	// unclaimed is the number of requests that servers report in flight and that no live entry box claims.
	unclaimed *prometheus.GaugeVec
	// heldBytes is the number of bytes held for callers and servers that are slow to read.
	heldBytes   prometheus.Gauge
	connections prometheus.Counter
	storeCalls  *prometheus.CounterVec
	// traffic counts the messages and bytes sent to other processes.
	traffic controlTraffic
	// configurationTransfers counts the configurations sent to other processes.
	configurationTransfers *prometheus.CounterVec
	logDropped             prometheus.Counter
	chunks                 *prometheus.CounterVec
	manifests              *prometheus.CounterVec
	orders                 *prometheus.CounterVec
	// originOutages counts the times at which the origin of weights was found unavailable.
	originOutages prometheus.Counter
	// configuration, revision, storeEra, complete, completeEra and deferredDeletions describe the process's current view of the fleet.
	configuration     prometheus.Gauge
	apiKeys           prometheus.Gauge
	revision          prometheus.Gauge
	storeEra          prometheus.Gauge
	complete          prometheus.Gauge
	completeEra       prometheus.Gauge
	deferredDeletions prometheus.Gauge
	// evacuatedDomains is the number of failure domains that the operators have evacuated.
	evacuatedDomains prometheus.Gauge
	// outdatedEntries counts the entries of deleted servers that other processes sent.
	outdatedEntries prometheus.Counter
	// pulls counts the pulls of facts from other entry boxes.
	pulls *prometheus.CounterVec
	// refusedPulls counts the pulls that this process refused because too many others were in progress.
	refusedPulls prometheus.Counter
}

// secondsBuckets are the histogram bounds in seconds, from a fast lookup to a long stream.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 4, 6}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		requests:       metric.CounterVec("direct_requests_total", "Requests by route and outcome.", "route", "outcome"),
		requestSeconds: metric.HistogramVec("direct_request_seconds", "Time from arrival to the end of the answer.", secondsBuckets, "route"),
		ttfb:           metric.HistogramVec("direct_first_byte_seconds", "Time from arrival to the first byte of the answer.", secondsBuckets, "route"),
		attempts:       metric.CounterVec("direct_attempts_total", "Attempts at backend servers by service and result.", "service", "result"),
		hedges:         metric.CounterVec("direct_hedges_total", "Attempts started beside one whose server was silent, by service and result.", "service", "result"),
		retries: metric.CounterVec("direct_retries_total",
			"Attempts beyond the first of a request, by service, cause, and whether the retry budget allowed them.",
			"service", "cause", "result"),
		invalidResponses: metric.CounterVec("direct_invalid_responses_total",
			"Attempts whose response counted as none, by service and reason: its head is invalid (head), or it ended early (cut).", "service", "reason"),
		cutResponses:  metric.CounterVec("direct_cut_answers_total", "Answers cut after their start, by reason.", "reason"),
		serverSignals: metric.CounterVec("direct_server_words_total", "Answers in which backend servers say that they leave, ask for rest or name a limit.", "word"),
		suspects:      metric.CounterVec("suspect_requests_total", "What was heard of requests under which backend servers ended: one more has (ended), or one has run it well (cleared).", "heard"),
		waiting:       metric.GaugeVec("direct_waiting", "Requests that wait for a place.", "service"),
		priorityWaiting: metric.GaugeVec("direct_priority_waiting",
			"Requests that wait for a slot, by service and priority; only for services with several priorities.", "service", "priority"),
		priorityRefusals: metric.CounterVec("direct_priority_refusals_total",
			"Requests refused because servers are busy, by service and priority.", "service", "priority"),
		limitedServers: metric.GaugeVec(
			"direct_limited_servers", "Backend servers with a rate limit that this box sends to, by service.", "service",
		),
		limitRefusals: metric.CounterVec(
			"direct_limit_refusals_total", "Requests refused while all servers that could run them had a rate limit, by service.", "service",
		),
		unclaimed:   metric.GaugeVec("direct_unclaimed", "Requests that backend servers report and no entry box that is heard here claims.", "service"),
		heldBytes:   metric.Gauge("direct_held_bytes", "Bytes of requests and of unsent parts of responses that are held."),
		connections: metric.Counter("direct_connections_total", "Connections opened to backend servers."),
		storeCalls:  metric.CounterVec("store_calls_total", "Calls of the platform's store by kind and result.", "call", "result"),
		traffic:     newControlTraffic(),
		configurationTransfers: metric.CounterVec("direct_configuration_transfers_total",
			"Configurations sent to other processes by kind: the whole, a delta, or the services alone (reduced).", "kind"),
		logDropped: metric.Counter("log_lines_dropped_total", "Log lines dropped because they came too fast."),
		chunks:     metric.CounterVec("pieces_total", "Pieces of weights received, by source and result.", "from", "result"),
		manifests: metric.CounterVec("manifests_total",
			"Manifests of weights by source and result: taken, invalid, or dropped because pieces do not match.", "from", "result"),
		orders:        metric.CounterVec("orders_total", "Orders given to the backend server, by result.", "result"),
		originOutages: metric.Counter("origin_outages_total", "Times at which the origin of weights was found unavailable."),

		configuration:     metric.Gauge("believed_configuration_version", "Version of the operators' configuration that is in force here."),
		apiKeys:           metric.Gauge("believed_api_keys", "API keys that the operators' configuration admits; -1 if requests need none."),
		revision:          metric.Gauge("believed_revision", "Newest revision of the platform's store that is known here, within its era."),
		storeEra:          metric.Gauge("believed_store_era", "Era of the newest revision that is known here: how often the platform's store has come back from a copy, and one."),
		completeEra:       metric.Gauge("believed_complete_era", "Era of the revision up to which every change is known here."),
		complete:          metric.Gauge("believed_complete_revision", "Revision of the platform's store up to which every change is known here, within its era."),
		evacuatedDomains:  metric.Gauge("believed_evacuated_domains", "Failure domains that the operators have evacuated."),
		pulls:             metric.CounterVec("direct_pulls_total", "Pulls of facts from other entry boxes, by result.", "result"),
		refusedPulls:      metric.Counter("direct_refused_pulls_total", "Pulls of facts that other entry boxes made and that were refused because too many were in progress."),
		outdatedEntries:   metric.Counter("outdated_entries_total", "Entries of servers that other processes sent and that were deleted before."),
		deferredDeletions: metric.Gauge("believed_held_deletions", "Deletions of servers' entries that are held back after an outage of the store."),
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.ttfb, m.attempts, m.hedges, m.retries, m.invalidResponses, m.cutResponses, m.serverSignals, m.suspects,
		m.waiting, m.priorityWaiting, m.priorityRefusals, m.limitedServers,
		m.limitRefusals, m.unclaimed, m.heldBytes, m.connections, m.storeCalls,
		m.traffic.messages, m.traffic.bytes, m.configurationTransfers, m.logDropped, m.chunks, m.manifests, m.orders, m.originOutages,
		m.configuration, m.apiKeys, m.revision, m.storeEra, m.complete, m.completeEra, m.deferredDeletions, m.evacuatedDomains, m.outdatedEntries, m.pulls, m.refusedPulls,
		collectors.NewGoCollector())
	return m
}

// observeView sets the metrics of the process's current view of the fleet.
func (m *Metrics) observeView(view *fleet.View, known Watermarks, deferred int) {
	if view.Configuration != nil {
		m.configuration.Set(float64(view.Configuration.Version))
		m.apiKeys.Set(float64(view.KeyCount()))
	}
	m.revision.Set(float64(known.Newest.Number()))
	m.storeEra.Set(float64(known.Newest.Era()))
	m.complete.Set(float64(known.Complete.Number()))
	m.completeEra.Set(float64(known.Complete.Era()))
	m.deferredDeletions.Set(float64(deferred))
}

// observeStoreAge registers a metric for the time since the last response of the platform's store.
func (m *Metrics) observeStoreAge(age func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metric.Namespace, Name: "believed_store_age_seconds", Help: "How long ago the platform's store last answered; negative if it never did.",
	}, func() float64 { return age().Seconds() }))
}

// observeConfirmationAge registers a metric for the age of the latest confirmation of the configuration.
func (m *Metrics) observeConfirmationAge(age func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metric.Namespace, Name: "believed_confirmation_age_seconds",
		Help: "How long ago the platform's store last showed, here or to another entry box, which configuration is its newest; negative if it never did.",
	}, func() float64 { return age().Seconds() }))
}

// httpService is an HTTP server with the methods of a kernel service.
type httpService struct {
	name   string
	server *http.Server
	tasks  *kernel.TaskGroup
}

const (
	// headerTimeout is the maximum time for a caller to send its headers.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long an idle connection is kept open. Callers reuse connections that have been idle for
	// up to four fifths of it.
	idleTimeout = 15 * time.Second
)

// serveHTTP starts an HTTP server on an address. headerBytes bounds the size of request headers.
func (p *Process) serveHTTP(name, address string, handler http.Handler, headerBytes int) (*httpService, error) {
	listener, err := upstream.Listen(context.Background(), address)
	if err != nil {
		return nil, err
	}
	s := &httpService{name: name, tasks: kernel.NewTaskGroup(), server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}}
	s.tasks.Go(func(context.Context) {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.options.Log.Error().Str("service", name).Err(err).Msg("HTTP listener failed; no longer accepting connections")
		}
	})
	return s, nil
}

// String returns the service's name.
func (s *httpService) String() string { return s.name }

// Stop waits for the requests in progress. If the context ends first, it closes their connections.
func (s *httpService) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.server.Close())
	}
	return errors.Join(err, s.tasks.Stop(ctx))
}

func newRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	return router
}

// maxInternalHeaderBytes bounds the request headers, in bytes, of services other than the caller server.
const maxInternalHeaderBytes = 8 << 10

// startMetrics serves the metrics, the list of backend servers and, on entry boxes, the quarantined requests and the
// rate limits of backend servers. The process works without this service, so a failure to listen is only logged.
func (p *Process) startMetrics() error {
	p.fleetState.tasks.Go(func(ctx context.Context) {
		p.metrics.traffic.logEvery(ctx, p.options.Clock, p.options.Log, trafficLogInterval)
	})
	router := newRouter()
	if p.callerServer != nil {
		p.suspects.serveQuarantine(router)
		p.callerServer.serveRateLimits(router)
	}
	p.fleetState.serveServers(router, p.box())
	router.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(p.metrics.registry, promhttp.HandlerOpts{})))
	service, err := p.serveHTTP("metrics", p.settings.Listen.Metrics, router, maxInternalHeaderBytes)
	if err != nil {
		p.options.Log.Warn().Str("address", p.settings.Listen.Metrics).Err(err).Msg("listening for metrics failed; continuing without them")
		return nil
	}
	return p.services.Register(service)
}
