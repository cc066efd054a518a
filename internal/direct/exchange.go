package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// exchange is the state of one caller's request.
type exchange struct {
	provider.InboundMetadata

	writer       http.ResponseWriter
	request      *http.Request
	body         []byte
	route        *fleet.Route
	service      member.Service
	organisation *fleet.Organisation
	arrived      time.Time
	// deadline is when the time of the caller or of the route ends, whichever is earlier.
	deadline time.Time
	// sinceFirstTry is the time since the first try of the caller, as far as known; 0 for a new request.
	sinceFirstTry time.Duration
	// fingerprint identifies the request across retries of the caller.
	fingerprint route.Fingerprint
	// content is the content ID, which is computed when it is first needed.
	contentOnce sync.Once
	content     route.AttributeID
	// parts are the partIDs, attributeIDs the attributes, both computed when first needed.
	partsOnce, attributesOnce sync.Once
	parts, attributeIDs       []route.AttributeID
	// turn is the exclusive right to be sent to servers with suspect attributes.
	turn route.Turn
	// suspect is set while the request may have caused a server to exit.
	suspect bool
	// waited is the total time that the request has waited for slots.
	waited time.Duration
	// configuration is the version of the configuration that was used to route the request.
	configuration uint64
	// configurationTimeout ends the wait for a configuration, nil if the request has not waited; configurationTimedOut is
	// set after it.
	configurationTimeout  <-chan time.Time
	configurationTimedOut bool
	// cancel ends the request with a cause.
	cancel context.CancelCauseFunc
	// group is the attempts. Its lock guards the numbers of attempts while any of them runs. The fields that describe the
	// response, started to lastEventID, belong to the attempt that delivers.
	group attemptGroup
	// attempts is the number of attempts that run or were sent, unreachable the number that could not be sent, and
	// misdirected the number that reached another server than the intended one.
	attempts    int
	unreachable int
	misdirected int
	// started is set once the response headers have been forwarded; ttfb is the time until then.
	started bool
	ttfb    time.Duration
	// out is the buffer through which the response is sent; nil before the response and after its end.
	out *sendBuffer
	// held is the number of bytes of the body that count as held by the box.
	held int
	// longestEventGap is the longest time between two forwarded events. lastForwarded is when the last event
	// was forwarded.
	longestEventGap time.Duration
	lastForwarded   time.Time
	// lastEventID is the ID of the last forwarded event.
	lastEventID string
}

// serve handles one request.
func (s *CallerServer) serve(c echo.Context) error {
	s.accepted.Add(1)
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{
		InboundMetadata: s.protocol.ReadRequest(c.Request()), writer: c.Response().Writer, request: c.Request(), arrived: s.clock.Now(),
	}
	if x.ParseErr != nil {
		s.log.Debug().Str("request", x.ID).Err(x.ParseErr).Msg("part of a request's metadata ignored")
	}
	if s.leaving.Load() {
		x.writer.Header().Set("Connection", "close")
	}
	if s.refuseIfLeaving(x) {
		return nil
	}
	defer func() {
		_ = s.closeSendBuffer(x) // the outcome is known and logged
		s.held.release(x.held)
	}()
	if !s.admit(x) || !s.readBody(x) || s.refuseIfLeaving(x) {
		return nil
	}
	s.setDeadline(x)
	s.run(x)
	return nil
}

// refuseIfLeaving refuses a request, and returns true, once the box accepts none any more. A request may have arrived before and sent
// its body until now.
func (s *CallerServer) refuseIfLeaving(x *exchange) bool {
	if !s.leaving.Load() || s.clock.Since(s.leavingSince) < leaveAcceptDuration {
		return false
	}
	s.refuse(x, "leaving", refusedRetryAfter)
	return true
}

// admit finds the route and the organisation of a request. If it finds none, it writes the response and returns
// false.
func (s *CallerServer) admit(x *exchange) bool {
	var rejected *rejection
	status := s.lookUp(x, func(view *fleet.View) bool {
		rejected = x.match(view)
		return rejected == nil
	})
	switch {
	case rejected == nil:
		x.service = chooseBackend(x.route.Backends)
		return true
	case rejected.status == 0:
		s.refuse(x, rejected.reason, configurationRetryAfter(x))
	default:
		s.rejectOrRefuse(x, rejected, status)
	}
	return false
}

