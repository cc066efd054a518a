package direct

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// QuarantinedRequest is a request that is barred, as operators are shown it.
type QuarantinedRequest struct {
	// Content names it, as in the log.
	Content string `json:"content"`
	// Until is when the bar ends.
	Until time.Time `json:"until"`
	// Servers are those that have ended under it, the first one first.
	Servers []string `json:"servers"`
}

// QuarantinePath is where an entry box answers operators about the requests that are barred, on its metrics address.
const QuarantinePath = "/quarantine"

// serveQuarantine lets operators see what is barred and lift a bar.
func (s *SuspectRequests) serveQuarantine(router *echo.Echo) {
	router.GET(QuarantinePath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.quarantinedRequests()) })
	router.DELETE(QuarantinePath+"/:content", s.serveLift)
}

// quarantinedRequests returns the requests that are barred now.
func (s *SuspectRequests) quarantinedRequests() []QuarantinedRequest {
	held := s.Blocked(s.clock.Now())
	shown := make([]QuarantinedRequest, 0, len(held))
	for _, request := range held {
		servers := make([]string, 0, len(request.Exits))
		for _, start := range request.Exits {
			servers = append(servers, string(start.Server))
		}
		shown = append(shown, QuarantinedRequest{Content: request.Content.String(), Until: request.Until.UTC(), Servers: servers})
	}
	return shown
}

// serveLift lifts the bar of one request, on all boxes. Its next ends bar it again.
func (s *SuspectRequests) serveLift(c echo.Context) error {
	named, now := strings.ToLower(c.Param("content")), s.clock.Now()
	for _, request := range s.Blocked(now) {
		if request.Content.String() == named {
			s.log.Warn().Str("content", named).Str("from", c.RealIP()).Int("ends", len(request.Exits)).Msg("bar lifted by an operator")
			s.Observe(route.Evidence{Content: request.Content, At: now}, "operator")
			return c.JSON(http.StatusOK, s.quarantinedRequests())
		}
	}
	return c.JSON(http.StatusNotFound, daemon.Problem{
		Title: "no such request", Status: http.StatusNotFound, Detail: "no request of this content is barred here: " + named,
	})
}
