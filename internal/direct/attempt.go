package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// outcome is what became of one attempt.
type outcome int

const (
	// outcomeDone is an answer that was passed on whole.
	outcomeDone outcome = iota
	// outcomeNotExecuted is an attempt that surely did not run.
	outcomeNotExecuted
	// outcomeUnknown is an attempt that may have run and gave no answer.
	outcomeUnknown
	// outcomeStreamBroken is a stream that broke off after some events.
	outcomeStreamBroken
	// outcomeTruncated is an answer that broke off and can't go on.
	outcomeTruncated
	// outcomeCallerGone is a caller that left.
	outcomeCallerGone
)

// attempt sends the request to one server and passes its answer on.
func (f *CallerServer) attempt(ctx context.Context, x *exchange, place *route.Reservation, guard *watchdog) (outcome, error) {
	now := f.clock.Now()
	if now.After(x.deadline) {
		place.Release(route.ResultAbandoned, now)
		return outcomeNotExecuted, context.DeadlineExceeded
	}
	answer, err := f.pool.Send(ctx, f.upstreamRequest(x, place, now))
	if err != nil {
		return f.sendFailed(x, place, guard.withCause(err))
	}
	x.attempts++
	mark := f.protocol.ReadResponse(answer.Response)
	if mark.NotExecuted {
		answer.Discard()
		result := route.ResultRefused
		if mark.Misdirected {
			result = route.ResultReplaced
			x.misdirected++
		}
		f.finishAttempt(x, place, result, errNotExecuted)
		return outcomeNotExecuted, errNotExecuted
	}
	defer answer.Close()
	switch {
	case answer.StatusCode < 300 && !mark.Signed || answer.Header.Get("Content-Encoding") != "":
		f.finishAttempt(x, place, route.ResultFailed, errUnsigned)
		return outcomeUnknown, errUnsigned
	case answer.StatusCode >= 500 && f.mayRetry(x):
		f.finishAttempt(x, place, route.ResultFailed, errServerFailed)
		return outcomeUnknown, errServerFailed
	case x.started && answer.StatusCode != http.StatusOK:
		f.finishAttempt(x, place, route.ResultFailed, errServerFailed)
		return outcomeStreamBroken, errServerFailed
	}
	if x.route.Kind == fleet.KindStream && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return f.forwardStream(x, place, answer, guard)
	}
	return f.forwardBody(x, place, answer)
}

// The errors of attempts.
var (
	errNotExecuted  = errors.New("server refused the request without running it")
	errUnsigned     = errors.New("answer is not signed or is encoded")
	errServerFailed = errors.New("server failed the request")
)

// mayRetry reports whether another attempt may follow one that may have run.
func (f *CallerServer) mayRetry(x *exchange) bool {
	return x.route.Repeatable() && x.attempts < x.route.MaxAttempts && f.clock.Now().Before(x.deadline)
}

// upstreamRequest makes the request for one server.
func (f *CallerServer) upstreamRequest(x *exchange, place *route.Reservation, now time.Time) *upstream.Request {
	header := x.request.Header.Clone()
	upstream.RemoveHopByHopHeaders(header)
	out := provider.OutboundMetadata{
		Server: place.Server.ID, Deadline: x.deadline.Sub(now), LastEventID: x.lastEventID, Priority: -1,
	}
	if x.organisation != nil {
		out.Organisation = x.organisation.Name
	}
	request := &upstream.Request{
		Address: place.Server.Address, ID: x.ID, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body,
		BeforeSend: func() error {
			if f.isPastCutoff(x.service, place) {
				return errPastCutoff
			}
			if f.quarantineDecision(x).Blocked {
				return route.ErrQuarantined
			}
			return place.Check(f.clock.Now())
		},
		OnResponse: func(head *http.Response) { f.handleSignals(x, place, head) },
	}
	if service := f.fleetState.View().Service(x.service); service != nil && service.Engine != nil && len(service.Engine.Models) > 0 {
		out.Priority = f.priority(x)
		if x.started {
			// Its reader waits for the next event; those that have not begun can wait
			// longer.
			out.Priority = 0
		}
		named := f.fleetState.View().PublishedVersions(service.Engine.Models[0])
		newest := named.Newest()
		if f.requiredVersion(named, now) > 0 || !newest.PublishedAt.IsZero() && place.Version == newest.Version {
			// What is believed of its weights may be of the server's start before. On the newest ones it can't
			// have gone on; on older ones it may have, which is no reason to refuse before they are barred.
			out.Version = place.Version
		}
	}
	f.protocol.WriteRequest(header, out)
	return request
}

