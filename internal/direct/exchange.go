package direct

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// exchange is one request of a caller.
type exchange struct {
	provider.InboundMetadata

	writer       http.ResponseWriter
	request      *http.Request
	body         []byte
	route        *fleet.Route
	service      member.Service
	organisation *fleet.Organisation
	arrived      time.Time
	// deadline is when the caller's and the route's time is over.
	deadline time.Time
	// sinceFirstTry is how long before this request its caller first asked, as far as is known;
	// 0 for one that was not here before.
	sinceFirstTry time.Duration
	// fingerprint identifies what is asked, also when the caller asks again.
	fingerprint route.Fingerprint
	// content identifies what a server gets of it; nil until that is asked for.
	content *route.ContentID
	// suspect is set while a server may have ended because of the request.
	suspect bool
	// waited is for how long the request has waited for places.
	waited time.Duration
	// configuration is the version by which the request was routed.
	configuration uint64
	// attempts counts what was sent, unreachable what could not be, misdirected
	// what came to a server that was not the one meant.
	attempts    int
	unreachable int
	misdirected int
	// started is set once the head of an answer has been passed on, after ttfb.
	started bool
	ttfb    time.Duration
	// longestPause is the longest time between two events that were passed on, lastForwarded
	// when the last one was.
	longestPause  time.Duration
	lastForwarded time.Time
	// lastEventID is the id of the last event that was passed on.
	lastEventID string
}

// serve answers one request.
func (f *CallerServer) serve(c echo.Context) error {
	f.accepted.Add(1)
	f.active.Add(1)
	defer f.active.Add(-1)
	x := &exchange{
		InboundMetadata: f.protocol.ReadRequest(c.Request()), writer: c.Response().Writer, request: c.Request(), arrived: f.clock.Now(),
	}
	if f.leaving.Load() {
		x.writer.Header().Set("Connection", "close")
		if x.arrived.Sub(f.leavingSince) >= leaveAcceptDuration {
			f.refuse(x, "leaving", refusedRetryAfter)
			return nil
		}
	}
	if !f.admit(x) || !f.readBody(x) {
		return nil
	}
	f.setDeadline(x)
	f.run(x)
	return nil
}

// admit finds the route and the organisation of a request. If there is none, the
// answer is written.
func (f *CallerServer) admit(x *exchange) bool {
	view := f.awaitConfiguration(x)
	if view.Configuration == nil {
		f.refuse(x, "no-configuration", max(noConfigurationRetryAfter, x.Deadline/3))
		return false
	}
	x.configuration = view.Configuration.Version
	var ok bool
	if x.route, ok = view.Route(hostOf(x.request), x.request.URL.EscapedPath()); !ok {
		f.rejectOrRefuse(x, http.StatusNotFound, "no-route", view.Configuration.Unreadable.Routes)
		return false
	}
	if len(view.Configuration.Organisations) > 0 && !x.route.Public {
		if x.organisation, ok = view.Organisation(x.Key); !ok {
			f.rejectOrRefuse(x, http.StatusUnauthorized, "unknown-key", view.Configuration.Unreadable.Organisations && x.Key != "")
			return false
		}
	}
	x.service = chooseBackend(x.route.Backends)
	return true
}

// rejectOrRefuse rejects a request for what the configuration does not have. Where it may
// be in a part that could not be read, the request is refused for now: a caller who is denied
// something does not come back.
func (f *CallerServer) rejectOrRefuse(x *exchange, status int, reason string, unread bool) {
	if unread {
		f.refuse(x, "configuration-unread", max(noConfigurationRetryAfter, x.Deadline/3))
		return
	}
	f.reject(x, status, reason)
}