// rejection is why the held configuration does not allow a request.
type rejection struct {
	// status is the status with which the request is rejected, 0 if it is refused temporarily whatever the configuration.
	status int
	reason string
}

// match sets the route and the organisation of a request, or returns why the configuration does not allow it. If the
// missing entry may be in a part of the configuration that could not be read, the request is refused temporarily,
// because callers do not retry after a rejection.
func (x *exchange) match(view *fleet.View) *rejection {
	configuration := view.Configuration
	if configuration == nil {
		return &rejection{0, "no-configuration"}
	}
	x.configuration, x.organisation = configuration.Version, nil
	var ok bool
	if x.route, ok = view.Route(hostOf(x.request), x.request.URL.EscapedPath()); !ok {
		return newRejection(http.StatusNotFound, "no-route", configuration.Unreadable.Routes)
	}
	if x.route.Public || configuration.KeyPolicy == fleet.KeyNotRequired {
		return nil
	}
	if x.organisation, ok = view.Organisation(x.Key); !ok {
		mayBeAllowed := configuration.KeyPolicy != fleet.KeyRequired || configuration.Unreadable.Organisations && x.Key != ""
		return newRejection(http.StatusUnauthorized, "unknown-key", mayBeAllowed)
	}
	return nil
}

// newRejection returns a rejection for something that the configuration lacks.
func newRejection(status int, reason string, unreadable bool) *rejection {
	if unreadable {
		return &rejection{0, "configuration-unread"}
	}
	return &rejection{status, reason}
}

// rejectOrRefuse rejects a request that the held configuration does not allow. If that may be outdated, it refuses the
// request temporarily instead, because callers do not retry after a rejection.
func (s *CallerServer) rejectOrRefuse(x *exchange, rejected *rejection, status configurationStatus) {
	if status == configurationCurrent {
		s.reject(x, rejected.status, rejected.reason)
		return
	}
	wait := configurationRetryAfter(x)
	s.writeRefusal(x, wait)
	s.finish(x, "refused").Str("reason", status.refusalReason()).Str("lacks", rejected.reason).Dur("confirmed_ms", s.fleetState.ConfirmationAge()).
		Dur("retry_after_ms", wait).Msg("request refused")
}

// configurationRetryAfter returns the Retry-After of a box that lacks a configuration or the current one.
func configurationRetryAfter(x *exchange) time.Duration {
	return max(noConfigurationRetryAfter, x.Deadline/3)
}

// lookUp calls isFound with the current view, until it returns true, and returns the status of the configuration in the
// last view. While the box has no configuration, or a later one is known to exist, it waits for the next view, for a
// limited time in total: a box that has just started reads a configuration within a few round trips, or within seconds
// if the store is down.
func (s *CallerServer) lookUp(x *exchange, isFound func(*fleet.View) bool) configurationStatus {
	for {
		changed := s.fleetState.Changed()
		// The status comes first: it must not be that of a later configuration than the one in the view.
		status := s.fleetState.configurationStatus()
		view := s.fleetState.View()
		if isFound(view) || view.Configuration != nil && status != configurationBehind || x.configurationTimedOut {
			return status
		}
		if x.configurationTimeout == nil {
			wait := min(maxConfigurationWait, time.Duration(configurationWaitFraction*float64(x.Deadline)))
			x.configurationTimeout = s.clock.After(wait)
		}
		select {
		case <-changed:
		case <-x.configurationTimeout:
			x.configurationTimedOut = true
		case <-x.request.Context().Done():
			return status
		}
	}
}

// hostOf returns the host of a request without the port.
func hostOf(request *http.Request) string {
	host := request.Host
	if at := strings.LastIndexByte(host, ':'); at > 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return host
}

// chooseBackend picks one of a route's services at random, in proportion to their weights.
func chooseBackend(backends []fleet.Backend) member.Service {
	total := 0.0
	for _, backend := range backends {
		total += backend.Weight
	}
	point := rand.Float64() * total
	for _, backend := range backends {
		point -= backend.Weight
		if point < 0 {
			return backend.Service
		}
	}
	return backends[len(backends)-1].Service
}

