package direct

import (
	"net/http"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// handleSignals takes what a backend server says of itself in the head of an answer. That holds whatever becomes of the
// request: read for the fate of the request alone, it was forgotten with it.
func (f *CallerServer) handleSignals(x *exchange, place *route.Reservation, head *http.Response) {
	mark := f.protocol.ReadResponse(head)
	server := string(place.Server.ID)
	if mark.ParseErr != nil {
		f.log.Warn().Str("request", x.ID).Str("server", server).Err(mark.ParseErr).Msg("server's word not read")
	}
	if mark.Leaving {
		f.metrics.serverSignals.WithLabelValues("leaving").Inc()
		f.handleLeaving(x, place)
	}
	f.handleRateLimit(x, place, &mark, head)
	if mark.Backoff > 0 {
		rest, now := min(mark.Backoff, maxBackoff), f.clock.Now()
		place.BackOff(now.Add(rest), now)
		f.metrics.serverSignals.WithLabelValues("rest").Inc()
		f.log.Info().Str("request", x.ID).Str("server", server).Uint64("incarnation", uint64(place.Incarnation)).Int("status", head.StatusCode).
			Dur("asked_ms", mark.Backoff).Dur("rest_ms", rest).Msg("server asks for rest")
	}
}

// handleRateLimit records the rate limit in an answer. An answer without one clears the limit, unless it is an interim
// response, comes from another server or has headers that could not be parsed.
func (f *CallerServer) handleRateLimit(x *exchange, place *route.Reservation, mark *provider.ResponseMetadata, head *http.Response) {
	if mark.RateLimit.Set {
		f.metrics.serverSignals.WithLabelValues("limit").Inc()
	} else if head.StatusCode < http.StatusOK || mark.Misdirected || mark.ParseErr != nil {
		return
	}
	sent := place.ReservedAt()
	if mark.RequestID != x.ID && mark.RequestID != "" {
		// The answer belongs to another request, whose send time is unknown.
		sent = time.Time{}
	}
	if f.fleetState.ObserveRateLimit(place.Server.ID, place.Incarnation, mark.RateLimit, sent, "request "+x.ID) {
		f.updateServiceDispatcher(x.service)
	}
}

// handleLeaving takes a server's word that it will end. Its dispatcher knows it before the answer is passed on, so
// that nothing a caller asks for after that is sent there; also if another answer has just told it.
func (f *CallerServer) handleLeaving(x *exchange, place *route.Reservation) {
	f.fleetState.ObserveDeparture(place.Server.ID, place.Incarnation, "request "+x.ID)
	if place.IsLeaving() {
		return
	}
	f.updateServiceDispatcher(x.service)
}

// updateServiceDispatcher updates the dispatcher of a service before the answer is passed on.
func (f *CallerServer) updateServiceDispatcher(name member.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.dispatchers[name]; d != nil {
		f.updateDispatcher(name, d)
	}
}