// sendFailed tells what became of an attempt without an answer.
func (f *CallerServer) sendFailed(x *exchange, place *route.Reservation, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		f.finishAttempt(x, place, route.ResultAbandoned, err)
		return outcomeCallerGone, err
	}
	if isLocalAbort(err) && !upstream.MayHaveRun(err) {
		// The box itself kept it from being sent, so the server is none the worse for it.
		f.finishAttempt(x, place, route.ResultAbandoned, err)
		return outcomeNotExecuted, err
	}
	if !upstream.MayHaveRun(err) {
		f.finishAttempt(x, place, route.ResultUnreachable, err)
		f.pool.CloseIdle(place.Server.Address)
		// No byte went out, so this was no attempt.
		x.unreachable++
		return outcomeNotExecuted, err
	}
	x.attempts++
	f.failAttempt(x, place, err)
	return outcomeUnknown, err
}

// isLocalAbort reports whether the box itself kept an attempt from being sent, or ended it.
func isLocalAbort(err error) bool {
	return errors.Is(err, errPastCutoff) || errors.Is(err, errNotStarted) || errors.Is(err, route.ErrLeaving) || errors.Is(err, route.ErrBackingOff) ||
		errors.Is(err, route.ErrLimited) || errors.Is(err, route.ErrQuarantined)
}

// finishAttempt releases the place and notes the attempt.
func (f *CallerServer) finishAttempt(x *exchange, place *route.Reservation, result route.Result, err error) {
	now := f.clock.Now()
	held := place.HeldFor(now)
	place.Release(result, now)
	f.metrics.attempts.WithLabelValues(string(x.service), result.String()).Inc()
	if result != route.ResultDone {
		f.log.Info().Str("request", x.ID).Str("server", string(place.Server.ID)).Str("address", string(place.Server.Address)).
			Uint64("weights", uint64(place.Version)).Str("result", result.String()).Dur("held_ms", held).
			Str("content", x.contentID().String()).Dur("answering_ms", place.RespondingFor(now)).Str("last_event", x.lastEventID).Err(err).Msg("attempt ended")
	}
}

// forwardHeader passes the status and the headers of an answer on.
func (f *CallerServer) forwardHeader(x *exchange, answer *upstream.Response) {
	header := x.writer.Header()
	length := answer.Header["Content-Length"]
	upstream.RemoveHopByHopHeaders(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	if length != nil {
		header["Content-Length"] = length
	}
	if f.leaving.Load() {
		header.Set("Connection", "close")
	}
	x.writer.WriteHeader(answer.StatusCode)
	x.started, x.ttfb = true, f.clock.Since(x.arrived)
	f.metrics.ttfb.WithLabelValues(x.route.Name).Observe(x.ttfb.Seconds())
}

// responseBufferSize is the size up to which an answer is read before it is passed on,
// in bytes; one that breaks off before its end can then still be repeated.
const responseBufferSize = 64 << 10

// forwardBody passes on an answer that is not a stream of events.
func (f *CallerServer) forwardBody(x *exchange, place *route.Reservation, answer *upstream.Response) (outcome, error) {
	place.Started(f.clock.Now())
	buffer := make([]byte, 0, min(responseBufferSize, max(512, int(answer.ContentLength)+1)))
	var err error
	for err == nil && len(buffer) < responseBufferSize {
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, len(buffer))
		}
		var n int
		n, err = answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return f.bodyFailed(x, place, err)
	}
	f.forwardHeader(x, answer)
	if _, problem := x.writer.Write(buffer); problem != nil {
		f.finishAttempt(x, place, route.ResultAbandoned, problem)
		return outcomeCallerGone, problem
	}
	if err == nil {
		if _, err = io.Copy(x.writer, answer); err != nil {
			f.failAttempt(x, place, err)
			return outcomeTruncated, err
		}
	}
	f.recordSuccess(x)
	f.finishAttempt(x, place, resultOf(answer), nil)
	return outcomeDone, nil
}

// resultOf is how an answer that was passed on counts for its server.
func resultOf(answer *upstream.Response) route.Result {
	if answer.StatusCode >= 500 {
		return route.ResultFailed
	}
	return route.ResultDone
}

// bodyFailed tells what became of an answer that broke off before any of it was
// passed on.
func (f *CallerServer) bodyFailed(x *exchange, place *route.Reservation, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		f.finishAttempt(x, place, route.ResultAbandoned, err)
		return outcomeCallerGone, err
	}
	f.failAttempt(x, place, err)
	return outcomeUnknown, err
}
