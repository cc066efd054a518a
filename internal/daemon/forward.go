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

// settleTimeout limits a Settle call to an agent.
const settleTimeout = time.Second

// outcome is the result of one attempt.
type outcome int

const (
	// outcomeDone means that the complete response was forwarded.
	outcomeDone outcome = iota
	// outcomeNotExecuted means that the attempt has not started and never will.
	outcomeNotExecuted
	// outcomeUnknown means that the attempt may have run, and no part of its
	// response was forwarded.
	outcomeUnknown
	// outcomeTruncated means that the response ended early, after part of it was forwarded.
	outcomeTruncated
	// outcomeCallerGone means that the caller closed its connection.
	outcomeCallerGone
)

// String returns the name of the outcome for metrics, logs and the outcome header.
func (o outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "cut", "caller-gone"}[o]
}

// errResponseMismatch means that a response carries the id of another request.
var errResponseMismatch = errors.New("answer belongs to another request")

// refusedError is the error of an attempt that the agent refused.
type refusedError struct {
	refusal wire.Refusal
	detail  string
}

// Error returns the agent's reason and its details.
func (e *refusedError) Error() string {
	return fmt.Sprintf("agent refused: %v %s", e.refusal, e.detail)
}

// exchange is a request from a caller and the state of its processing.
type exchange struct {
	id         route.RequestID
	group      table.Group
	service    member.Service
	version    table.ModelVersion
	path       string
	repeatable bool
	// hasCallerID is set if the caller chose the id. Only then can it retry under the same id.
	hasCallerID bool
	priority    int
	deadline    time.Time
	request     *http.Request
	writer      http.ResponseWriter
	body        *bodyReader
	arrived     time.Time
	// notRun are the attempts that never run.
	notRun []string
	// frames counts the response frames as a measure of the work done.
	frames atomic.Int64
}

// forwarder sends requests to agents, one attempt at a time.
type forwarder struct {
	peers   *PeerPool
	clock   clockwork.Clock
	metrics *Metrics
}

// attempt sends the request to one box and forwards the response. If it returns
// outcomeNotExecuted or outcomeUnknown, nothing has been written to the caller.
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
	bodySent := make(chan error, 1)
	go func() {
		var err error
		if !first.End {
			err = sendBody(attemptCtx, x.body, stream)
		}
		if errors.Is(err, errCallerBody) {
			cancel()
		}
		bodySent <- err
		f.abortIfStalled(attemptCtx, x, target, cancelCause)
	}()
	result, err := f.receive(ctx, x, target, attempt, stream)
	cancel()
	if cause := context.Cause(attemptCtx); result == outcomeTruncated && errors.Is(cause, errSilent) {
		err = cause
	}
	bodyErr := <-bodySent
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
		Incarnation: uint64(target.Incarnation), Attempt: string(attempt), NotRun: x.notRun,
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

// silentStallTimeout is how long a response in progress may make no progress after its box is
// marked silent. A box that was marked in error keeps sending, and its response continues.
const silentStallTimeout = 2 * time.Second

// abortIfStalled cancels the attempt if its box stays marked silent for silentStallTimeout and the
// response makes no progress in that time. Without it, the caller could wait forever. A box that
// has refuted the mark is running, so its response may pause.
func (f *forwarder) abortIfStalled(ctx context.Context, x *exchange, target *route.Target, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-target.Silenced():
		}
		previous := x.frames.Load()
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(silentStallTimeout):
		}
		if target.IsSilent() && x.frames.Load() == previous {
			cancel(errSilent)
			return
		}
	}
}

// errCallerBody means that reading the caller's request body failed.
var errCallerBody = errors.New("reading the caller's body")

func sendBody(ctx context.Context, body *bodyReader, stream wire.DRPCBackend_ServeClient) error {
	for index := 0; ; index++ {
		data, err := body.chunk(ctx, index)
		if err != nil {
			return fmt.Errorf("%w: %w", errCallerBody, err)
		}
		if data == nil {
			return stream.Send(&wire.ServeRequest{End: true})
		}
		if err := stream.Send(&wire.ServeRequest{Body: data}); err != nil {
			return err
		}
	}
}

