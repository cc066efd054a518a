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

// outcome is the outcome of one attempt.
type outcome int

const (
	// outcomeDone means that the complete response was forwarded.
	outcomeDone outcome = iota
	// outcomeNotExecuted means that the server certainly did not run the request.
	outcomeNotExecuted
	// outcomeUnknown means that the request may have run and that no part of a response was forwarded.
	outcomeUnknown
	// outcomeStreamBroken means that a stream failed after some events were forwarded and can be resumed.
	outcomeStreamBroken
	// outcomeTruncated means that a response failed after a part of it was forwarded and can't be resumed.
	outcomeTruncated
	// outcomeCallerGone means that the caller disconnected.
	outcomeCallerGone
	// outcomeSuperseded means that another attempt delivered a part of the response first.
	outcomeSuperseded
)

// attempt sends the request to one server and forwards the response.
func (s *CallerServer) attempt(x *exchange, a *attempt) (outcome, error) {
	now := s.clock.Now()
	if now.After(x.deadline) {
		x.withdraw(a, now)
		a.reservation.Release(route.ResultAbandoned, now)
		return outcomeNotExecuted, context.DeadlineExceeded
	}
	resp, err := s.pool.Send(a.ctx, s.upstreamRequest(x, a, now))
	if err != nil {
		return s.sendFailed(x, a, a.withCause(err))
	}
	x.group.noteArrived(a, s.clock.Now())
	meta := s.protocol.ReadResponse(resp.Response)
	if meta.NotExecuted {
		resp.Discard()
		result := route.ResultRefused
		if meta.Misdirected {
			result = route.ResultReplaced
			x.noteMisdirected()
		}
		s.finishAttempt(x, a, result, errNotExecuted)
		return outcomeNotExecuted, errNotExecuted
	}
	defer resp.Close()
	switch {
	case resp.StatusCode < 300 && !meta.Signed || resp.Header.Get("Content-Encoding") != "":
		s.finishAttempt(x, a, route.ResultFailed, errUnsigned)
		return outcomeUnknown, errUnsigned
	case resp.StatusCode >= 500 && x.mayDrop(a, s.clock.Now()):
		s.finishAttempt(x, a, route.ResultFailed, errServerFailed)
		return outcomeUnknown, errServerFailed
	case a.resuming && (resp.StatusCode != http.StatusOK || !isEventStream(resp)):
		s.finishAttempt(x, a, route.ResultFailed, errServerFailed)
		return outcomeStreamBroken, errServerFailed
	}
	if x.route.Kind == fleet.KindStream && isEventStream(resp) {
		return s.forwardStream(x, a, resp)
	}
	return s.forwardBody(x, a, resp)
}

