package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// settleTimeout bounds how long an agent is asked what became of a request.
const settleTimeout = time.Second

// outcome is what one attempt came to.
type outcome int

const (
	// outcomeDone means that the whole answer was passed on.
	outcomeDone outcome = iota
	// outcomeNotExecuted means that the attempt surely did not start and never will.
	outcomeNotExecuted
	// outcomeUnknown means that the attempt may have run, and nothing of its
	// answer was passed on.
	outcomeUnknown
	// outcomeTruncated means that the answer broke off after part of it was passed on.
	outcomeTruncated
	// outcomeCallerGone means that the caller went away.
	outcomeCallerGone
)

// String names the outcome for metrics and logs.
func (o outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "cut", "caller-gone"}[o]
}

// errResponseMismatch reports an answer that carries another request's id.
var errResponseMismatch = errors.New("answer belongs to another request")

// refusedError carries the agent's reason.
type refusedError struct {
	refusal wire.Refusal
	detail  string
}

// Error names the reason.
func (e *refusedError) Error() string {
	return fmt.Sprintf("agent refused: %v %s", e.refusal, e.detail)
}

// exchange is one caller's request on its way.
type exchange struct {
	id         route.RequestID
	group      table.Group
	service    member.Service
	version    table.ModelVersion
	path       string
	repeatable bool
	// hasCallerID is set if the caller chose the id, and so can send it again.
	hasCallerID bool
	priority    int
	deadline    time.Time
	request     *http.Request
	writer      http.ResponseWriter
	body        *bodyReader
	arrived     time.Time
	// frames counts the frames of the answer, as a measure of the work done.
	frames atomic.Int64
}

// forwarder sends attempts to agents.
type forwarder struct {
	peers   *PeerPool
	clock   clockwork.Clock
	metrics *Metrics
}

// attempt sends the request to one box. With outcomeNotExecuted and outcomeUnknown
// nothing has been written to the caller.
func (f *forwarder) attempt(ctx context.Context, x *exchange, target *route.Target, attempt route.AttemptID, witnesses []member.Address) (outcome, error) {
	target.Start()
	defer target.Release()
	attemptCtx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(nil) }
	defer cancel()
	stream, err := wire.NewDRPCBackendClient(f.peers.Conn(target.Address)).Serve(attemptCtx)
	if err != nil {
		target.Failed(f.clock.Now())
		return outcomeNotExecuted, err
	}
	first := &wire.ServeRequest{Head: f.requestHead(x, target, attempt)}
	for _, witness := range witnesses {
		first.Head.Witnesses = append(first.Head.Witnesses, string(witness))
	}
	first.Body, first.End = x.body.inline()
	if err := stream.Send(first); err != nil {
		target.Failed(f.clock.Now())
		return f.settle(ctx, x, target, attempt, err)
	}
	sent := make(chan error, 1)
	go func() {
		var err error
		if !first.End {
			err = sendBody(attemptCtx, x.body, stream)
		}
		if errors.Is(err, errCallerBody) {
			cancel()
		}
		sent <- err
		f.abortIfStalled(attemptCtx, x, target, cancelCause)
	}()
	result, err := f.receive(ctx, x, target, attempt, stream)
	cancel()
	if cause := context.Cause(attemptCtx); result == outcomeTruncated && errors.Is(cause, errSilent) {
		err = cause
	}
	bodyErr := <-sent
	if result == outcomeUnknown && errors.Is(bodyErr, errCallerBody) {
		return outcomeCallerGone, bodyErr
	}
	return result, err
}

func (f *forwarder) requestHead(x *exchange, target *route.Target, attempt route.AttemptID) *wire.RequestHead {
	head := &wire.RequestHead{
		RequestId: string(x.id), Service: string(x.service), Version: string(x.version), Group: string(x.group),
		Method: x.request.Method, Path: x.path, Headers: headersToWire(x.request.Header, x.request.Header.Values("Connection")),
		Repeatable: x.repeatable, Priority: int32(x.priority),
		Incarnation: uint64(target.Incarnation), Attempt: string(attempt),
	}
	if !x.deadline.IsZero() {
		head.DeadlineMilliseconds = max(1, x.deadline.Sub(f.clock.Now()).Milliseconds())
	}
	if x.request.ContentLength >= 0 {
		head.Headers = append(head.Headers, &wire.Header{
			Name: "Content-Length", Values: []string{strconv.FormatInt(x.request.ContentLength, 10)},
		})
	}
	return head
}

// silentStallTimeout is how long an answer in progress may stand still once its box is
// marked silent. A box that was marked wrongly goes on sending and is let go on.
const silentStallTimeout = 2 * time.Second

// abortIfStalled breaks off an answer that stands still on a silent box, which
// would otherwise keep its caller waiting for good.
func (f *forwarder) abortIfStalled(ctx context.Context, x *exchange, target *route.Target, cancel context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
		return
	case <-target.Silenced():
	}
	for seen := x.frames.Load(); ; seen = x.frames.Load() {
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(silentStallTimeout):
		}
		if x.frames.Load() == seen {
			cancel(errSilent)
			return
		}
	}
}

// errCallerBody reports that the caller's body could not be read to its end.
var errCallerBody = errors.New("reading the caller's body")

