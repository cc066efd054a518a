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

// readRequest reads the headers. The exchange always has an id.
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

// parseHeaders returns what is wrong with a header, with its name.
func (c *CallerServer) parseHeaders(x *exchange) string {
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

// resolveVersion finds what the request is for: a model in the version that is in force
// for the group, or a plain service.
func (c *CallerServer) resolveVersion(x *exchange) (route.ServiceVersion, *refusal) {
	model := table.Model(x.service)
	if !c.view.HasModel(model) {
		place := route.ServiceVersion{Service: x.service}
		if c.view.Router().Count(place) == 0 {
			return place, &refusal{reasonUnknownService, fmt.Sprintf("no box answers for service %q", x.service), time.Second}
		}
		return place, nil
	}
	row, ok := c.view.RowPlan(table.Key{Group: x.group, Model: model})
	if !ok {
		detail := fmt.Sprintf("the table has no row for group %q and model %q; name the group in %s", x.group, model, headerGroup)
		return route.ServiceVersion{}, &refusal{reasonUnknownGroup, detail, time.Second}
	}
	return route.ServiceVersion{Service: x.service, Version: row.Serving}, nil
}
