package direct

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// QuarantinedRequest is a blocked attribute of requests in responses to operators.
type QuarantinedRequest struct {
	// Content is the ID of a content or, with the prefix "part-", of a part of prompts, as in the log.
	Content string `json:"content"`
	// Until is when the block ends.
	Until time.Time `json:"until"`
	// Servers are the servers that exited during the request, oldest exit first.
	Servers []string `json:"servers"`
}

// QuarantinePath is the path on the metrics address of an entry box that lists and lifts blocks of requests.
const QuarantinePath = "/quarantine"

// serveQuarantine registers the handlers that list blocked requests and lift a block.
func (s *SuspectRequests) serveQuarantine(router *echo.Echo) {
	router.GET(QuarantinePath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.quarantinedRequests()) })
	router.DELETE(QuarantinePath+"/:content", s.serveLift)
}

// quarantinedRequests returns the requests that are blocked now.
func (s *SuspectRequests) quarantinedRequests() []QuarantinedRequest {
	blocked := s.Blocked(s.clock.Now())
	listed := make([]QuarantinedRequest, 0, len(blocked))
	for _, request := range blocked {
		servers := make([]string, 0, len(request.Exits))
		for _, exit := range request.Exits {
			servers = append(servers, string(exit.Server))
		}
		listed = append(listed, QuarantinedRequest{Content: request.Attribute.String(), Until: request.Until.UTC(), Servers: servers})
	}
	return listed
}

// serveLift lifts the block of one attribute on all boxes, and of those with the same exits, one of which would block the same
// requests. Further exits block them again.
func (s *SuspectRequests) serveLift(c echo.Context) error {
	content, now := strings.ToLower(c.Param("content")), s.clock.Now()
	blocked := s.Blocked(now)
	i := slices.IndexFunc(blocked, func(entry route.BlockedAttribute) bool { return entry.Attribute.String() == content })
	if i < 0 {
		return c.JSON(http.StatusNotFound, daemon.Problem{
			Title: "no such request", Status: http.StatusNotFound, Detail: "no request of this content is barred here: " + content,
		})
	}
	for _, entry := range blocked {
		if !slices.Equal(entry.Exits, blocked[i].Exits) {
			continue
		}
		s.log.Warn().Str("content", entry.Attribute.String()).Str("from", c.RealIP()).Int("ends", len(entry.Exits)).Msg("bar lifted by an operator")
		s.Observe(route.Evidence{Attribute: entry.Attribute, At: now}, "operator")
	}
	return c.JSON(http.StatusOK, s.quarantinedRequests())
}
