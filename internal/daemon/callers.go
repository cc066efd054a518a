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
	// attemptLimit bounds the tries of one request.
	attemptLimit = 4
	// retryRatio and retryBurst bound the tries of all requests together that
	// follow a failure; refusals that prove not-run cost nothing.
	retryRatio = 0.2
	retryBurst = 50
	// headerLimit bounds a request's headers, in bytes.
	headerLimit = 64 << 10
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// connectionIdle closes connections that callers hold open without use.
	connectionIdle = 2 * time.Minute
	// callerEntries limits the entry boxes told to one caller.
	callerEntries = 16
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

// Callers answers callers over HTTP.
type Callers struct {
	options settings.Requests
	region  member.Region
	view    *View
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	forward *forwarder
	budget  *route.RetryBudget
	duties  *kernel.TaskGroup
	server  *http.Server
	leaving atomic.Bool

	mu         sync.Mutex
	admissions map[member.Service]*route.Admission
}

// CallersOptions are the parts that Callers works with.
type CallersOptions struct {
	Settings settings.Requests
	Region   member.Region
	View     *View
	Peers    *Peers
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Metrics  *Metrics
	// Listen opens the listener once Ready holds; an entry box that knows nothing
	// yet would only refuse what another one could answer.
	Listen func() (net.Listener, error)
	Ready  func() bool
	// Opened is called when callers are answered.
	Opened func()
}

// NewCallers answers callers as soon as it is ready to.
func NewCallers(options CallersOptions) *Callers {
	c := &Callers{
		options: options.Settings, region: options.Region, view: options.View,
		clock: options.Clock, log: options.Log, metrics: options.Metrics,
		forward:    &forwarder{peers: options.Peers, clock: options.Clock, metrics: options.Metrics},
		budget:     route.NewRetryBudget(retryRatio, retryBurst),
		duties:     kernel.NewTaskGroup(),
		admissions: make(map[member.Service]*route.Admission),
	}
	router := newEcho()
	router.Use(c.closeWhenLeaving)
	router.GET("/v1/entries", c.entries)
	router.Any(servicesPath+":service", c.serve)
	router.Any(servicesPath+":service/*", c.serve)
	c.server = &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: connectionIdle, MaxHeaderBytes: headerLimit,
	}
	c.duties.Go(func(ctx context.Context) {
		if err := c.open(ctx, options); err != nil && ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
			c.log.Error().Err(err).Msg("callers' listener failed")
		}
	})
	c.duties.Go(c.adjust)
	return c
}

// open waits until the process is ready, then answers until the server stops.
func (c *Callers) open(ctx context.Context, options CallersOptions) error {
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
	options.Opened()
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
func (c *Callers) String() string { return "callers" }

// Stop goes on answering for as long as callers may keep the box's address, then
// finishes what is in progress. The box has announced before that it is leaving.
func (c *Callers) Stop(ctx context.Context) error {
	c.leaving.Store(true)
	select {
	case <-ctx.Done():
	case <-c.clock.After(time.Duration(c.options.EntriesTTL)):
	}
	err := c.server.Shutdown(ctx)
	return errors.Join(err, c.duties.Stop(ctx))
}

// closeWhenLeaving tells callers with each answer not to use their connection
// again, so that none is cut off when the listener closes.
func (c *Callers) closeWhenLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		if c.leaving.Load() {
			e.Response().Header().Set("Connection", "close")
		}
		return next(e)
	}
}

// EntriesAnswer is what a caller keeps for a while.
type EntriesAnswer struct {
	Service    member.Service `json:"service"`
	TTLSeconds int            `json:"ttl_seconds"`
	Entries    []EntryAddress `json:"entries"`
}

// EntryAddress is one entry box that a caller may use.
type EntryAddress struct {
	Address       member.Address       `json:"address"`
	FailureDomain member.FailureDomain `json:"failure_domain"`
}

func (c *Callers) entries(e echo.Context) error {
	service := member.Service(e.QueryParam("service"))
	if service == "" {
		writeProblem(e.Response(), Problem{Status: http.StatusBadRequest, Detail: "want the query parameter service"})
		return nil
	}
	return e.JSON(http.StatusOK, entriesAnswer(c.view, service, c.region, time.Duration(c.options.EntriesTTL)))
}

// entriesAnswer names the entry boxes of a region, spread by a hash that differs
// from caller to caller only in the order.
func entriesAnswer(view *View, service member.Service, region member.Region, ttl time.Duration) EntriesAnswer {
	entries := view.Entries(region)
	if len(entries) == 0 {
		entries = view.Entries("")
	}
	answer := EntriesAnswer{Service: service, TTLSeconds: int(ttl / time.Second), Entries: []EntryAddress{}}
	byAddress := make(map[member.Address]member.Record, len(entries))
	addresses := make([]member.Address, 0, len(entries))
	for _, entry := range entries {
		if entry.Callers != "" {
			byAddress[entry.Callers] = entry
			addresses = append(addresses, entry.Callers)
		}
	}
	for _, address := range member.Rank(rand.Text(), addresses, callerEntries) {
		answer.Entries = append(answer.Entries, EntryAddress{Address: address, FailureDomain: byAddress[address].FailureDomain})
	}
	return answer
}

func (c *Callers) serve(e echo.Context) error {
	w, r := e.Response(), e.Request()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x, problem := c.readRequest(e)
	w.Header().Set(headerRequestID, string(x.id))
	if problem != nil {
		writeProblem(w, *problem)
		return nil
	}
	place, refusal := c.place(x)
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