// isEventStream reports whether a response consists of server-sent events.
func isEventStream(resp *upstream.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// Errors of attempts.
var (
	errNotExecuted  = errors.New("server refused the request without running it")
	errUnsigned     = errors.New("response is unsigned or has a content encoding")
	errServerFailed = errors.New("server failed the request")
)

// upstreamRequest returns the request to send to the server of an attempt.
func (s *CallerServer) upstreamRequest(x *exchange, a *attempt, now time.Time) *upstream.Request {
	reservation := a.reservation
	header := x.request.Header.Clone()
	upstream.RemoveHopByHopHeaders(header)
	out := provider.OutboundMetadata{
		Server: reservation.Server.ID, Deadline: x.deadline.Sub(now), LastEventID: a.lastEventID, Priority: -1,
	}
	if x.organisation != nil {
		out.Organisation = x.organisation.Name
	}
	request := &upstream.Request{
		Address: reservation.Server.Address, ID: x.ID, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body,
		BeforeSend: func() error {
			if s.isPastCutoff(x.service, reservation) {
				return errPastCutoff
			}
			if !s.maySend(x) {
				return route.ErrQuarantined
			}
			if err := s.checkResidency(x, &reservation.Server); err != nil {
				return err
			}
			return reservation.Check(s.clock.Now())
		},
		OnResponse: func(resp *http.Response, isConnected func() bool) { s.handleSignals(x, reservation, resp, isConnected) },
	}
	if service := s.fleetState.View().Service(x.service); service != nil && service.Engine != nil && len(service.Engine.Models) > 0 {
		out.Priority = s.priority(x)
		if a.resuming {
			// The reader is waiting for the next event. Requests without a response so far can wait longer.
			out.Priority = 0
		}
		published := s.fleetState.View().PublishedVersions(service.Engine.Models[0])
		newest := published.Newest()
		if s.requiredVersion(published, now) > 0 || !newest.PublishedAt.IsZero() && reservation.Version == newest.Version {
			// The known version may be that of an earlier incarnation of the server. A server with the newest
			// version can't have got a newer one since, so the version is required. A server with an older
			// version may have, so it is required only once older versions are past the cutoff.
			out.Version = reservation.Version
		}
	}
	s.protocol.WriteRequest(header, out)
	return request
}

// sendFailed handles an attempt that got no response.
func (s *CallerServer) sendFailed(x *exchange, a *attempt, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		s.finishAttempt(x, a, route.ResultAbandoned, err)
		return outcomeCallerGone, err
	}
	if isLocalAbort(err) && !upstream.MayHaveRun(err) {
		// The box did not send the request, so the server is not at fault.
		x.withdraw(a, s.clock.Now())
		s.finishAttempt(x, a, route.ResultAbandoned, err)
		return outcomeNotExecuted, err
	}
	if !upstream.MayHaveRun(err) {
		s.finishAttempt(x, a, route.ResultUnreachable, err)
		s.pool.CloseIdle(a.reservation.Server.Address)
		// No byte was sent, so this does not count as an attempt.
		x.withdrawUnreachable(a, s.clock.Now())
		return outcomeNotExecuted, err
	}
	if isSuperseded(err) {
		return s.endSuperseded(x, a)
	}
	s.failAttempt(x, a, err)
	return outcomeUnknown, err
}

// endSuperseded ends an attempt that another one has superseded. It is no evidence of an exit of its server. A server that
// was silent until a later attempt delivered is preferred less; the server of a superseded hedge is not at fault.
func (s *CallerServer) endSuperseded(x *exchange, a *attempt) (outcome, error) {
	cause, result := context.Cause(a.ctx), route.ResultAbandoned
	if errors.Is(cause, errNoProgress) {
		result = route.ResultSilent
	}
	s.finishAttempt(x, a, result, cause)
	return outcomeSuperseded, cause
}

// localAborts are the reasons for which this box prevents or aborts an attempt although its server is not at fault.
var localAborts = []error{
	errPastCutoff, errNotStarted, errSuperseded, errResidency, errStopping,
	route.ErrLeaving, route.ErrBackingOff, route.ErrRateLimited, route.ErrQuarantined, route.ErrEvacuated,
}

// isLocalAbort reports whether this box prevented or aborted an attempt for one of the localAborts.
func isLocalAbort(err error) bool {
	return slices.ContainsFunc(localAborts, func(reason error) bool { return errors.Is(err, reason) })
}

// finishAttempt releases the reservation and records the result of the attempt.
func (s *CallerServer) finishAttempt(x *exchange, a *attempt, result route.Result, err error) {
	reservation := a.reservation
	now := s.clock.Now()
	heldFor := reservation.HeldFor(now)
	reservation.Release(result, now)
	s.metrics.attempts.WithLabelValues(string(x.service), result.String()).Inc()
	if result != route.ResultDone {
		s.log.Info().Str("request", x.ID).Str("server", string(reservation.Server.ID)).Str("address", string(reservation.Server.Address)).
			Uint64("weights", uint64(reservation.Version)).Str("result", result.String()).Dur("held_ms", heldFor).
			Str("content", x.contentID().String()).Strs("parts", x.promptParts()).
			Dur("answering_ms", reservation.RespondingFor(now)).Str("last_event", a.lastEventID).Err(err).Msg("attempt ended")
	}
}

