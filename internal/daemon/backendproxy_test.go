package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// proxyFixture is an agent's backend proxy in front of a test's backend server, with a forwarder
// that sends requests to it.
type proxyFixture struct {
	proxy     *BackendProxy
	address   member.Address
	target    *route.Target
	forwarder *forwarder
	// witnesses are the witness addresses sent with each request.
	witnesses []member.Address
	// notRun are the attempts that are sent as ones that never run.
	notRun []string
}

const testIncarnation member.Incarnation = 7

func newProxyFixture(t *testing.T, backend string) *proxyFixture {
	t.Helper()
	clock := clockwork.NewRealClock()
	record := func() member.Record { return member.Record{Box: "b", Incarnation: testIncarnation} }
	f := &proxyFixture{proxy: NewBackendProxy("", map[member.Service]string{"chizu": backend}, newTestPeerPool(t), record, clock, nopLogger(), NewMetrics())}
	f.proxy.drainDelay = 10 * time.Millisecond
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, f.proxy))
	f.address = listenPeers(t, mux)
	f.forwarder = &forwarder{peers: newTestPeerPool(t), clock: clock, metrics: NewMetrics()}
	router := route.NewRouter("kita")
	router.Set(member.Record{
		Box: "b", Role: member.RoleAgent, Status: member.StatusUp, Peers: f.address, Incarnation: testIncarnation,
		Services: []member.Service{"chizu"},
	})
	f.target, _ = router.Pick(route.ServiceVersion{Service: "chizu"}, nil, clock.Now())
	return f
}

// send makes one attempt and returns its outcome and the response that a caller would receive.
func (f *proxyFixture) send(t *testing.T, request *http.Request, id, attempt string) (outcome, *recorder, error) {
	t.Helper()
	body, err := newBodyReader(request.Context(), request, 1<<20)
	require.NoError(t, err)
	writer := newRecorder()
	x := &exchange{
		id: route.RequestID(id), service: "chizu", path: request.URL.RequestURI(), request: request, writer: writer,
		body: body, arrived: time.Now(), notRun: f.notRun,
	}
	if deadline, ok := request.Context().Deadline(); ok {
		x.deadline = deadline
		x.request = request.WithContext(context.WithoutCancel(request.Context()))
	}
	result, err := f.forwarder.attempt(context.WithoutCancel(request.Context()), x, f.target, route.AttemptID(attempt), f.witnesses)
	return result, writer, err
}

// recorder is an http.ResponseWriter that records the response and implements http.Flusher.
type recorder struct {
	header http.Header
	status int
	body   strings.Builder
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

func (r *recorder) Header() http.Header                  { return r.header }
func (r *recorder) WriteHeader(status int)               { r.status = status }
func (r *recorder) Write(data []byte) (int, error)       { return r.body.Write(data) }
func (r *recorder) Flush()                               {}
func newPost(t *testing.T, body io.Reader) *http.Request { return newRequest(t.Context(), t, body) }

func newRequest(ctx context.Context, t *testing.T, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry/path?q=1", body)
	require.NoError(t, err)
	if request.Body != http.NoBody && request.ContentLength == 0 {
		request.ContentLength = -1 // an HTTP server reports an unknown length as -1
	}
	return request
}

func refusalOf(t *testing.T, err error) wire.Refusal {
	t.Helper()
	var refused *refusedError
	require.ErrorAs(t, err, &refused)
	return refused.refusal
}

func echoRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Backend", "yes")
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" ")
	_, _ = io.Copy(w, r.Body)
}

func TestResponseIsForwardedInFull(t *testing.T) {
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(echoRequest)))
	lengths := map[string]int{"short": 5, "empty": 0, "long": 1 << 20, "of unknown length": 2}
	for name, body := range map[string]io.Reader{
		"short": strings.NewReader("hello"), "empty": http.NoBody,
		"long": strings.NewReader(strings.Repeat("x", 1<<20)), "of unknown length": io.MultiReader(strings.NewReader("a"), strings.NewReader("b")),
	} {
		t.Run(name, func(t *testing.T) {
			request := newPost(t, body)
			result, got, err := f.send(t, request, name, name)
			require.NoError(t, err)
			require.Equal(t, outcomeDone, result)
			require.Equal(t, http.StatusAccepted, got.status)
			require.Equal(t, "yes", got.header.Get("X-Backend"))
			_, sent, _ := strings.Cut(got.body.String(), "POST /path?q=1 ")
			require.Len(t, sent, lengths[name])
		})
	}
}

func TestProxyRefusesRequestsItMustNotRun(t *testing.T) {
	ran := 0
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ })))
	result, _, _ := f.send(t, newPost(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeDone, result)

	result, _, err := f.send(t, newPost(t, http.NoBody), "one", "one/2")
	require.Equal(t, outcomeUnknown, result, "the id ran before, so the outcome must not be not-run")
	require.Equal(t, wire.Refusal_REFUSAL_DUPLICATE, refusalOf(t, err))

	f.target.Incarnation++
	result, _, err = f.send(t, newPost(t, http.NoBody), "two", "two/1")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_INCARNATION, refusalOf(t, err))
	f.target.Incarnation--

	f.proxy.Disable(route.ServiceVersion{Service: "chizu"})
	result, _, err = f.send(t, newPost(t, http.NoBody), "two", "two/2")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_VERSION, refusalOf(t, err))

	stopService(t, f.proxy)
	result, _, err = f.send(t, newPost(t, http.NoBody), "two", "two/3")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_LEAVING, refusalOf(t, err))
	require.Equal(t, 1, ran)
}

