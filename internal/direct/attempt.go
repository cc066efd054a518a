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

const (
	// beginReserve is how long before the weights of a server are barred an answer must
	// have begun: a version may have been heard of late, and breaking off takes a while.
	beginReserve = 500 * time.Millisecond
	// unreachableLimit bounds the servers that one request finds unreachable: a list
	// of which so many are gone is old, as after a loss of power.
	unreachableLimit = 4
	// refusedWait is when a caller should return whose server refused.
	refusedWait = 100 * time.Millisecond
)

// outcome is what became of one attempt.
type outcome int

const (
	// outcomeDone is an answer that was passed on whole.
	outcomeDone outcome = iota
	// outcomeNotRun is an attempt that surely did not run.
	outcomeNotRun
	// outcomeUnknown is an attempt that may have run and gave no answer.
	outcomeUnknown
	// outcomeBroken is a stream that broke off after some events.
	outcomeBroken
	// outcomeCut is an answer that broke off and can't go on.
	outcomeCut
	// outcomeGone is a caller that left.
	outcomeGone
)

// run makes attempts until the request has an outcome.
func (f *Front) run(x *exchange) {
	ctx, cancel := context.WithTimeout(x.request.Context(), f.clock.Until(x.deadline))
	defer cancel()
	f.budget(x.service).Request(f.clock.Now())
	var tried []fleet.ServerID
	var next *route.Reservation
	var mayHaveRun, last error
	for x.attempts < x.route.MaxAttempts && x.unreachable < unreachableLimit {
		place, err := f.place(ctx, x, next, tried)
		if err != nil {
			last = err
			break
		}
		tried = append(tried, place.Server.ID)
		guard := f.watch(ctx, x, tried)
		place.OnBarred(guard.giveUp)
		result, err := f.attempt(guard.ctx, x, place, guard)
		next = guard.end(result, f.clock.Now())
		switch result {
		case outcomeDone:
			f.finish(x, "answered").Str("server", string(place.Server.ID)).Uint64("weights", uint64(place.Version)).Msg("request answered")
			return
		case outcomeGone:
			f.noteSentAway(x)
			f.finish(x, "left").Str("server", string(place.Server.ID)).Msg("caller left")
			return
		case outcomeCut:
			f.abort(x, err)
		case outcomeNotRun:
			last = err
			if errors.Is(err, errBarred) {
				// Nothing was asked of the server, which may have newer weights in a moment.
				tried = tried[:len(tried)-1]
			}
		case outcomeUnknown, outcomeBroken:
			mayHaveRun = err
			if !x.route.Repeatable() {
				f.conclude(ctx, x, mayHaveRun, last)
				return
			}
		}
	}
	f.conclude(ctx, x, mayHaveRun, last)
}

// place returns the place for the next attempt: the one that was had already or, if there is none, one that is waited for.
func (f *Front) place(ctx context.Context, x *exchange, had *route.Reservation, tried []fleet.ServerID) (*route.Reservation, error) {
	if err := f.judge(ctx, x); err != nil {
		if had != nil {
			had.Release(route.ResultAbandoned, f.clock.Now())
		}
		return nil, err
	}
	if had != nil {
		return had, nil
	}
	if x.attempts > 0 && !f.budget(x.service).Retry(f.retryExtra(), f.clock.Now()) {
		return nil, errBudget
	}
	return f.acquire(ctx, x, tried)
}

// acquire waits for a place on a server.
func (f *Front) acquire(ctx context.Context, x *exchange, tried []fleet.ServerID) (*route.Reservation, error) {
	asked := f.clock.Now()
	defer func() { x.waited += f.clock.Since(asked) }()
	return f.dispatcher(x.service).Acquire(ctx, f.ask(x, tried, false), f.clock)
}

// errBarred reports weights that were barred before the request was sent.
var errBarred = errors.New("weights of the server may no longer start a request")

// errBudget reports that no further attempt is allowed.
var errBudget = errors.New("retry budget is spent")

