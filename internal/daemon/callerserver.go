package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 4
	// retryRatio is the number of retries that each request adds to the shared retry
	// budget, and retryBurst the maximum that the budget accumulates. Retries of
	// attempts that were not executed are not charged to the budget.
	retryRatio = 0.2
	retryBurst = 50
	// maxHeaderBytes is the maximum size of the headers of a request or of a response, in bytes.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits how long a caller may take to send the request headers.
	headerTimeout = 10 * time.Second
	// httpIdleTimeout is how long an idle connection from a caller stays open.
	httpIdleTimeout = 2 * time.Minute
	// maxCallerEntries is the maximum number of entry boxes in one EntriesResponse.
	maxCallerEntries = 16
)

// servicesPath is the path prefix before the service name in a request.
const servicesPath = "/v1/services/"

// Refusal reasons, as used in responses and as metric labels.
const (
	reasonUnknownService = "unknown-service"
	reasonUnknownGroup   = "unknown-group"
	reasonNoBox          = "no-box"
	reasonQueueFull      = "queue-full"
	reasonDeadline       = "deadline"
	reasonBoxesFailed    = "boxes-refused"
)

// CallerServer is the HTTP server for callers. It queues their requests, forwards each one
// to a box, and lists the entry boxes of the region.
type CallerServer struct {
	options   settings.Requests
	region    member.Region
	view      *View
	clock     clockwork.Clock
	log       zerolog.Logger
	metrics   *Metrics
	forwarder *forwarder
	budget    *route.RetryBudget
	tasks     *kernel.TaskGroup
	server    *http.Server
	leaving   atomic.Bool

	mu         sync.Mutex
	admissions map[member.Service]*route.Admission
}

// CallerServerOptions configures a CallerServer.
type CallerServerOptions struct {
	Settings settings.Requests
	Region   member.Region
	View     *View
	Peers    *PeerPool
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Metrics  *Metrics
	// Listen opens the listener. It is called once Ready returns true: before its view is
	// loaded, an entry box would refuse requests that another one could serve.
	Listen func() (net.Listener, error)
	Ready  func() bool
	// OnListening is called after the listener is open, before the first request is served.
	OnListening func()
}

// NewCallerServer starts a CallerServer. It opens its listener once options.Ready returns true.
func NewCallerServer(options CallerServerOptions) *CallerServer {
	c := &CallerServer{
		options: options.Settings, region: options.Region, view: options.View,
		clock: options.Clock, log: options.Log, metrics: options.Metrics,
		forwarder:  &forwarder{peers: options.Peers, clock: options.Clock, metrics: options.Metrics},
		budget:     route.NewRetryBudget(retryRatio, retryBurst),
		tasks:      kernel.NewTaskGroup(),
		admissions: make(map[member.Service]*route.Admission),
	}
	router := newEcho()
	router.Use(c.closeWhenLeaving)
	router.GET("/v1/entries", c.getEntries)
	router.Any(servicesPath+":service", c.serve)
	router.Any(servicesPath+":service/*", c.serve)
	c.server = &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	c.tasks.Go(func(ctx context.Context) {
		if err := c.serveWhenReady(ctx, options); err != nil && ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
			c.log.Error().Err(err).Msg("caller server stopped: listening or serving failed")
		}
	})
	c.tasks.Go(c.followView)
	return c
}

// serveWhenReady waits until options.Ready returns true, then serves until the server stops.
func (c *CallerServer) serveWhenReady(ctx context.Context, options CallerServerOptions) error {
	for {
		changed := c.view.Changed()
		if options.Ready() {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	listener, err := options.Listen()
	if err != nil {
		return err
	}
	options.OnListening()
	return c.server.Serve(listener)
}

// newEcho returns a router that reports its errors as problem documents.
func newEcho() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status, detail := http.StatusInternalServerError, err.Error()
		var httpError *echo.HTTPError
		if errors.As(err, &httpError) {
			status, detail = httpError.Code, fmt.Sprint(httpError.Message)
		}
		writeProblem(c.Response(), Problem{Status: status, Detail: detail})
	}
	return router
}

// String returns the name of the service for logs.
func (c *CallerServer) String() string { return "callers" }

// Stop keeps serving for Settings.EntriesTTL, because callers may use the box's address for
// that long, and then waits for the requests in progress. The box must have announced
// that it is leaving before Stop is called.
func (c *CallerServer) Stop(ctx context.Context) error {
	c.leaving.Store(true)
	select {
	case <-ctx.Done():
	case <-c.clock.After(time.Duration(c.options.EntriesTTL)):
	}
	err := c.server.Shutdown(ctx)
	return errors.Join(err, c.tasks.Stop(ctx))
}

// closeWhenLeaving is middleware that sets "Connection: close" on every response once the
// server is stopping. Callers then open no request on a connection that is about to close.
func (c *CallerServer) closeWhenLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		if c.leaving.Load() {
			e.Response().Header().Set("Connection", "close")
		}
		return next(e)
	}
}

// EntriesResponse lists entry boxes for a service. A caller may cache it for TTLSeconds.
type EntriesResponse struct {
	Service    member.Service `json:"service"`
	TTLSeconds int            `json:"ttl_seconds"`
	Entries    []EntryAddress `json:"entries"`
}

// EntryAddress is the address of an entry box that accepts requests from callers.
type EntryAddress struct {
	Address       member.Address       `json:"address"`
	FailureDomain member.FailureDomain `json:"failure_domain"`
}

func (c *CallerServer) getEntries(e echo.Context) error {
	service := member.Service(e.QueryParam("service"))
	if service == "" {
		writeProblem(e.Response(), Problem{Status: http.StatusBadRequest, Detail: "want the query parameter service"})
		return nil
	}
	return e.JSON(http.StatusOK, newEntriesResponse(c.view, service, c.region, time.Duration(c.options.EntriesTTL)))
}

// newEntriesResponse lists up to maxCallerEntries entry boxes of a region, or of all regions
// if the region has none. The order is random for each response, which spreads the callers.
func newEntriesResponse(view *View, service member.Service, region member.Region, ttl time.Duration) EntriesResponse {
	entries := view.Entries(region)
	if len(entries) == 0 {
		entries = view.Entries("")
	}
	response := EntriesResponse{Service: service, TTLSeconds: int(ttl / time.Second), Entries: []EntryAddress{}}
	byAddress := make(map[member.Address]member.Record, len(entries))
	addresses := make([]member.Address, 0, len(entries))
	for _, entry := range entries {
		if entry.Callers != "" {
			byAddress[entry.Callers] = entry
			addresses = append(addresses, entry.Callers)
		}
	}
	for _, address := range member.Rank(rand.Text(), addresses, maxCallerEntries) {
		response.Entries = append(response.Entries, EntryAddress{Address: address, FailureDomain: byAddress[address].FailureDomain})
	}
	return response
}

func (c *CallerServer) serve(e echo.Context) error {
	w, r := e.Response(), e.Request()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x, problem := c.readRequest(e)
	w.Header().Set(headerRequestID, string(x.id))
	if problem != nil {
		writeProblem(w, *problem)
		return nil
	}
	version, refused := c.resolveVersion(x)
	if refused != nil {
		c.refuse(x, *refused)
		return nil
	}
	body, err := newBodyReader(ctx, r, c.options.RetryBodyLimit)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Detail: "the body is shorter than its Content-Length"})
		return nil
	}
	x.body = body
	_ = http.NewResponseController(w).EnableFullDuplex()
	c.admit(ctx, x, version)
	return nil
}