func TestFailedConnectionLeavesRequestRetryable(t *testing.T) {
	f := newProxyFixture(t, "http://127.0.0.1:1")
	result, _, err := f.send(t, newPost(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_UNREACHABLE, refusalOf(t, err))
	require.Equal(t, route.StartAllowed, f.proxy.dedup.Start("one", "one/2", false, time.Now()))
}

func TestTruncatedBackendResponseIsNeverComplete(t *testing.T) {
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half of the an")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})))
	result, got, _ := f.send(t, newPost(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeTruncated, result)
	require.Equal(t, "half of the an", got.body.String())
}

func TestMissingBackendResponseIsUnknownOutcome(t *testing.T) {
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })))
	result, _, _ := f.send(t, newPost(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeUnknown, result)
}

func TestDeadlineAfterStartIsUnknownOutcomeAndCancelsBackendRequest(t *testing.T) {
	canceled := make(chan struct{})
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	result, _, err := f.send(t, newRequest(ctx, t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeUnknown, result)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-canceled:
	case <-time.After(waitTimeout):
		require.Fail(t, "the request to the backend server was not canceled")
	}
}

// The entry box settles an attempt as not started while its request is still on the way to the
// agent. When the agent then receives the request, it must not run it.
func TestSettledAttemptNeverStarts(t *testing.T) {
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(echoRequest)))
	response, err := f.proxy.Settle(t.Context(), &wire.SettleRequest{Attempt: "one/1", Incarnation: uint64(testIncarnation)})
	require.NoError(t, err)
	require.True(t, response.Known)
	require.False(t, response.Started)
	result, _, err := f.send(t, newPost(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeNotExecuted, result)
	require.Equal(t, wire.Refusal_REFUSAL_SETTLED, refusalOf(t, err))
	response, err = f.proxy.Settle(t.Context(), &wire.SettleRequest{Attempt: "x", Incarnation: uint64(testIncarnation) - 1})
	require.NoError(t, err)
	require.False(t, response.Known, "the agent must not report on attempts of another incarnation")
}

func TestStopWaitsForRequestsInProgress(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	f := newProxyFixture(t, serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-proceed
		_, _ = io.WriteString(w, "done")
	})))
	results := make(chan outcome)
	go func() {
		result, _, _ := f.send(t, newPost(t, http.NoBody), "one", "one/1")
		results <- result
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		stopService(t, f.proxy)
		close(stopped)
	}()
	select {
	case <-stopped:
		require.Fail(t, "the proxy stopped while a request was in progress")
	case <-time.After(50 * time.Millisecond):
	}
	close(proceed)
	require.Equal(t, outcomeDone, <-results)
	<-stopped
}

// misroutingAgent responds with the id of another request, as if it had mixed up two streams.
type misroutingAgent struct {
	wire.DRPCBackendUnimplementedServer
}

func (*misroutingAgent) Serve(stream wire.DRPCBackend_ServeStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return stream.Send(&wire.ServeResponse{RequestId: "another", Head: &wire.AnswerHead{Status: 200}, Body: []byte("secret"), End: true})
}

func TestResponseOfAnotherRequestIsDiscarded(t *testing.T) {
	f := newProxyFixture(t, "http://127.0.0.1:1")
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, &misroutingAgent{}))
	f.target.Address = listenPeers(t, mux)
	result, got, err := f.send(t, newPost(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeUnknown, result)
	require.ErrorIs(t, err, errResponseMismatch)
	require.Empty(t, got.body.String())
}

func TestBodyIsReplayedUpToItsLimit(t *testing.T) {
	read := func(b *bodyReader) (string, error) {
		var all strings.Builder
		for index := 0; ; index++ {
			data, err := b.chunk(t.Context(), index)
			if err != nil || data == nil {
				return all.String(), err
			}
			all.Write(data)
		}
	}
	text := strings.Repeat("abcdefgh", bodyChunkSize/4)
	request := newPost(t, io.MultiReader(strings.NewReader(text)))
	replayed, err := newBodyReader(t.Context(), request, 1<<20)
	require.NoError(t, err)
	for range 2 {
		got, err := read(replayed)
		require.NoError(t, err)
		require.Equal(t, text, got)
	}
	require.True(t, replayed.replayable())
	overLimit, err := newBodyReader(t.Context(), newPost(t, io.MultiReader(strings.NewReader(text))), 10)
	require.NoError(t, err)
	got, err := read(overLimit)
	require.NoError(t, err)
	require.Equal(t, text, got, "the first attempt must get the complete body")
	require.False(t, overLimit.replayable())
	_, err = read(overLimit)
	require.ErrorIs(t, err, errBodyDiscarded)
	broken, err := newBodyReader(t.Context(), newPost(t, io.MultiReader(strings.NewReader("a"), brokenReader{})), 1<<20)
	require.NoError(t, err)
	_, err = read(broken)
	require.ErrorIs(t, err, errBroken)
}

var errBroken = errors.New("caller closed the connection")

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }
