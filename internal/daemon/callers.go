package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
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
	"github.com/cinderslip/cinderslip/pkg/table"
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
	budget  *route.Budget
	duties  *kernel.Duties
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
}

// NewCallers starts to answer on a listener.
func NewCallers(listener net.Listener, options CallersOptions) *Callers {
	c := &Callers{
		options: options.Settings, region: options.Region, view: options.View,
		clock: options.Clock, log: options.Log, metrics: options.Metrics,
		forward:    &forwarder{peers: options.Peers, clock: options.Clock, metrics: options.Metrics},
		budget:     route.NewBudget(retryRatio, retryBurst),
		duties:     kernel.NewDuties(),
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
	c.duties.Go(func(context.Context) {
		if err := c.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.log.Error().Err(err).Msg("callers' listener failed")
		}
	})
	c.duties.Go(c.adjust)
	return c
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

// adjust follows the view with the number of places and the weights of groups.
func (c *Callers) adjust(ctx context.Context) {
	generation := uint64(math.MaxUint64)
	for {
		changed := c.view.Changed()
		if next := c.view.ShareGeneration(); next != generation {
			generation = next
			c.adjustAll()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(adjustGap):
		}
	}
}

// adjustGap gathers changes that come close together.
const adjustGap = 100 * time.Millisecond

func (c *Callers) adjustAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, admission := range c.admissions {
		c.adjustOne(service, admission)
	}
}

// adjustOne gives an admission its places and the weights of its groups.
func (c *Callers) adjustOne(service member.Service, admission *route.Admission) {
	versions := make(map[table.ModelVersion]bool)
	for key, row := range c.view.PlanRows() {
		if member.Service(key.Model) == service {
			admission.SetWeight(key.Group, max(row.Share, minimumWeight))
			versions[row.Serving] = true
		}
	}
	admission.SetPlaces(c.places(service, versions))
}

// minimumWeight keeps a group with a share of 0 from dividing by 0.
const minimumWeight = 1e-3

// places divides the replicas' places among the entry boxes of the region.
func (c *Callers) places(service member.Service, versions map[table.ModelVersion]bool) int {
	replicas := c.view.Router().Count(route.Place{Service: service})
	for version := range versions {
		replicas += c.view.Router().Count(route.Place{Service: service, Version: version})
	}
	entries := max(1, len(c.view.Entries(c.region)))
	return (replicas*c.options.PlacesPerReplica + entries - 1) / entries
}

// admission returns the queue of a service. One that is asked for the first time
// gets its places at once: nothing may change in the view for a long time.
func (c *Callers) admission(service member.Service) *route.Admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.admissions[service]
	if !ok {
		held = route.NewAdmission(0, c.options.QueuePerGroup)
		c.adjustOne(service, held)
		c.admissions[service] = held
	}
	return held
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
		byAddress[entry.Callers] = entry
		addresses = append(addresses, entry.Callers)
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
	body, err := newBodyReader(ctx, r, c.options.BodyLimit)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Detail: "the body is shorter than its Content-Length"})
		return nil
	}
	x.body = body
	_ = http.NewResponseController(w).EnableFullDuplex()
	c.admit(ctx, x, place)
	return nil
}

var requestIDForm = regexp.MustCompile(`^[\x21-\x7e]{1,128}$`)

// readRequest reads the headers. The exchange always has an id.
func (c *Callers) readRequest(e echo.Context) (*exchange, *Problem) {
	r := e.Request()
	x := &exchange{
		id:      route.RequestID(r.Header.Get(headerRequestID)),
		group:   table.Group(r.Header.Get(headerGroup)),
		service: member.Service(e.Param("service")),
		request: r, writer: e.Response(), arrived: c.clock.Now(),
	}
	if x.id == "" {
		x.id = route.RequestID(rand.Text())
	}
	if !requestIDForm.MatchString(string(x.id)) {
		x.id = route.RequestID(rand.Text())
		return x, &Problem{Status: http.StatusBadRequest, Detail: headerRequestID + ": want 1 to 128 printable characters without spaces"}
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPath), "/")
	x.path = "/" + rest
	if r.URL.RawQuery != "" {
		x.path += "?" + r.URL.RawQuery
	}
	if detail := c.readOptions(x); detail != "" {
		return x, &Problem{Status: http.StatusBadRequest, Detail: detail}
	}
	return x, nil
}

// readOptions returns what is wrong with a header, with its name.
func (c *Callers) readOptions(x *exchange) string {
	header := x.request.Header
	switch text := header.Get(headerRepeatable); text {
	case "":
		x.repeatable = isRepeatable(x.request.Method)
	case "true", "false":
		x.repeatable = text == "true"
	default:
		return headerRepeatable + `: want "true" or "false"`
	}
	if text := header.Get(headerPriority); text != "" {
		priority, err := strconv.ParseInt(text, 10, 16)
		if err != nil {
			return headerPriority + ": want a whole number from -32768 to 32767"
		}
		x.priority = int(priority)
	}
	wait := time.Duration(c.options.Deadline)
	if text := header.Get(headerDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil || milliseconds <= 0 {
			return headerDeadline + ": want the milliseconds left, a whole number above 0"
		}
		wait = time.Duration(milliseconds) * time.Millisecond
	}
	x.deadline = x.arrived.Add(wait)
	return ""
}

func isRepeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// refusal is why a request was not run.
type refusal struct {
	reason string
	detail string
	// wait is when another try may do better; 0 means that none will.
	wait time.Duration
}

