package direct

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// LimitedServer is the state of a backend server with a rate limit in responses to operators.
type LimitedServer struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// PerSecond is the limit for all entry boxes together, in requests per second. Since is when the server
	// last went from unlimited to limited. From is the request or entry box from which this box received the
	// current limit.
	PerSecond float64   `json:"per_second"`
	Since     time.Time `json:"since"`
	From      string    `json:"from"`
	// Cold is set if the limit applies because the server is cold; Since and From do not describe such a limit.
	Cold bool `json:"cold"`
	// Share is the part of the limit that is allotted to the entry boxes of this cell, in requests per second.
	// Available is the number of requests that they may send now; it is negative after too many were sent.
	Share     float64 `json:"share_per_second"`
	Available float64 `json:"available"`
	// Sent is the number of requests that this box has sent since it received the limit. SentByOthers is the
	// number that the other entry boxes of its cell have reported.
	Sent         uint64 `json:"sent"`
	SentByOthers uint64 `json:"sent_by_others"`
}

// RateLimitsPath is the path on the metrics address of an entry box that lists the backend servers with a rate limit.
const RateLimitsPath = "/rate-limits"

// serveRateLimits registers the handler for RateLimitsPath.
func (s *CallerServer) serveRateLimits(router *echo.Echo) {
	router.GET(RateLimitsPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.limitedServers()) })
}

// limitedServers returns the servers with a rate limit that this box sends to, sorted by server.
func (s *CallerServer) limitedServers() []LimitedServer {
	now, servers := s.clock.Now(), []LimitedServer{}
	for name, d := range s.allDispatchers() {
		for _, limited := range d.LimitedServers(now) {
			known := s.fleetState.rateLimit(limited.Server)
			servers = append(servers, LimitedServer{
				Server: string(limited.Server), Service: string(name),
				PerSecond: limited.Limit, Cold: limited.Cold, Since: known.since.UTC(), From: known.from,
				Share: limited.PerSecond, Available: limited.Tokens, Sent: uint64(limited.Sent), SentByOthers: limited.SentByOthers,
			})
		}
	}
	slices.SortFunc(servers, func(a, b LimitedServer) int { return cmp.Compare(a.Server, b.Server) })
	return servers
}

// allDispatchers returns a copy of the dispatchers by service, for use without the lock.
func (s *CallerServer) allDispatchers() map[member.Service]*route.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	dispatchers := make(map[member.Service]*route.Dispatcher, len(s.dispatchers))
	for name, d := range s.dispatchers {
		dispatchers[name] = d
	}
	return dispatchers
}