// forwardHeader forwards the status and the headers of a response, which the attempt must have claimed.
func (s *CallerServer) forwardHeader(x *exchange, resp *upstream.Response) {
	header := x.writer.Header()
	length := resp.Header["Content-Length"]
	upstream.RemoveHopByHopHeaders(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if length != nil {
		header["Content-Length"] = length
	}
	if s.leaving.Load() {
		header.Set("Connection", "close")
	}
	x.writer.WriteHeader(resp.StatusCode)
	x.started, x.ttfb = true, s.clock.Since(x.arrived)
	s.metrics.ttfb.WithLabelValues(x.route.Name).Observe(x.ttfb.Seconds())
}

// responseBufferSize is the number of bytes of a response that are buffered before any of it is forwarded, unless the box
// holds too many bytes. A response that fails within them can still be retried.
const responseBufferSize = 64 << 10

// forwardBody forwards a response that is not an event stream.
func (s *CallerServer) forwardBody(x *exchange, a *attempt, resp *upstream.Response) (outcome, error) {
	a.reservation.Started(s.clock.Now())
	buffer := &heldBuffer{held: s.held}
	defer buffer.release()
	if length := resp.ContentLength; length >= 0 && length < minHeldBuffer {
		// The free byte lets the end of the body be read.
		buffer.data = make([]byte, 0, length+1)
	}
	var err error
	for err == nil && buffer.grow(responseBufferSize) {
		_, err = buffer.read(resp)
		x.group.noteProgress(a, s.clock.Now())
	}
	err = s.checkEnd(a.reservation, resp, err)
	if err != nil && !errors.Is(err, io.EOF) {
		return s.bodyFailed(x, a, a.withCause(err))
	}
	if !x.group.claim(a) {
		return s.endSuperseded(x, a)
	}
	a.delivered = true
	s.forwardHeader(x, resp)
	if err == nil {
		return s.forwardLongBody(x, a, resp, buffer.data)
	}
	s.recordResponse(x, a, resp)
	// The server is free, whether or not the caller reads the response.
	s.finishAttempt(x, a, resultOf(resp), nil)
	if _, writeErr := x.writer.Write(buffer.data); writeErr != nil {
		return outcomeCallerGone, writeErr
	}
	return outcomeDone, nil
}

// forwardLongBody forwards a response of which the first part has been read.
func (s *CallerServer) forwardLongBody(x *exchange, a *attempt, resp *upstream.Response, buffer []byte) (outcome, error) {
	out, ctx := s.sendBuffer(x), x.request.Context()
	part := buffer
	for {
		if err := out.add(ctx, part); err != nil {
			s.finishAttempt(x, a, route.ResultAbandoned, err)
			return outcomeCallerGone, err
		}
		n, err := resp.Read(buffer[:cap(buffer)])
		err = s.checkEnd(a.reservation, resp, err)
		part = buffer[:n]
		switch {
		case errors.Is(err, io.EOF):
			return s.finishLongBody(x, a, resp, part)
		case err != nil && ctx.Err() != nil:
			s.finishAttempt(x, a, route.ResultAbandoned, err)
			return outcomeCallerGone, err
		case err != nil:
			s.failAttempt(x, a, err)
			return outcomeTruncated, err
		}
	}
}

// finishLongBody forwards the last part of a response.
func (s *CallerServer) finishLongBody(x *exchange, a *attempt, resp *upstream.Response, last []byte) (outcome, error) {
	s.recordResponse(x, a, resp)
	s.finishAttempt(x, a, resultOf(resp), nil)
	err := s.sendBuffer(x).add(x.request.Context(), last)
	if err == nil {
		err = s.closeSendBuffer(x)
	}
	if err != nil {
		return outcomeCallerGone, err
	}
	return outcomeDone, nil
}

// resultOf returns the result that a forwarded response counts as for its server.
func resultOf(resp *upstream.Response) route.Result {
	if resp.StatusCode >= 500 {
		return route.ResultFailed
	}
	return route.ResultDone
}

// bodyFailed handles a response that failed before any of it was forwarded.
func (s *CallerServer) bodyFailed(x *exchange, a *attempt, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		s.finishAttempt(x, a, route.ResultAbandoned, err)
		return outcomeCallerGone, err
	}
	if isSuperseded(err) {
		return s.endSuperseded(x, a)
	}
	s.failAttempt(x, a, err)
	return outcomeUnknown, err
}