// place finds what the request is for: a model in the version that is in force
// for the group, or a plain service.
func (c *Callers) place(x *exchange) (route.Place, *refusal) {
	model := table.Model(x.service)
	if !c.view.HasModel(model) {
		place := route.Place{Service: x.service}
		if c.view.Router().Count(place) == 0 {
			return place, &refusal{reasonUnknownService, fmt.Sprintf("no box answers for service %q", x.service), time.Second}
		}
		return place, nil
	}
	row, ok := c.view.Row(table.Key{Group: x.group, Model: model})
	if !ok {
		detail := fmt.Sprintf("the table has no row for group %q and model %q; name the group in %s", x.group, model, headerGroup)
		return route.Place{}, &refusal{reasonUnknownGroup, detail, time.Second}
	}
	return route.Place{Service: x.service, Version: row.Serving}, nil
}

// refuse answers that the request was not run.
func (c *Callers) refuse(x *exchange, why refusal) {
	c.metrics.refusals.WithLabelValues(why.reason).Inc()
	c.finish(x, outcomeNotRun)
	x.writer.Header().Set(headerOutcome, outcomeNotRun.String())
	setRetryAfter(x.writer, why.wait)
	writeProblem(x.writer, Problem{Status: http.StatusServiceUnavailable, Title: "Not run", Detail: why.detail, Reason: why.reason})
}

// unknown answers that the request may have run.
func (c *Callers) unknown(x *exchange, cause error) {
	status := http.StatusBadGateway
	if errors.Is(cause, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	c.finish(x, outcomeUnknown)
	x.writer.Header().Set(headerOutcome, outcomeUnknown.String())
	writeProblem(x.writer, Problem{
		Status: status, Title: "Unknown outcome",
		Detail: "the request may have run; it was not sent again: " + cause.Error(),
	})
}

func (c *Callers) finish(x *exchange, result outcome) {
	c.metrics.requests.WithLabelValues(string(x.service), string(x.group), result.String()).Inc()
	c.metrics.requestSeconds.WithLabelValues(string(x.service)).Observe(c.clock.Since(x.arrived).Seconds())
}

// framesPerRequest is how many frames of answer count as one request's work.
const framesPerRequest = 100

// admit waits for a place and runs the request in it.
func (c *Callers) admit(ctx context.Context, x *exchange, place route.Place) {
	admission := c.admission(x.service)
	if c.view.Router().Count(place) == 0 {
		c.refuse(x, refusal{reasonNoBox, fmt.Sprintf("no box has %s %s live", x.service, place.Version), time.Second})
		return
	}
	waitCtx, cancel := clockwork.WithDeadline(ctx, c.clock, x.deadline)
	defer cancel()
	slot, err := admission.Enter(waitCtx, x.group, x.priority, x.arrived, x.deadline)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			slot.Leave(0, c.clock.Now())
		}
		c.finish(x, outcomeCallerGone)
		return
	case errors.Is(err, route.ErrQueueFull):
		c.refuse(x, refusal{reasonQueueFull, err.Error(), admission.RetryAfter(x.group)})
		return
	case err != nil:
		c.refuse(x, refusal{reasonDeadline, "the deadline would pass before the request starts", admission.RetryAfter(x.group)})
		return
	}
	defer func() { slot.Leave(float64(x.frames.Load())/framesPerRequest, c.clock.Now()) }()
	// The version is pinned only now: while the request waited, another one may
	// have come into force.
	place, why := c.place(x)
	if why != nil {
		c.refuse(x, *why)
		return
	}
	x.version = place.Version
	c.run(ctx, x, place)
}

// run tries boxes until the request has an outcome.
func (c *Callers) run(ctx context.Context, x *exchange, place route.Place) {
	c.budget.Request()
	var tried []member.BoxID
	// mayHaveRun stays set once any attempt may have started: no later refusal
	// can make "not run" true again.
	var mayHaveRun error
	last := refusal{reasonNoBox, fmt.Sprintf("no box has %s %s live", x.service, place.Version), time.Second}
	for number := range attemptLimit {
		target, ok := c.view.Router().Pick(place, tried, c.clock.Now())
		if !ok {
			break
		}
		tried = append(tried, target.Box)
		attempt := route.AttemptID(string(x.id) + "/" + rand.Text() + "/" + strconv.Itoa(number))
		result, err := c.forward.attempt(ctx, x, target, attempt)
		if result != outcomeAnswered {
			c.log.Debug().Str("request", string(x.id)).Str("box", string(target.Box)).
				Str("outcome", result.String()).Err(err).Msg("attempt ended")
		}
		switch result {
		case outcomeAnswered, outcomeCallerGone:
			c.finish(x, result)
			return
		case outcomeCut:
			c.finish(x, result)
			// The caller must see that the answer is not whole.
			panic(http.ErrAbortHandler)
		case outcomeUnknown:
			mayHaveRun = err
		case outcomeNotRun:
			last = refusal{reasonBoxesFailed, err.Error(), time.Second}
		}
		if !c.mayTryAgain(x, result, err) {
			break
		}
		c.metrics.retries.WithLabelValues(result.String()).Inc()
	}
	if mayHaveRun != nil {
		c.unknown(x, mayHaveRun)
		return
	}
	if x.isExpired(c.clock.Now()) {
		last = refusal{reasonDeadline, "the deadline passed before the request started", time.Second}
	}
	c.refuse(x, last)
}

// mayTryAgain reports whether the request may be sent to another box. One that
// surely did not run may always be, one that may have run only if it can be
// repeated and the budget allows it.
func (c *Callers) mayTryAgain(x *exchange, result outcome, cause error) bool {
	if x.isExpired(c.clock.Now()) || !x.body.replayable() {
		return false
	}
	if result == outcomeNotRun {
		return true
	}
	var refused *refusedError
	return x.repeatable && !errors.As(cause, &refused) && c.budget.Retry()
}

func (x *exchange) isExpired(now time.Time) bool { return !now.Before(x.deadline) }
