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
	// maxAttempts bounds the tries of one request.
	maxAttempts = 4
	// retryRatio and retryBurst bound the tries of all requests together that
	// follow a failure; refusals that prove not-run cost nothing.
	retryRatio = 0.2
	retryBurst = 50
	// maxHeaderBytes bounds a request's headers, in bytes.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// httpIdleTimeout closes connections that callers hold open without use.
	httpIdleTimeout = 2 * time.Minute
	// maxCallerEntries limits the entry boxes told to one caller.
	maxCallerEntries = 16
)

// servicesPath stands before a service's name in a request's path.
const servicesPath = "/v1/services/"

// The reasons for which a request is refused, as they stand in answers and
// metrics.
const (
	reasonUnknownService = "unknown-service"
	reasonUnknownGroup   = "unknown-group"
	reasonNoBox          = "no-box"
	reasonQueueFull      = "queue-full"
	reasonDeadline       = "deadline"
	reasonBoxesFailed    = "boxes-refused"
)

// CallerServer answers callers over HTTP.
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

// CallerServerOptions are the parts that Callers works with.
type CallerServerOptions struct {
	Settings settings.Requests
	Region   member.Region
	View     *View
	Peers    *PeerPool
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Metrics  *Metrics
	// Listen opens the listener once Ready holds; an entry box that knows nothing
	// yet would only refuse what another one could answer.
	Listen func() (net.Listener, error)
	Ready  func() bool
	// OnListening is called when callers are answered.
	OnListening func()
}

// NewCallerServer answers callers as soon as it is ready to.
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
			c.log.Error().Err(err).Msg("callers' listener failed")
		}
	})
	c.tasks.Go(c.followView)
	return c
}

// serveWhenReady waits until the process is ready, then answers until the server stops.
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

// newEcho returns a router whose own errors are problem documents.
func newEcho() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status, detail := http.StatusInternalServerError, err.Error()
		var known *echo.HTTPError
		if errors.As(err, &known) {
			status, detail = known.Code, fmt.Sprint(known.Message)
		}
		writeProblem(c.Response(), Problem{Status: status, Detail: detail})
	}
	return router
}

// String returns the service's name.
func (c *CallerServer) String() string { return "callers" }

// Stop goes on answering for as long as callers may keep the box's address, then
// finishes what is in progress. The box has announced before that it is leaving.
func (c *CallerServer) Stop(ctx context.Context) error {
	c.leaving.Store(true)
	select {
	case <-ctx.Done():
	case <-c.clock.After(time.Duration(c.options.EntriesTTL)):
	}
	err := c.server.Shutdown(ctx)
	return errors.Join(err, c.tasks.Stop(ctx))
}

// closeWhenLeaving tells callers with each answer not to use their connection
// again, so that none is cut off when the listener closes.
func (c *CallerServer) closeWhenLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		if c.leaving.Load() {
			e.Response().Header().Set("Connection", "close")
		}
		return next(e)
	}
}

// EntriesResponse is what a caller keeps for a while.
type EntriesResponse struct {
	Service    member.Service `json:"service"`
	TTLSeconds int            `json:"ttl_seconds"`
	Entries    []EntryAddress `json:"entries"`
}

// EntryAddress is one entry box that a caller may use.
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

// newEntriesResponse names the entry boxes of a region, spread by a hash that differs
// from caller to caller only in the order.
func newEntriesResponse(view *View, service member.Service, region member.Region, ttl time.Duration) EntriesResponse {
	entries := view.Entries(region)
	if len(entries) == 0 {
		entries = view.Entries("")
	}
	answer := EntriesResponse{Service: service, TTLSeconds: int(ttl / time.Second), Entries: []EntryAddress{}}
	byAddress := make(map[member.Address]member.Record, len(entries))
	addresses := make([]member.Address, 0, len(entries))
	for _, entry := range entries {
		if entry.Callers != "" {
			byAddress[entry.Callers] = entry
			addresses = append(addresses, entry.Callers)
		}
	}
	for _, address := range member.Rank(rand.Text(), addresses, maxCallerEntries) {
		answer.Entries = append(answer.Entries, EntryAddress{Address: address, FailureDomain: byAddress[address].FailureDomain})
	}
	return answer
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
	place, refusal := c.resolveVersion(x)
	if refusal != nil {
		c.refuse(x, *refusal)
		return nil
	}
	body, err := newBodyReader(ctx, r, c.options.RetryBodyLimit)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Detail: "the body is shorter than its Content-Length"})
		return nil
	}
	x.body = body
	_ = http.NewResponseController(w).EnableFullDuplex()
	c.admit(ctx, x, place)
	return nil
}
