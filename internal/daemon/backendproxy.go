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
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// defaultDrainDelay is within what time a box that is leaving gets nothing new.
const defaultDrainDelay = 2 * time.Second

// dedupWindow is how long an agent remembers the ids of requests.
const dedupWindow = 10 * time.Minute

// BackendProxy is the last check before a backend server: right incarnation, version
// live, box not leaving, and not run before. It then passes the request on.
type BackendProxy struct {
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *Metrics
	client  *http.Client
	// noReuseClient opens a connection for each request. The common client may send a
	// request without a body again by itself when a kept connection turns out
	// to be closed; a request that may not be repeated must not go that way.
	noReuseClient *http.Client
	engineURL     string
	serviceURLs   map[member.Service]string
	peers         *PeerPool
	record        func() member.Record
	dedup         *route.DedupRegistry

	mu sync.Mutex
	// drainDelay is how long a box that is leaving goes on refusing.
	drainDelay time.Duration
	leaving    bool
	versions   map[route.ServiceVersion]*versionState
	running    int
	// idle is closed when a Stop that waits sees the last request end.
	idle chan struct{}
}

// versionState is a version that may be asked for, with its requests in progress.
type versionState struct {
	accepting bool
	running   int
	// drained is closed when a Close that waits sees the last request end.
	drained chan struct{}
}

// NewBackendProxy returns a gate that refuses everything until Open.
func NewBackendProxy(engine string, services map[member.Service]string, peers *PeerPool, record func() member.Record,
	clock clockwork.Clock, log zerolog.Logger, metrics *Metrics,
) *BackendProxy {
	g := &BackendProxy{
		clock: clock, log: log, metrics: metrics,
		client: newBackendClient(false), noReuseClient: newBackendClient(true),
		engineURL: engine, serviceURLs: services, peers: peers, record: record,
		dedup:      route.NewDedupRegistry(dedupWindow),
		versions:   make(map[route.ServiceVersion]*versionState),
		drainDelay: defaultDrainDelay,
	}
	for service := range services {
		g.Enable(route.ServiceVersion{Service: service})
	}
	return g
}

// backendIdleConns bounds the unused connections kept to one backend server.
const backendIdleConns = 64

func newBackendClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableCompression: true, DisableKeepAlives: fresh,
			MaxIdleConnsPerHost: backendIdleConns, IdleConnTimeout: idleConnTimeout,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// String returns the service's name.
func (g *BackendProxy) String() string { return "gate" }

