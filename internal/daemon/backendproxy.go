package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// defaultDrainDelay is how long a leaving box refuses requests before it waits for those in
// progress. By then all entry boxes have received its announcement and send no new requests.
const defaultDrainDelay = 2 * time.Second

// dedupWindow is how long an agent remembers request ids to detect duplicates.
const dedupWindow = 10 * time.Minute

// BackendProxy checks requests from entry boxes and forwards them to the backend server of its
// box. It refuses a request that is meant for another incarnation of the agent, whose version
// is not live or that ran before, and every request while the box is leaving.
type BackendProxy struct {
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	client  *http.Client
	// noReuseClient opens a new connection for each request. The other client may resend a
	// request without a body when an idle connection turns out to be closed, which must not
	// happen to a request that is not repeatable.
	noReuseClient *http.Client
	engineURL     string
	serviceURLs   map[member.Service]string
	peers         *PeerPool
	record        func() member.Record
	dedup         *route.DedupRegistry

	mu sync.Mutex
	// drainDelay is how long Stop refuses new requests before it waits for those in progress.
	drainDelay time.Duration
	leaving    bool
	versions   map[route.ServiceVersion]*versionState
	running    int
	// idle is set while Stop waits, and closed when the last request has ended.
	idle chan struct{}
}

// versionState is a version of a service, with the number of its requests in progress.
type versionState struct {
	accepting bool
	running   int
	// drained is set while Drain waits, and closed when the last request has ended.
	drained chan struct{}
}

// NewBackendProxy returns a proxy to the engine and to the given services, by their base URLs. It
// accepts requests for the services at once, and for a version of a model after Enable.
func NewBackendProxy(engine string, services map[member.Service]string, peers *PeerPool, record func() member.Record,
	clock clockwork.Clock, log zerolog.Logger, metrics *Metrics,
) *BackendProxy {
	p := &BackendProxy{
		clock: clock, log: log, metrics: metrics,
		client: newBackendClient(false), noReuseClient: newBackendClient(true),
		engineURL: engine, serviceURLs: services, peers: peers, record: record,
		dedup:      route.NewDedupRegistry(dedupWindow),
		versions:   make(map[route.ServiceVersion]*versionState),
		drainDelay: defaultDrainDelay,
	}
	for service := range services {
		p.Enable(route.ServiceVersion{Service: service})
	}
	return p
}

// backendIdleConns is the maximum number of idle connections to one backend server.
const backendIdleConns = 64

func newBackendClient(disableKeepAlives bool) *http.Client {
	return upstream.NewHTTPClient(&http.Transport{
		DisableCompression: true, DisableKeepAlives: disableKeepAlives,
		MaxIdleConnsPerHost: backendIdleConns, IdleConnTimeout: idleConnTimeout,
		DialContext: upstream.DialContext(&net.Dialer{Timeout: dialTimeout}), MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// String returns the name of the service for logs.
func (p *BackendProxy) String() string { return "gate" }

// Stop refuses new requests from now on. It waits for drainDelay, so that every entry box
// receives the announcement that the box is leaving, and then for the requests in progress.
func (p *BackendProxy) Stop(ctx context.Context) error {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	select {
	case <-p.clock.After(p.drainDelay):
	case <-ctx.Done():
	}
	p.mu.Lock()
	running := p.running
	if running > 0 {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	p.mu.Unlock()
	if running == 0 {
		return nil
	}
	p.log.Info().Int("running", running).Msg("backend proxy is stopping; waiting for requests in progress")
	select {
	case <-idle:
		p.client.CloseIdleConnections()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Enable accepts requests for a version of a service.
func (p *BackendProxy) Enable(version route.ServiceVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[version] = &versionState{accepting: true}
}

// Disable refuses new requests for a version of a service. Requests in progress continue.
func (p *BackendProxy) Disable(version route.ServiceVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, ok := p.versions[version]; ok {
		state.accepting = false
	}
}

// Drain refuses new requests for a version of a service and waits for those in progress. It
// reports false if the context ends first.
func (p *BackendProxy) Drain(ctx context.Context, version route.ServiceVersion) bool {
	p.mu.Lock()
	state, ok := p.versions[version]
	if !ok {
		p.mu.Unlock()
		return true
	}
	state.accepting = false
	if state.running == 0 {
		delete(p.versions, version)
		p.mu.Unlock()
		return true
	}
	state.drained = make(chan struct{})
	drained := state.drained
	p.mu.Unlock()
	select {
	case <-drained:
		p.mu.Lock()
		delete(p.versions, version)
		p.mu.Unlock()
		return true
	case <-ctx.Done():
		return false
	}
}

// admit checks a request. If the request may run, admit counts it as running and returns
// REFUSAL_NONE; the caller must then call release once.
func (p *BackendProxy) admit(head *wire.RequestHead) (release func(), refusal wire.Refusal, detail string) {
	record := p.record()
	version := route.ServiceVersion{Service: member.Service(head.Service), Version: table.ModelVersion(head.Version)}
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.versions[version]
	switch {
	case head.Incarnation != uint64(record.Incarnation):
		return nil, wire.Refusal_REFUSAL_INCARNATION, fmt.Sprintf("this is incarnation %d", record.Incarnation)
	case p.leaving:
		return nil, wire.Refusal_REFUSAL_LEAVING, "the box is leaving"
	case !ok || !state.accepting:
		return nil, wire.Refusal_REFUSAL_VERSION, fmt.Sprintf("%s %s is not live here", head.Service, head.Version)
	}
	p.releaseNotRun(head.RequestId, head.NotRun)
	switch p.dedup.Start(route.RequestID(head.RequestId), route.AttemptID(head.Attempt), head.Repeatable, p.clock.Now()) {
	case route.StartDuplicate:
		return nil, wire.Refusal_REFUSAL_DUPLICATE, "the request id ran before"
	case route.StartSettled:
		return nil, wire.Refusal_REFUSAL_SETTLED, "the attempt was settled as not started"
	case route.StartAllowed:
	}
	state.running++
	p.running++
	return func() { p.done(state) }, wire.Refusal_REFUSAL_NONE, ""
}

func (p *BackendProxy) done(state *versionState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state.running--
	p.running--
	if !state.accepting && state.running == 0 && state.drained != nil {
		close(state.drained)
		state.drained = nil
	}
	if p.idle != nil && p.running == 0 {
		close(p.idle)
		p.idle = nil
	}
}

func (p *BackendProxy) load() *wire.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.Load{Running: uint32(p.running)}
}

// Settle reports whether an attempt has started. If not, the proxy will never start it. Known is
// false if the attempt was sent to another incarnation of the agent.
func (p *BackendProxy) Settle(_ context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error) {
	if request.Incarnation != uint64(p.record().Incarnation) {
		return &wire.SettleResponse{Known: false}, nil
	}
	started := p.dedup.Settle(route.AttemptID(request.Attempt), p.clock.Now())
	return &wire.SettleResponse{Known: true, Started: started}, nil
}

// Serve handles a request from an entry box: it forwards the request or sends a refusal.
func (p *BackendProxy) Serve(stream wire.DRPCBackend_ServeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Head == nil {
		return errors.New("first frame has no head")
	}
	release, refusal, detail := p.admit(first.Head)
	if refusal == wire.Refusal_REFUSAL_NONE {
		if refusal, detail = p.claimAtWitness(stream.Context(), first.Head); refusal != wire.Refusal_REFUSAL_NONE {
			release()
		}
	}
	if refusal != wire.Refusal_REFUSAL_NONE {
		p.metrics.proxyRequests.WithLabelValues(refusalLabel(refusal)).Inc()
		return p.sendRefusal(stream, first.Head, refusal, detail)
	}
	defer release()
	return p.forward(stream, first)
}

func refusalLabel(refusal wire.Refusal) string {
	return strings.ToLower(strings.TrimPrefix(refusal.String(), "REFUSAL_"))
}

func (p *BackendProxy) sendRefusal(stream wire.DRPCBackend_ServeStream, head *wire.RequestHead, refusal wire.Refusal, detail string) error {
	return stream.Send(&wire.ServeResponse{RequestId: head.RequestId, Refusal: refusal, Detail: detail, Load: p.load()})
}

// forward sends the request to the backend server and streams the response to the entry box.
func (p *BackendProxy) forward(stream wire.DRPCBackend_ServeStream, first *wire.ServeRequest) error {
	head := first.Head
	request, err := p.newBackendRequest(stream, first)
	if err != nil {
		return p.sendFailure(stream, head, err)
	}
	client := p.client
	if !head.Repeatable && request.Body == http.NoBody {
		client = p.noReuseClient
	}
	response, err := client.Do(request)
	if err != nil {
		if neverConnected(err) {
			p.dedup.Abandon(route.RequestID(head.RequestId), route.AttemptID(head.Attempt), p.clock.Now())
			p.releaseClaims(head)
			p.metrics.proxyRequests.WithLabelValues(refusalLabel(wire.Refusal_REFUSAL_UNREACHABLE)).Inc()
			return p.sendRefusal(stream, head, wire.Refusal_REFUSAL_UNREACHABLE, err.Error())
		}
		return p.sendFailure(stream, head, err)
	}
	defer func() { _ = response.Body.Close() }()
	return p.sendResponse(stream, head, response)
}

// neverConnected reports whether err means that no connection was opened, so that the backend
// server cannot have received the request.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (p *BackendProxy) sendFailure(stream wire.DRPCBackend_ServeStream, head *wire.RequestHead, err error) error {
	p.metrics.proxyRequests.WithLabelValues("failed").Inc()
	return stream.Send(&wire.ServeResponse{RequestId: head.RequestId, Failed: true, Detail: err.Error(), Load: p.load()})
}

func (p *BackendProxy) newBackendRequest(stream wire.DRPCBackend_ServeStream, first *wire.ServeRequest) (*http.Request, error) {
	head := first.Head
	base := p.serviceURLs[member.Service(head.Service)]
	if head.Version != "" {
		base = p.engineURL
	}
	var body io.Reader = http.NoBody
	switch {
	case !first.End:
		body = &streamBody{stream: stream, buffered: first.Body}
	case len(first.Body) > 0:
		// The wrapper hides the type of the reader, without which the client cannot rewind the
		// body and resend the request.
		body = struct{ io.Reader }{bytes.NewReader(first.Body)}
	}
	request, err := http.NewRequestWithContext(stream.Context(), head.Method, base+head.Path, body)
	if err != nil {
		return nil, err
	}
	request.Header = headersFromWire(head.Headers)
	if length := request.Header.Get("Content-Length"); length != "" && body != http.NoBody {
		if _, err := fmt.Sscan(length, &request.ContentLength); err != nil {
			return nil, fmt.Errorf("reading Content-Length: %w", err)
		}
	}
	request.Header.Del("Content-Length")
	request.Header.Set(headerRequestID, head.RequestId)
	request.Header.Set(headerGroup, head.Group)
	if head.Version != "" {
		request.Header.Set(provider.HeaderEngineVersion, head.Version)
	}
	return request, nil
}

// streamBody reads a request body from the frames of a Serve stream.
type streamBody struct {
	stream   wire.DRPCBackend_ServeStream
	buffered []byte
	ended    bool
}

// Read implements io.Reader.
func (b *streamBody) Read(buffer []byte) (int, error) {
	for len(b.buffered) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("reading the request's body: %w", unexpectedEOF(err))
		}
		b.buffered = frame.Body
		b.ended = frame.End
	}
	n := copy(buffer, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}

// responseBuffers holds the buffers for reading response bodies.
var responseBuffers = sync.Pool{New: func() any { return new([bodyChunkSize]byte) }}

// sendResponse sends the backend server's response in frames. The last frame states whether the
// response is complete: it sets End if so and Failed otherwise.
func (p *BackendProxy) sendResponse(stream wire.DRPCBackend_ServeStream, head *wire.RequestHead, response *http.Response) error {
	frame := &wire.ServeResponse{
		RequestId: head.RequestId,
		Head: &wire.AnswerHead{
			Status:  int32(response.StatusCode),
			Headers: headersToWire(response.Header, response.Header.Values("Connection")),
		},
	}
	buffer, _ := responseBuffers.Get().(*[bodyChunkSize]byte)
	defer responseBuffers.Put(buffer)
	for received := int64(0); ; {
		n, err := response.Body.Read(buffer[:])
		frame.Body = buffer[:n]
		received += int64(n)
		if err == nil && received == response.ContentLength {
			err = io.EOF
		}
		if err != nil {
			frame.End = errors.Is(err, io.EOF)
			frame.Failed = !frame.End
			frame.Load = p.load()
			if frame.Failed {
				frame.Detail = err.Error()
			}
			p.metrics.proxyRequests.WithLabelValues(responseLabel(frame)).Inc()
			return stream.Send(frame)
		}
		if err := stream.Send(frame); err != nil {
			p.metrics.proxyRequests.WithLabelValues("caller-gone").Inc()
			return err
		}
		frame = &wire.ServeResponse{RequestId: head.RequestId}
	}
}

func responseLabel(frame *wire.ServeResponse) string {
	if frame.End {
		return "answered"
	}
	return "cut"
}