// readBody reads the body and keeps it for retries. If the body is too long or incomplete, it writes the
// response and returns false.
func (s *CallerServer) readBody(x *exchange) bool {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return true
	}
	var limit int64
	status := s.lookUp(x, func(view *fleet.View) bool {
		limit = bodyLimit(view)
		return x.request.ContentLength <= limit
	})
	reader := http.MaxBytesReader(x.writer, x.request.Body, limit)
	control := http.NewResponseController(x.writer)
	// An error means that the connection is closed, which reading shows.
	_ = control.SetReadDeadline(time.Now().Add(x.bodyTimeout() - s.clock.Since(x.arrived)))
	err := s.readHeldBody(x, reader, limit)
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.writer.Header().Set("Connection", "close")
		x.writer.Header().Set("Retry-After", "0")
		s.reject(x, http.StatusRequestTimeout, "body-late")
		return false
	case errors.Is(err, errTooManyHeldBytes):
		s.refuse(x, "memory", refusedRetryAfter)
		return false
	case err == nil:
		// The server detects that the caller disconnects only after the end of the body has been read.
		_, _ = reader.Read(make([]byte, 1))
		return true
	case errors.As(err, &tooLong):
		if x.request.ContentLength <= limit {
			// The length was not known before, and the configuration may have changed since.
			if status = s.fleetState.configurationStatus(); bodyLimit(s.fleetState.View()) > limit {
				status = configurationBehind
			}
		}
		s.rejectOrRefuse(x, &rejection{http.StatusRequestEntityTooLarge, "body-too-long"}, status)
	default:
		s.reject(x, http.StatusBadRequest, "body-incomplete")
	}
	return false
}