// abort breaks the caller's connection off, so that it sees that the answer is
// not whole.
func (f *Front) abort(x *exchange, cause error) {
	f.noteSentAway(x)
	f.finish(x, "cut").Err(cause).Msg("answer cut")
	panic(http.ErrAbortHandler)
}

// conclude gives the final answer of a request that no attempt has answered.
func (f *Front) conclude(ctx context.Context, x *exchange, mayHaveRun, last error) {
	switch {
	case x.begun:
		f.abort(x, errors.Join(mayHaveRun, last))
	case x.request.Context().Err() != nil:
		f.noteSentAway(x)
		f.finish(x, "left").AnErr("cause", last).Msg("caller left")
	case mayHaveRun != nil:
		if errors.Is(last, route.ErrQuarantined) {
			mayHaveRun = errors.Join(mayHaveRun, last)
		}
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		f.fail(x, status, mayHaveRun)
	default:
		f.refuseAfter(x, last)
	}
}

// refuseAfter refuses a request that surely has not run.
func (f *Front) refuseAfter(x *exchange, cause error) {
	var held *quarantinedError
	if errors.As(cause, &held) {
		f.refuseQuarantined(x, held)
		return
	}
	var busy *route.BusyError
	ask := f.ask(x, nil, false)
	ask.Returning = x.sinceFirst > 0
	if resting := f.dispatcher(x.service).Resting(ask, f.clock.Now()); resting != nil {
		cause = resting
	}
	wait, reason, left := refusedWait, "not-run", x.deadline.Sub(f.clock.Now())
	switch {
	case errors.As(cause, &busy):
		f.refuseBusy(x, busy)
		return
	case errors.Is(cause, route.ErrNoServer), x.unreachable+x.misdirected > 1:
		wait, reason = route.RetryAfter(route.ErrNoServer, left), "no-server"
	}
	f.log.Debug().Str("request", x.ID).AnErr("cause", cause).Msg("refusing")
	f.refuse(x, reason, wait)
}

// retryExtra is this box's part of the retries that all entry boxes may make
// beyond the ratio. A box that has just started does not know the others yet, nor
// what it has used before its start.
func (f *Front) retryExtra() float64 {
	if f.clock.Since(f.started) < f.retries.window {
		return f.retries.extra / float64(max(unknownBoxes, f.boxes()))
	}
	return f.retries.extra / float64(f.boxes()) * retrySafety
}

// unknownBoxes is among how many entry boxes at least a box that has just started splits the
// common retries, as it may not know of all of them yet.
const unknownBoxes = 64

// retrySafety is the part of the common retry budget that is used: boxes that
// come and go count each other late.
const retrySafety = 0.7

// ask is what a request needs of a server.
func (f *Front) ask(x *exchange, tried []fleet.ServerID, once bool) *route.Ask {
	reading, writing := f.engineTimes(x)
	ask := &route.Ask{
		Priority: f.priority(x), Arrived: f.clock.Now(), Objective: x.arrived.Add(x.route.Objective - x.sinceFirst), Deadline: x.deadline, Patience: x.route.Patience,
		Reading: reading, Holding: reading + writing,
		Returning: x.sinceFirst > 0 && !f.leaving.Load(), Tried: tried, Once: once, Suspect: x.suspect,
	}
	switch {
	case x.begun:
		// Its reader waits for the next event, and all that was written is lost if none
		// comes.
		ask.Resuming, ask.Returning = true, false
		ask.Priority, ask.Objective = resumePriority, x.lastPassed.Add(x.route.Pause)
	case x.attempts > 0:
		// A request that has been tried already goes before those that came later.
		ask.Returning = true
	}
	return ask
}

// resumePriority is more urgent than any priority of operators, which begin at 0.
const resumePriority = -1

// priority is the organisation's, else the route's.
func (f *Front) priority(x *exchange) int {
	if x.organisation != nil && x.organisation.Priority != nil {
		return *x.organisation.Priority
	}
	return x.route.Priority
}