// awaitConfiguration returns what is believed, once a configuration is known or the
// request has waited for one for long enough. A box that has just started reads one
// within a few round trips, and seconds later if the store is away too.
func (f *CallerServer) awaitConfiguration(x *exchange) *fleet.View {
	view := f.fleetState.View()
	if view.Configuration != nil {
		return view
	}
	wait := min(maxConfigurationWait, time.Duration(configurationWaitFraction*float64(x.Deadline)))
	timeout := f.clock.After(wait)
	for {
		changed := f.fleetState.Changed()
		if view = f.fleetState.View(); view.Configuration != nil {
			return view
		}
		select {
		case <-changed:
		case <-timeout:
			return view
		case <-x.request.Context().Done():
			return view
		}
	}
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
func (f *CallerServer) readBody(x *exchange) bool {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return true
	}
	limit := int64(defaultMaxBodyBytes)
	if configuration := f.fleetState.View().Configuration; configuration.Limits.BodyBytes > 0 {
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

func (f *CallerServer) setDeadline(x *exchange) {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = x.Deadline
	}
	if x.Deadline > 0 {
		x.sinceFirstTry = f.sinceFirstTry(x)
		timeout = min(timeout, x.Deadline)
	}
	x.deadline = x.arrived.Add(timeout)
}

// refuse answers that the request has not run and when to come back.
func (f *CallerServer) refuse(x *exchange, reason string, wait time.Duration) {
	f.writeRefusal(x, wait)
	f.finish(x, "refused").Str("reason", reason).Dur("retry_after_ms", wait).Msg("request refused")
}

// refuseBusy is refuse for a request that could not start in time, and logs why.
func (f *CallerServer) refuseBusy(x *exchange, busy *route.BusyError) {
	f.writeRefusal(x, busy.RetryAfter)
	reason := "busy"
	if busy.Slots == 0 && busy.BackingOff > 0 {
		reason = "resting"
	} else if busy.Limited > 0 {
		reason = "limited"
		f.metrics.limitRefusals.WithLabelValues(string(x.service)).Inc()
	}
	f.finish(x, "refused").Str("reason", reason).Int("resting", busy.BackingOff).Int("limited", busy.Limited).
		Dur("retry_after_ms", busy.RetryAfter).Bool("late", busy.Late).Dur("left_ms", busy.TimeLeft).
		Int("waiting", busy.Waiting).Int("waiting_elsewhere", busy.PeerWaiting).Int("places", busy.Slots).
		Int("places_needed", int(busy.NewRequestSlots)).Int("beginning", busy.AwaitingFirstByte).Msg("request refused")
}

// refuseQuarantined is refuse for a request that ends the servers that run it.
func (f *CallerServer) refuseQuarantined(x *exchange, held *quarantinedError) {
	wait := held.until.Sub(f.clock.Now())
	f.writeRefusal(x, wait)
	f.finish(x, "refused").Str("reason", "quarantined").Str("content", x.contentID().String()).Int("ends", held.exits).
		Dur("retry_after_ms", wait).Msg("request refused")
}

func (f *CallerServer) writeRefusal(x *exchange, wait time.Duration) {
	f.noteRejected(x)
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(http.StatusServiceUnavailable)
}

// reject answers that the request is not a proper one.
func (f *CallerServer) reject(x *exchange, status int, reason string) {
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	f.finish(x, "rejected").Int("status", status).Str("reason", reason).
		Str("host", x.request.Host).Msg("request rejected")
}

// fail answers that the request may have run.
func (f *CallerServer) fail(x *exchange, status int, cause error) {
	f.noteRejected(x)
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	f.finish(x, "unknown").Int("status", status).Err(cause).Msg("request failed")
}

// finish counts the outcome and begins its log line.
func (f *CallerServer) finish(x *exchange, outcome string) *zerolog.Event {
	name := "none"
	if x.route != nil {
		name = x.route.Name
	}
	taken := f.clock.Since(x.arrived)
	f.metrics.requests.WithLabelValues(name, outcome).Inc()
	f.metrics.requestSeconds.WithLabelValues(name).Observe(taken.Seconds())
	event := f.log.Info().Str("request", x.ID).Str("route", name).Str("outcome", outcome)
	if x.route != nil {
		event = event.Str("service", string(x.service)).Dur("objective_ms", x.route.Objective).Dur("since_first_ms", x.sinceFirstTry).
			Dur("waited_ms", x.waited).Int("prompt_tokens", x.PromptTokens)
	}
	if x.organisation != nil {
		event = event.Str("organisation", string(x.organisation.Name))
	}
	if x.started {
		event = event.Dur("begun_ms", x.ttfb).Dur("pause_ms", x.longestPause)
		if x.route.MaxEventGap > 0 && x.longestPause > x.route.MaxEventGap {
			event = event.Bool("paused", true)
		}
	}
	return event.Uint64("configuration", x.configuration).Int("attempts", x.attempts).Int("unreachable", x.unreachable).Dur("taken_ms", taken)
}
