package direct

import (
	"net/http"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// handleSignals processes the signals in the response headers of a backend server. They apply whatever the
// outcome of the request is, so they are not handled together with the outcome. isConnected reports whether the
// connection of the response is still open.
func (s *CallerServer) handleSignals(x *exchange, reservation *route.Reservation, resp *http.Response, isConnected func() bool) {
	meta := s.protocol.ReadResponse(resp)
	server := string(reservation.Server.ID)
	if meta.ParseErr != nil {
		s.log.Warn().Str("request", x.ID).Str("server", server).Err(meta.ParseErr).Msg("server's word not read")
	}
	if meta.Leaving {
		s.metrics.serverSignals.WithLabelValues("leaving").Inc()
		s.handleLeaving(x, reservation)
	}
	if meta.ColdFor > 0 && !meta.Misdirected {
		s.fleetState.ObserveCold(reservation.Server.ID, reservation.Incarnation, meta.ColdFor, "request "+x.ID)
	}
	s.handleRateLimit(x, reservation, &meta, resp)
	if meta.Backoff > 0 {
		backoff, now := min(meta.Backoff, maxBackoff), s.clock.Now()
		reservation.BackOff(now.Add(backoff), now, isConnected)
		s.metrics.serverSignals.WithLabelValues("rest").Inc()
		s.log.Info().Str("request", x.ID).Str("server", server).Uint64("incarnation", uint64(reservation.Incarnation)).Int("status", resp.StatusCode).
			Dur("asked_ms", meta.Backoff).Dur("rest_ms", backoff).Msg("server asks for rest")
	}
}

// handleRateLimit records the rate limit in a response. A response without one clears the limit, unless it is
// an interim response, comes from another server or has headers that could not be parsed.
func (s *CallerServer) handleRateLimit(x *exchange, reservation *route.Reservation, meta *provider.ResponseMetadata, resp *http.Response) {
	if meta.RateLimit.Set {
		s.metrics.serverSignals.WithLabelValues("limit").Inc()
	} else if resp.StatusCode < http.StatusOK || meta.Misdirected || meta.ParseErr != nil {
		return
	}
	sent := reservation.ReservedAt()
	if meta.RequestID != x.ID && meta.RequestID != "" {
		// The response belongs to another request, whose send time is unknown.
		sent = time.Time{}
	}
	if s.fleetState.ObserveRateLimit(reservation.Server.ID, reservation.Incarnation, meta.RateLimit, sent, "request "+x.ID) {
		s.updateServiceDispatcher(x.service)
	}
}

// handleLeaving handles a server's signal that it will leave. The dispatcher is updated before the response is
// forwarded, so that no request that the caller sends afterwards goes to that server. This also holds if
// another response has just carried the same signal.
func (s *CallerServer) handleLeaving(x *exchange, reservation *route.Reservation) {
	s.fleetState.ObserveDeparture(reservation.Server.ID, reservation.Incarnation, "request "+x.ID)
	if reservation.IsLeaving() {
		return
	}
	s.updateServiceDispatcher(x.service)
}

// updateServiceDispatcher updates the dispatcher of a service, if it has one.
func (s *CallerServer) updateServiceDispatcher(name member.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.dispatchers[name]; d != nil {
		s.updateDispatcher(name, d)
	}
}