// engineTimes is how long a model server reads the prompt and is expected to write the
// answer; 0 for other servers.
func (f *Front) engineTimes(x *exchange) (reading, writing time.Duration) {
	service := f.facts.View().Service(x.service)
	if service == nil || service.Engine == nil {
		return 0, 0
	}
	tokens := float64(x.AnswerHint)
	if tokens == 0 {
		tokens = service.Engine.UsualAnswer
	}
	if x.AnswerTokens > 0 {
		tokens = min(tokens, float64(x.AnswerTokens))
	}
	return service.Engine.ReadingTime(x.PromptTokens), service.Engine.WritingTime(tokens)
}

// attempt sends the request to one server and passes its answer on.
func (f *Front) attempt(ctx context.Context, x *exchange, place *route.Reservation, guard *guard) (outcome, error) {
	now := f.clock.Now()
	if now.After(x.deadline) {
		place.Release(route.ResultAbandoned, now)
		return outcomeNotRun, context.DeadlineExceeded
	}
	answer, err := f.pool.Send(ctx, f.outbound(x, place, now))
	if err != nil {
		return f.sendFailed(x, place, guard.reason(err))
	}
	x.attempts++
	mark := f.protocol.ReadAnswer(answer.Response)
	if mark.NotRun {
		answer.Discard()
		result := route.ResultRefused
		if mark.OtherServer {
			result = route.ResultReplaced
			x.misdirected++
		}
		f.ended(x, place, result, errRefused)
		return outcomeNotRun, errRefused
	}
	defer answer.Close()
	switch {
	case answer.StatusCode < 300 && !mark.Signed || answer.Header.Get("Content-Encoding") != "":
		f.ended(x, place, route.ResultFailed, errUnsigned)
		return outcomeUnknown, errUnsigned
	case answer.StatusCode >= 500 && f.mayRepeat(x):
		f.ended(x, place, route.ResultFailed, errServerFailed)
		return outcomeUnknown, errServerFailed
	case x.begun && answer.StatusCode != http.StatusOK:
		f.ended(x, place, route.ResultFailed, errServerFailed)
		return outcomeBroken, errServerFailed
	}
	if x.route.Kind == fleet.KindStream && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return f.passStream(x, place, answer, guard)
	}
	return f.passWhole(x, place, answer)
}

// The errors of attempts.
var (
	errRefused      = errors.New("server refused the request without running it")
	errUnsigned     = errors.New("answer is not signed or is encoded")
	errServerFailed = errors.New("server failed the request")
)

// mayRepeat reports whether another attempt may follow one that may have run.
func (f *Front) mayRepeat(x *exchange) bool {
	return x.route.Repeatable() && x.attempts < x.route.MaxAttempts && f.clock.Now().Before(x.deadline)
}

// outbound makes the request for one server.
func (f *Front) outbound(x *exchange, place *route.Reservation, now time.Time) *upstream.Request {
	header := x.request.Header.Clone()
	upstream.RemoveConnectionHeaders(header)
	out := provider.Outbound{
		Server: place.Server.ID, Deadline: x.deadline.Sub(now), LastEvent: x.lastEvent, Priority: -1,
	}
	if x.organisation != nil {
		out.Organisation = x.organisation.Name
	}
	request := &upstream.Request{
		Address: place.Server.Address, ID: x.ID, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body,
		Check: func() error {
			if f.isBarred(x.service, place) {
				return errBarred
			}
			if f.verdict(x).Barred {
				return route.ErrQuarantined
			}
			return place.Check(f.clock.Now())
		},
		Heard: func(head *http.Response) { f.heard(x, place, head) },
	}
	if service := f.facts.View().Service(x.service); service != nil && service.Engine != nil && len(service.Engine.Models) > 0 {
		out.Priority = f.priority(x)
		if x.begun {
			// Its reader waits for the next event; those that have not begun can wait
			// longer.
			out.Priority = 0
		}
		named := f.facts.View().Wanted(service.Engine.Models[0])
		newest := named.Newest()
		if f.required(named, now) > 0 || !newest.Since.IsZero() && place.Version == newest.Version {
			// What is believed of its weights may be of the server's start before. On the newest ones it can't
			// have gone on; on older ones it may have, which is no reason to refuse before they are barred.
			out.Version = place.Version
		}
	}
	f.protocol.WriteRequest(header, out)
	return request
}