// receive waits for the first response frame and forwards the response. If there is none, it
// determines the outcome of the attempt with settle.
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

// errSilent means that the box was marked silent before its response was complete.
var errSilent = errors.New("the box fell silent")

// firstFrame waits for the first response frame. It fails when the deadline passes, the box is
// marked silent or the context ends.
func (f *forwarder) firstFrame(ctx context.Context, x *exchange, target *route.Target, stream wire.DRPCBackend_ServeClient) (*wire.ServeResponse, error) {
	type received struct {
		response *wire.ServeResponse
		err      error
	}
	arrived := make(chan received, 1)
	go func() {
		response, err := stream.Recv()
		arrived <- received{response, err}
	}()
	var expired <-chan time.Time
	if !x.deadline.IsZero() {
		timer := f.clock.NewTimer(x.deadline.Sub(f.clock.Now()))
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case got := <-arrived:
		if got.err == nil && got.response.RequestId != string(x.id) {
			return nil, errResponseMismatch
		}
		return got.response, got.err
	case <-expired:
		return nil, context.DeadlineExceeded
	case <-target.Silenced():
		return nil, errSilent
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *forwarder) refusalOutcome(target *route.Target, response *wire.ServeResponse) (outcome, error) {
	err := &refusedError{refusal: response.Refusal, detail: response.Detail}
	switch response.Refusal {
	case wire.Refusal_REFUSAL_DUPLICATE:
		// Another attempt with this id may have run, so the request may have been executed.
		return outcomeUnknown, err
	case wire.Refusal_REFUSAL_UNREACHABLE:
		target.Failed(f.clock.Now())
	}
	return outcomeNotExecuted, err
}

func (f *forwarder) recordLoad(target *route.Target, response *wire.ServeResponse) {
	if response.Load != nil {
		target.ReportLoad(int(response.Load.Running+response.Load.Waiting), f.clock.Now())
	}
}

// streamResponse writes the response head and then each body frame to the caller as it arrives.
func (f *forwarder) streamResponse(ctx context.Context, x *exchange, target *route.Target,
	stream wire.DRPCBackend_ServeClient, first *wire.ServeResponse,
) (outcome, error) {
	header := x.writer.Header()
	for _, h := range first.Head.Headers {
		header[h.Name] = h.Values
	}
	header.Set(headerBox, string(target.Box))
	if x.version != "" {
		header.Set(headerVersion, string(x.version))
	}
	x.writer.WriteHeader(int(first.Head.Status))
	f.metrics.ttfbSeconds.WithLabelValues(string(x.service)).Observe(f.clock.Since(x.arrived).Seconds())
	controller := http.NewResponseController(x.writer)
	for frame := first; ; {
		x.frames.Add(1)
		if len(frame.Body) > 0 {
			if _, err := x.writer.Write(frame.Body); err != nil {
				return outcomeCallerGone, err
			}
			if !frame.End {
				_ = controller.Flush()
			}
		}
		f.recordLoad(target, frame)
		if frame.Failed {
			return outcomeTruncated, fmt.Errorf("backend server truncated the response: %s", frame.Detail)
		}
		if frame.End {
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
		frame = next
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// settle determines the outcome of an attempt that failed without a response. It sends a Settle call
// to the agent, unless the caller is gone or no connection was opened. The response states whether
// the attempt has started; if it has not, the agent never starts it.
func (f *forwarder) settle(ctx context.Context, x *exchange, target *route.Target, attempt route.AttemptID, cause error) (outcome, error) {
	if x.request.Context().Err() != nil {
		return outcomeCallerGone, cause
	}
	if errors.Is(cause, errDial) {
		return outcomeNotExecuted, cause
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	response, err := wire.NewDRPCBackendClient(f.peers.Conn(target.Address)).Settle(callCtx, &wire.SettleRequest{
		RequestId: string(x.id), Attempt: string(attempt), Incarnation: uint64(target.Incarnation),
	})
	if err == nil && response.Known && !response.Started {
		return outcomeNotExecuted, cause
	}
	return outcomeUnknown, cause
}