func sendBody(ctx context.Context, body *bodyReader, stream wire.DRPCBackend_ServeClient) error {
	for index := 0; ; index++ {
		piece, err := body.chunk(ctx, index)
		if err != nil {
			return fmt.Errorf("%w: %w", errCallerBody, err)
		}
		if piece == nil {
			return stream.Send(&wire.ServeRequest{End: true})
		}
		if err := stream.Send(&wire.ServeRequest{Body: piece}); err != nil {
			return err
		}
	}
}

// receive passes the answer on.
func (f *forwarder) receive(ctx context.Context, x *exchange, target *route.Target, attempt route.AttemptID,
	stream wire.DRPCBackend_ServeClient,
) (outcome, error) {
	first, err := f.firstFrame(ctx, x, target, stream)
	if err != nil {
		if ctx.Err() == nil {
			target.Failed(f.clock.Now())
		}
		return f.settle(ctx, x, target, attempt, err)
	}
	f.recordLoad(target, first)
	if first.Refusal != wire.Refusal_REFUSAL_NONE {
		_ = stream.Close()
		return f.refusalOutcome(target, first)
	}
	if first.Failed || first.Head == nil {
		target.Failed(f.clock.Now())
		return outcomeUnknown, fmt.Errorf("backend server gave no answer: %s", first.Detail)
	}
	target.Succeeded()
	return f.streamResponse(ctx, x, target, stream, first)
}

// errSilent reports a box that fell silent before it answered.
var errSilent = errors.New("the box fell silent")

// firstFrame waits for the first frame, at most until the deadline or until the
// box is marked silent.
func (f *forwarder) firstFrame(ctx context.Context, x *exchange, target *route.Target, stream wire.DRPCBackend_ServeClient) (*wire.ServeResponse, error) {
	type received struct {
		answer *wire.ServeResponse
		err    error
	}
	arrived := make(chan received, 1)
	go func() {
		answer, err := stream.Recv()
		arrived <- received{answer, err}
	}()
	var expired <-chan time.Time
	if !x.deadline.IsZero() {
		timer := f.clock.NewTimer(x.deadline.Sub(f.clock.Now()))
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case got := <-arrived:
		if got.err == nil && got.answer.RequestId != string(x.id) {
			return nil, errResponseMismatch
		}
		return got.answer, got.err
	case <-expired:
		return nil, context.DeadlineExceeded
	case <-target.Silenced():
		return nil, errSilent
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *forwarder) refusalOutcome(target *route.Target, answer *wire.ServeResponse) (outcome, error) {
	err := &refusedError{refusal: answer.Refusal, detail: answer.Detail}
	switch answer.Refusal {
	case wire.Refusal_REFUSAL_DUPLICATE:
		// The id ran before, so it cannot be said that it did not run.
		return outcomeUnknown, err
	case wire.Refusal_REFUSAL_UNREACHABLE:
		target.Failed(f.clock.Now())
	}
	return outcomeNotExecuted, err
}

func (f *forwarder) recordLoad(target *route.Target, answer *wire.ServeResponse) {
	if answer.Load != nil {
		target.ReportLoad(int(answer.Load.Running+answer.Load.Waiting), f.clock.Now())
	}
}

// streamResponse writes the head and the body to the caller as they come.
func (f *forwarder) streamResponse(ctx context.Context, x *exchange, target *route.Target,
	stream wire.DRPCBackend_ServeClient, first *wire.ServeResponse,
) (outcome, error) {
	header := x.writer.Header()
	for _, line := range first.Head.Headers {
		header[line.Name] = line.Values
	}
	header.Set(headerBox, string(target.Box))
	if x.version != "" {
		header.Set(headerVersion, string(x.version))
	}
	x.writer.WriteHeader(int(first.Head.Status))
	f.metrics.ttfbSeconds.WithLabelValues(string(x.service)).Observe(f.clock.Since(x.arrived).Seconds())
	controller := http.NewResponseController(x.writer)
	for answer := first; ; {
		x.frames.Add(1)
		if len(answer.Body) > 0 {
			if _, err := x.writer.Write(answer.Body); err != nil {
				return outcomeCallerGone, err
			}
			if !answer.End {
				_ = controller.Flush()
			}
		}
		f.recordLoad(target, answer)
		if answer.Failed {
			return outcomeTruncated, fmt.Errorf("backend server broke off: %s", answer.Detail)
		}
		if answer.End {
			_ = stream.Close()
			return outcomeDone, nil
		}
		next, err := stream.Recv()
		switch {
		case ctx.Err() != nil:
			return outcomeCallerGone, ctx.Err()
		case err != nil:
			target.Failed(f.clock.Now())
			return outcomeTruncated, unexpectedEOF(err)
		case next.RequestId != string(x.id):
			return outcomeTruncated, errResponseMismatch
		}
		answer = next
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// settle asks the agent for the truth about an attempt that gave no answer. If
// the agent has not started it, it promises never to.
func (f *forwarder) settle(ctx context.Context, x *exchange, target *route.Target, attempt route.AttemptID, cause error) (outcome, error) {
	if x.request.Context().Err() != nil {
		return outcomeCallerGone, cause
	}
	if errors.Is(cause, errDial) {
		return outcomeNotExecuted, cause
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	answer, err := wire.NewDRPCBackendClient(f.peers.Conn(target.Address)).Settle(callCtx, &wire.SettleRequest{
		RequestId: string(x.id), Attempt: string(attempt), Incarnation: uint64(target.Incarnation),
	})
	if err == nil && answer.Known && !answer.Started {
		return outcomeNotExecuted, cause
	}
	return outcomeUnknown, cause
}
