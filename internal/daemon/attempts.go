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

// refusal is why a request was not run.
type refusal struct {
	reason string
	detail string
	// retryAfter is when another try may do better; 0 means that none will.
	retryAfter time.Duration
}

// refuse answers that the request was not run.
func (c *CallerServer) refuse(x *exchange, why refusal) {
	c.metrics.refusals.WithLabelValues(why.reason).Inc()
	c.recordOutcome(x, outcomeNotExecuted)
	x.writer.Header().Set(headerOutcome, outcomeNotExecuted.String())
	setRetryAfter(x.writer, why.retryAfter)
	writeProblem(x.writer, Problem{Status: http.StatusServiceUnavailable, Title: "Not run", Detail: why.detail, Reason: why.reason})
}

// respondUnknown answers that the request may have run.
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

// otherLabel stands for every service and group that the table and the boxes do
// not name, so that callers cannot make up new ones without end.
const otherLabel = "other"

// metricLabels are the service and group under which a request is counted.
func (c *CallerServer) metricLabels(x *exchange) (service, group string) {
	service, group = otherLabel, string(c.queueGroup(x))
	if c.view.HasModel(table.Model(x.service)) || c.view.Router().Count(route.ServiceVersion{Service: x.service}) > 0 {
		service = string(x.service)
	}
	return service, group
}

// queueGroup is the group in whose queue a request waits.
func (c *CallerServer) queueGroup(x *exchange) table.Group {
	if c.view.HasGroup(x.group) {
		return x.group
	}
	return otherLabel
}

// runAttempts tries boxes until the request has an outcome.
func (c *CallerServer) runAttempts(ctx context.Context, x *exchange, place route.ServiceVersion) {
	c.budget.RecordRequest()
	var tried []member.BoxID
	// mayHaveRun stays set once any attempt may have started: no later refusal
	// can make "not run" true again.
	var mayHaveRun error
	last := refusal{reasonNoBox, fmt.Sprintf("no box has %s %s live", x.service, place.Version), time.Second}
	for number := range maxAttempts {
		target, witnesses, ok := c.pick(x, place, tried)
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
			// The caller must see that the answer is not whole.
			panic(http.ErrAbortHandler)
		case outcomeUnknown:
			mayHaveRun = err
		case outcomeNotExecuted:
			last = refusal{reasonBoxesFailed, err.Error(), time.Second}
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
		last = refusal{reasonDeadline, "the deadline passed before the request started", time.Second}
	}
	c.refuse(x, last)
}

// pick chooses a box. One that may not run twice goes to the homes of its id.
func (c *CallerServer) pick(x *exchange, place route.ServiceVersion, tried []member.BoxID) (*route.Target, []member.Address, bool) {
	router, now := c.view.Router(), c.clock.Now()
	if x.hasCallerID && !x.repeatable {
		return router.PickOwner(place, x.id, tried, now)
	}
	target, ok := router.Pick(place, tried, now)
	return target, nil, ok
}

// canRetry reports whether the request may be sent to another box. One that
// surely did not run may always be, one that may have run only if it can be
// repeated and the budget allows it.
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
