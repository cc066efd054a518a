package daemon

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/table"
)

var requestIDPattern = regexp.MustCompile(`^[\x21-\x7e]{1,128}$`)

// readRequest parses a caller's request. The returned exchange always has an id, even when a
// problem is returned with it.
func (c *CallerServer) readRequest(e echo.Context) (*exchange, *Problem) {
	r := e.Request()
	x := &exchange{
		id:      route.RequestID(r.Header.Get(headerRequestID)),
		group:   table.Group(r.Header.Get(headerGroup)),
		service: member.Service(e.Param("service")),
		request: r, writer: e.Response(), arrived: c.clock.Now(),
	}
	x.hasCallerID = x.id != ""
	if x.id == "" {
		x.id = route.RequestID(rand.Text())
	}
	if !requestIDPattern.MatchString(string(x.id)) {
		x.id = route.RequestID(rand.Text())
		return x, &Problem{Status: http.StatusBadRequest, Detail: headerRequestID + ": want 1 to 128 printable characters without spaces"}
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPath), "/")
	x.path = "/" + rest
	if r.URL.RawQuery != "" {
		x.path += "?" + r.URL.RawQuery
	}
	if detail := c.parseHeaders(x); detail != "" {
		return x, &Problem{Status: http.StatusBadRequest, Detail: detail}
	}
	return x, nil
}

// parseHeaders parses the Cinderslip headers of a request. It returns a description of the
// first invalid header, or an empty string.
func (c *CallerServer) parseHeaders(x *exchange) string {
	header := x.request.Header
	switch value := header.Get(headerRepeatable); value {
	case "":
		x.repeatable = isRepeatable(x.request.Method)
	case "true", "false":
		x.repeatable = value == "true"
	default:
		return headerRepeatable + `: want "true" or "false"`
	}
	if value := header.Get(headerPriority); value != "" {
		priority, err := strconv.ParseInt(value, 10, 16)
		if err != nil {
			return headerPriority + ": want a whole number from -32768 to 32767"
		}
		x.priority = int(priority)
	}
	timeout := time.Duration(c.options.Deadline)
	if value := header.Get(headerDeadline); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 32)
		if err != nil || milliseconds <= 0 {
			return headerDeadline + ": want the milliseconds left, a whole number above 0"
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	x.deadline = x.arrived.Add(timeout)
	return ""
}

func isRepeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// resolveVersion returns the service and version that a request is for. A model is resolved to
// the version that the plan serves to the request's group; other services have no version.
func (c *CallerServer) resolveVersion(x *exchange) (route.ServiceVersion, *refusal) {
	model := table.Model(x.service)
	if !c.view.HasModel(model) {
		version := route.ServiceVersion{Service: x.service}
		if c.view.Router().Count(version) == 0 {
			return version, &refusal{reasonUnknownService, fmt.Sprintf("no box answers for service %q", x.service), time.Second}
		}
		return version, nil
	}
	row, ok := c.view.RowPlan(table.Key{Group: x.group, Model: model})
	if !ok {
		detail := fmt.Sprintf("the table has no row for group %q and model %q; name the group in %s", x.group, model, headerGroup)
		return route.ServiceVersion{}, &refusal{reasonUnknownGroup, detail, time.Second}
	}
	return route.ServiceVersion{Service: x.service, Version: row.Serving}, nil
}
