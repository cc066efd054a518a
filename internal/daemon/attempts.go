package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// refusal is the reason why a request was not run.
type refusal struct {
	reason string
	detail string
	// retryAfter is the delay after which the caller may retry. The response states it in
	// whole seconds, at least 1.
	retryAfter time.Duration
}

// refuse responds that the request was not run.
func (c *CallerServer) refuse(x *exchange, r refusal) {
	c.metrics.refusals.WithLabelValues(r.reason).Inc()
	c.recordOutcome(x, outcomeNotExecuted)
	x.writer.Header().Set(headerOutcome, outcomeNotExecuted.String())
	setRetryAfter(x.writer, r.retryAfter)
	writeProblem(x.writer, Problem{Status: http.StatusServiceUnavailable, Title: "Not run", Detail: r.detail, Reason: r.reason})
}

// respondUnknown responds that the request may have run.
func (c *CallerServer) respondUnknown(x *exchange, cause error) {
	status := http.StatusBadGateway
	if errors.Is(cause, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	c.recordOutcome(x, outcomeUnknown)
	x.writer.Header().Set(headerOutcome, outcomeUnknown.String())
	writeProblem(x.writer, Problem{
		Status: status, Title: "Unknown outcome",
		Detail: "the request may have run: " + cause.Error(),
	})
}

func (c *CallerServer) recordOutcome(x *exchange, result outcome) {
	service, group := c.metricLabels(x)
	c.metrics.requests.WithLabelValues(service, group, result.String()).Inc()
	c.metrics.requestSeconds.WithLabelValues(service).Observe(c.clock.Since(x.arrived).Seconds())
}

// otherLabel replaces every service and group that neither the table nor a box knows.
// It bounds the metric labels and queues, because callers choose these names freely.
const otherLabel = "other"

// metricLabels returns the service and group labels for a request's metrics.
func (c *CallerServer) metricLabels(x *exchange) (service, group string) {
	service, group = otherLabel, string(c.queueGroup(x))
	if c.view.HasModel(table.Model(x.service)) || c.view.Router().Count(route.ServiceVersion{Service: x.service}) > 0 {
		service = string(x.service)
	}
	return service, group
}

// queueGroup returns the group whose queue a request waits in.
func (c *CallerServer) queueGroup(x *exchange) table.Group {
	if c.view.HasGroup(x.group) {
		return x.group
	}
	return otherLabel
}

// runAttempts sends the request to one box after another until it has an outcome, and
// responds to the caller. It makes at most maxAttempts attempts.
func (c *CallerServer) runAttempts(ctx context.Context, x *exchange, version route.ServiceVersion) {
	c.budget.RecordRequest()
	var tried []member.BoxID
	// mayHaveRun is the error of the last attempt that may have started. Once it is set, a
	// refusal of a later attempt no longer proves that the request was not run.
	var mayHaveRun error
	lastRefusal := refusal{reasonNoBox, fmt.Sprintf("no box has %s %s live", x.service, version.Version), time.Second}
	for number := range maxAttempts {
		target, witnesses, ok := c.pick(x, version, tried)
		if !ok {
			break
		}
		tried = append(tried, target.Box)
		attempt := route.AttemptID(string(x.id) + "/" + rand.Text() + "/" + strconv.Itoa(number))
		result, err := c.forwarder.attempt(ctx, x, target, attempt, witnesses)
		if result != outcomeDone {
			c.log.Debug().Str("request", string(x.id)).Str("box", string(target.Box)).
				Str("outcome", result.String()).Err(err).Msg("attempt ended")
		}
		switch result {
		case outcomeDone, outcomeCallerGone:
			c.recordOutcome(x, result)
			return
		case outcomeTruncated:
			c.recordOutcome(x, result)
			// Abort the connection so that the caller sees a truncated response.
			panic(http.ErrAbortHandler)
		case outcomeUnknown:
			mayHaveRun = err
		case outcomeNotExecuted:
			x.notRun = append(x.notRun, string(attempt))
			lastRefusal = refusal{reasonBoxesFailed, err.Error(), time.Second}
		}
		if !c.canRetry(x, result, err) {
			break
		}
		c.metrics.retries.WithLabelValues(result.String()).Inc()
	}
	if mayHaveRun != nil {
		c.respondUnknown(x, mayHaveRun)
		return
	}
	if x.isExpired(c.clock.Now()) {
		lastRefusal = refusal{reasonDeadline, "the deadline passed before the request started", time.Second}
	}
	c.refuse(x, lastRefusal)
}

// pick chooses a box and, for a request that must not run twice, its witnesses. Such a request
// goes to an owner of its id, so that its retries reach the same boxes.
func (c *CallerServer) pick(x *exchange, version route.ServiceVersion, tried []member.BoxID) (*route.Target, []member.Address, bool) {
	router, now := c.view.Router(), c.clock.Now()
	if x.hasCallerID && !x.repeatable {
		return router.PickOwner(version, x.id, tried, now)
	}
	target, ok := router.Pick(version, tried, now)
	return target, nil, ok
}

// canRetry reports whether the request may be sent to another box. Its deadline must not have
// passed and its body must still be replayable. A request that may have run must also be
// repeatable, must not have been refused by an agent, and the retry budget must allow it.
func (c *CallerServer) canRetry(x *exchange, result outcome, cause error) bool {
	if x.isExpired(c.clock.Now()) || !x.body.replayable() {
		return false
	}
	if result == outcomeNotExecuted {
		return true
	}
	var refused *refusedError
	return x.repeatable && !errors.As(cause, &refused) && c.budget.AllowRetry()
}

func (x *exchange) isExpired(now time.Time) bool { return !now.Before(x.deadline) }