// sendFailed tells what became of an attempt without an answer.
func (f *Front) sendFailed(x *exchange, place *route.Reservation, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		f.ended(x, place, route.ResultAbandoned, err)
		return outcomeGone, err
	}
	if isHeldBack(err) && !upstream.MayHaveRun(err) {
		// The box itself kept it from being sent, so the server is none the worse for it.
		f.ended(x, place, route.ResultAbandoned, err)
		return outcomeNotRun, err
	}
	if !upstream.MayHaveRun(err) {
		f.ended(x, place, route.ResultUnreachable, err)
		f.pool.Forget(place.Server.Address)
		// No byte went out, so this was no attempt.
		x.unreachable++
		return outcomeNotRun, err
	}
	x.attempts++
	f.failed(x, place, err)
	return outcomeUnknown, err
}

// isHeldBack reports whether the box itself kept an attempt from being sent, or ended it.
func isHeldBack(err error) bool {
	return errors.Is(err, errBarred) || errors.Is(err, errNotBegun) || errors.Is(err, route.ErrLeaving) || errors.Is(err, route.ErrResting) ||
		errors.Is(err, route.ErrQuarantined)
}

// ended releases the place and notes the attempt.
func (f *Front) ended(x *exchange, place *route.Reservation, result route.Result, err error) {
	now := f.clock.Now()
	held := place.Held(now)
	place.Release(result, now)
	f.metrics.attempts.WithLabelValues(string(x.service), result.String()).Inc()
	if result != route.ResultDone {
		f.log.Info().Str("request", x.ID).Str("server", string(place.Server.ID)).Str("address", string(place.Server.Address)).
			Uint64("weights", uint64(place.Version)).Str("result", result.String()).Dur("held_ms", held).
			Str("content", x.contentID().String()).Dur("answering_ms", place.Answering(now)).Str("last_event", x.lastEvent).Err(err).Msg("attempt ended")
	}
}

// passHead passes the status and the headers of an answer on.
func (f *Front) passHead(x *exchange, answer *upstream.Answer) {
	header := x.writer.Header()
	length := answer.Header["Content-Length"]
	upstream.RemoveConnectionHeaders(answer.Header)
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
	x.begun, x.firstAfter = true, f.clock.Since(x.arrived)
	f.metrics.firstEvent.WithLabelValues(x.route.Name).Observe(x.firstAfter.Seconds())
}

// wholeBuffer is the size up to which an answer is read before it is passed on,
// in bytes; one that breaks off before its end can then still be repeated.
const wholeBuffer = 64 << 10

// passWhole passes on an answer that is not a stream of events.
func (f *Front) passWhole(x *exchange, place *route.Reservation, answer *upstream.Answer) (outcome, error) {
	place.Started(f.clock.Now())
	buffer := make([]byte, 0, min(wholeBuffer, max(512, int(answer.ContentLength)+1)))
	var err error
	for err == nil && len(buffer) < wholeBuffer {
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
	f.passHead(x, answer)
	if _, problem := x.writer.Write(buffer); problem != nil {
		f.ended(x, place, route.ResultAbandoned, problem)
		return outcomeGone, problem
	}
	if err == nil {
		if _, err = io.Copy(x.writer, answer); err != nil {
			f.failed(x, place, err)
			return outcomeCut, err
		}
	}
	f.ranWell(x)
	f.ended(x, place, resultOf(answer), nil)
	return outcomeDone, nil
}

// resultOf is how an answer that was passed on counts for its server.
func resultOf(answer *upstream.Answer) route.Result {
	if answer.StatusCode >= 500 {
		return route.ResultFailed
	}
	return route.ResultDone
}

// bodyFailed tells what became of an answer that broke off before any of it was
// passed on.
func (f *Front) bodyFailed(x *exchange, place *route.Reservation, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		f.ended(x, place, route.ResultAbandoned, err)
		return outcomeGone, err
	}
	f.failed(x, place, err)
	return outcomeUnknown, err
}