// Stop refuses new requests, long enough for every entry box to hear that the
// box is leaving, and waits for those in progress.
func (g *BackendProxy) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	select {
	case <-g.clock.After(g.drainDelay):
	case <-ctx.Done():
	}
	g.mu.Lock()
	running := g.running
	if running > 0 {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	if running == 0 {
		return nil
	}
	g.log.Info().Int("running", running).Msg("waiting for requests in progress")
	select {
	case <-idle:
		g.client.CloseIdleConnections()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Enable lets requests for a place through.
func (g *BackendProxy) Enable(place route.ServiceVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions[place] = &versionState{accepting: true}
}

// Disable refuses new requests for a place; those in progress go on.
func (g *BackendProxy) Disable(place route.ServiceVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, ok := g.versions[place]; ok {
		held.accepting = false
	}
}

// Drain refuses new requests for a place and waits until those in progress are
// done. It reports whether they are.
func (g *BackendProxy) Drain(ctx context.Context, place route.ServiceVersion) bool {
	g.mu.Lock()
	held, ok := g.versions[place]
	if !ok {
		g.mu.Unlock()
		return true
	}
	held.accepting = false
	if held.running == 0 {
		delete(g.versions, place)
		g.mu.Unlock()
		return true
	}
	held.drained = make(chan struct{})
	drained := held.drained
	g.mu.Unlock()
	select {
	case <-drained:
		g.mu.Lock()
		delete(g.versions, place)
		g.mu.Unlock()
		return true
	case <-ctx.Done():
		return false
	}
}

// admit checks a request and counts it. The refusal is NONE if it may run; then
// leave must be called once.
func (g *BackendProxy) admit(head *wire.RequestHead) (leave func(), refusal wire.Refusal, detail string) {
	record := g.record()
	place := route.ServiceVersion{Service: member.Service(head.Service), Version: table.ModelVersion(head.Version)}
	g.mu.Lock()
	defer g.mu.Unlock()
	held, ok := g.versions[place]
	switch {
	case head.Incarnation != uint64(record.Incarnation):
		return nil, wire.Refusal_REFUSAL_INCARNATION, fmt.Sprintf("this is incarnation %d", record.Incarnation)
	case g.leaving:
		return nil, wire.Refusal_REFUSAL_LEAVING, "the box is leaving"
	case !ok || !held.accepting:
		return nil, wire.Refusal_REFUSAL_VERSION, fmt.Sprintf("%s %s is not live here", head.Service, head.Version)
	}
	switch g.dedup.Start(route.RequestID(head.RequestId), route.AttemptID(head.Attempt), head.Repeatable, g.clock.Now()) {
	case route.StartDuplicate:
		return nil, wire.Refusal_REFUSAL_DUPLICATE, "the request id ran before"
	case route.StartSettled:
		return nil, wire.Refusal_REFUSAL_SETTLED, "the attempt was settled as not started"
	case route.StartAllowed:
	}
	held.running++
	g.running++
	return func() { g.done(held) }, wire.Refusal_REFUSAL_NONE, ""
}

func (g *BackendProxy) done(held *versionState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held.running--
	g.running--
	if !held.accepting && held.running == 0 && held.drained != nil {
		close(held.drained)
		held.drained = nil
	}
	if g.idle != nil && g.running == 0 {
		close(g.idle)
		g.idle = nil
	}
}

func (g *BackendProxy) load() *wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.Load{Running: uint32(g.running)}
}

// Settle tells whether an attempt was started; one that was not never will be.
func (g *BackendProxy) Settle(_ context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error) {
	if request.Incarnation != uint64(g.record().Incarnation) {
		return &wire.SettleResponse{Known: false}, nil
	}
	started := g.dedup.Settle(route.AttemptID(request.Attempt), g.clock.Now())
	return &wire.SettleResponse{Known: true, Started: started}, nil
}

// Serve takes one request from an entry box.
func (g *BackendProxy) Serve(stream wire.DRPCBackend_ServeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Head == nil {
		return errors.New("first frame has no head")
	}
	leave, refusal, detail := g.admit(first.Head)
	if refusal == wire.Refusal_REFUSAL_NONE {
		if refusal, detail = g.claimAtWitness(stream.Context(), first.Head); refusal != wire.Refusal_REFUSAL_NONE {
			leave()
		}
	}
	if refusal != wire.Refusal_REFUSAL_NONE {
		g.metrics.gateRequests.WithLabelValues(refusalLabel(refusal)).Inc()
		return g.sendRefusal(stream, first.Head, refusal, detail)
	}
	defer leave()
	return g.forward(stream, first)
}

func refusalLabel(refusal wire.Refusal) string {
	return strings.ToLower(strings.TrimPrefix(refusal.String(), "REFUSAL_"))
}

func (g *BackendProxy) sendRefusal(stream wire.DRPCBackend_ServeStream, head *wire.RequestHead, refusal wire.Refusal, detail string) error {
	return stream.Send(&wire.ServeResponse{RequestId: head.RequestId, Refusal: refusal, Detail: detail, Load: g.load()})
}

// forward sends the request to the backend server and its answer back.
func (g *BackendProxy) forward(stream wire.DRPCBackend_ServeStream, first *wire.ServeRequest) error {
	head := first.Head
	request, err := g.newBackendRequest(stream, first)
	if err != nil {
		return g.sendFailure(stream, head, err)
	}
	client := g.client
	if !head.Repeatable && request.Body == http.NoBody {
		client = g.noReuseClient
	}
	response, err := client.Do(request)
	if err != nil {
		if neverConnected(err) {
			g.dedup.Abandon(route.RequestID(head.RequestId), route.AttemptID(head.Attempt), g.clock.Now())
			g.releaseClaims(head)
			g.metrics.gateRequests.WithLabelValues(refusalLabel(wire.Refusal_REFUSAL_UNREACHABLE)).Inc()
			return g.sendRefusal(stream, head, wire.Refusal_REFUSAL_UNREACHABLE, err.Error())
		}
		return g.sendFailure(stream, head, err)
	}
	defer func() { _ = response.Body.Close() }()
	return g.sendResponse(stream, head, response)
}

// neverConnected reports that no connection was opened, so that the backend
// server never saw the request.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (g *BackendProxy) sendFailure(stream wire.DRPCBackend_ServeStream, head *wire.RequestHead, err error) error {
	g.metrics.gateRequests.WithLabelValues("failed").Inc()
	return stream.Send(&wire.ServeResponse{RequestId: head.RequestId, Failed: true, Detail: err.Error(), Load: g.load()})
}

func (g *BackendProxy) newBackendRequest(stream wire.DRPCBackend_ServeStream, first *wire.ServeRequest) (*http.Request, error) {
	head := first.Head
	base := g.serviceURLs[member.Service(head.Service)]
	if head.Version != "" {
		base = g.engineURL
	}
	var body io.Reader = http.NoBody
	switch {
	case !first.End:
		body = &streamBody{stream: stream, rest: first.Body}
	case len(first.Body) > 0:
		// Without a way to rewind it, the client cannot send it a second time.
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

// streamBody reads the body from the frames that follow the head.
type streamBody struct {
	stream wire.DRPCBackend_ServeStream
	rest   []byte
	ended  bool
}

// Read implements io.Reader.
func (b *streamBody) Read(buffer []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("reading the request's body: %w", unexpectedEOF(err))
		}
		b.rest = frame.Body
		b.ended = frame.End
	}
	n := copy(buffer, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// responseBuffers keeps the buffers through which answers pass.
var responseBuffers = sync.Pool{New: func() any { return new([bodyChunkSize]byte) }}

// sendResponse sends the backend server's answer in frames; the last one says whether
// the answer is whole.
func (g *BackendProxy) sendResponse(stream wire.DRPCBackend_ServeStream, head *wire.RequestHead, response *http.Response) error {
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
			frame.Load = g.load()
			if frame.Failed {
				frame.Detail = err.Error()
			}
			g.metrics.gateRequests.WithLabelValues(responseLabel(frame)).Inc()
			return stream.Send(frame)
		}
		if err := stream.Send(frame); err != nil {
			g.metrics.gateRequests.WithLabelValues("caller-gone").Inc()
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