// bodyLimit returns the limit of the body of a request, in bytes.
func bodyLimit(view *fleet.View) int64 {
	if view.Configuration != nil && view.Configuration.Limits.BodyBytes > 0 {
		return view.Configuration.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// errTooManyHeldBytes reports that the box holds too many bytes for other requests.
var errTooManyHeldBytes = errors.New("too many bytes are held for other requests")

// minBodyBuffer is the initial size of the buffer for a body of unknown length, in bytes. It doubles when it is full.
const minBodyBuffer = 4 << 10

// readHeldBody reads the body. Its bytes count as held until the request ends.
func (s *CallerServer) readHeldBody(x *exchange, reader io.Reader, limit int64) error {
	if length := x.request.ContentLength; length >= 0 && length <= limit {
		if !s.reserve(x, int(length)) {
			return errTooManyHeldBytes
		}
		x.body = make([]byte, length)
		_, err := io.ReadFull(reader, x.body)
		return err
	}
	for {
		if len(x.body) == cap(x.body) {
			added := max(minBodyBuffer, len(x.body))
			if !s.reserve(x, added) {
				return errTooManyHeldBytes
			}
			x.body = append(make([]byte, 0, len(x.body)+added), x.body...)
		}
		n, err := reader.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// reserve counts bytes of the body as held, unless the box holds too many.
func (s *CallerServer) reserve(x *exchange, n int) bool {
	if !s.held.reserve(n) {
		return false
	}
	x.held += n
	return true
}

func (s *CallerServer) setDeadline(x *exchange) {
	if x.Deadline > 0 {
		x.sinceFirstTry = s.sinceFirstTry(x)
	}
	x.deadline = x.arrived.Add(x.timeout())
}

// timeout returns the time of the route or of the caller, whichever is shorter; 0 if neither has one.
func (x *exchange) timeout() time.Duration {
	if x.route.Timeout <= 0 || x.Deadline > 0 && x.Deadline < x.route.Timeout {
		return x.Deadline
	}
	return x.route.Timeout
}

// defaultBodyTimeout is how long the body of a request without a deadline may take.
const defaultBodyTimeout = time.Minute

// bodyTimeout returns how long after its arrival a request may take to send its body.
func (x *exchange) bodyTimeout() time.Duration {
	if timeout := x.timeout(); timeout > 0 {
		return timeout
	}
	return defaultBodyTimeout
}

// refuse responds with status 503, which reports that the request has not run, and a Retry-After header.
func (s *CallerServer) refuse(x *exchange, reason string, wait time.Duration) {
	s.writeRefusal(x, wait)
	s.finish(x, "refused").Str("reason", reason).Dur("retry_after_ms", wait).Msg("request refused")
}

// refuseBusy refuses a request that could not start in time, as refuse does, and logs the reason.
func (s *CallerServer) refuseBusy(x *exchange, busy *route.BusyError) {
	s.writeRefusal(x, busy.RetryAfter)
	reason := "busy"
	switch {
	case busy.Slots == 0 && busy.BackingOff > 0:
		reason = "resting"
	case busy.Cold > 0 && busy.Cold == busy.Limited:
		reason = "cold"
	case busy.Limited > 0:
		reason = "limited"
		s.metrics.limitRefusals.WithLabelValues(string(x.service)).Inc()
	}
	s.metrics.priorityRefusals.WithLabelValues(string(x.service), strconv.Itoa(busy.Priority)).Inc()
	s.finish(x, "refused").Str("reason", reason).Int("priority", busy.Priority).Int("more_urgent", busy.MoreUrgent).Bool("over_share", busy.OverShare).
		Int("resting", busy.BackingOff).Int("limited", busy.Limited).
		Dur("retry_after_ms", busy.RetryAfter).Bool("late", busy.Late).Dur("left_ms", busy.TimeLeft).
		Int("waiting", busy.Waiting).Int("waiting_elsewhere", busy.PeerWaiting).Int("places", busy.Slots).
		Int("places_needed", int(busy.NewRequestSlots)).Int("beginning", busy.AwaitingFirstByte).Msg("request refused")
}

// refuseQuarantined refuses a request under which servers have exited, as refuse does. The Retry-After header is the
// time until the quarantine ends.
func (s *CallerServer) refuseQuarantined(x *exchange, quarantined *route.QuarantinedError) {
	wait := quarantined.Until.Sub(s.clock.Now())
	s.writeRefusal(x, wait)
	s.finish(x, "refused").Str("reason", "quarantined").Str("content", quarantined.Attribute.String()).Int("ends", quarantined.Exits).
		Dur("retry_after_ms", wait).Msg("request refused")
}

func (s *CallerServer) writeRefusal(x *exchange, wait time.Duration) {
	s.noteRejected(x)
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(http.StatusServiceUnavailable)
}

// reject responds with a status that callers do not retry, 400, 401, 404 or 413, or with 408 if the request did not arrive in time.
func (s *CallerServer) reject(x *exchange, status int, reason string) {
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	s.finish(x, "rejected").Int("status", status).Str("reason", reason).
		Str("host", x.request.Host).Msg("request rejected")
}

// fail responds with status 502 or 504, which reports that the request failed and may have run.
func (s *CallerServer) fail(x *exchange, status int, cause error) {
	s.noteRejected(x)
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	s.finish(x, "unknown").Int("status", status).Err(cause).Msg("request failed")
}

// finish counts the outcome and returns the log event of the request, without a message.
func (s *CallerServer) finish(x *exchange, outcome string) *zerolog.Event {
	name := "none"
	if x.route != nil {
		name = x.route.Name
	}
	elapsed := s.clock.Since(x.arrived)
	s.metrics.requests.WithLabelValues(name, outcome).Inc()
	s.metrics.requestSeconds.WithLabelValues(name).Observe(elapsed.Seconds())
	event := s.log.Info().Str("request", x.ID).Str("route", name).Str("outcome", outcome)
	if x.route != nil {
		event = event.Str("service", string(x.service)).Dur("objective_ms", x.route.Objective).Dur("since_first_ms", x.sinceFirstTry).
			Dur("waited_ms", x.waited).Int("prompt_tokens", x.PromptTokens)
	}
	if x.organisation != nil {
		event = event.Str("organisation", string(x.organisation.Name))
	}
	if x.started {
		event = event.Dur("begun_ms", x.ttfb).Dur("pause_ms", x.longestEventGap)
		if x.route.MaxEventGap > 0 && x.longestEventGap > x.route.MaxEventGap {
			event = event.Bool("paused", true)
		}
	}
	return event.Uint64("configuration", x.configuration).Int("attempts", x.attempts).Int("unreachable", x.unreachable).Dur("taken_ms", elapsed)
}
