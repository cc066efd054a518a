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

// gated is an agent's gate before a backend server that a test writes.
type gated struct {
	gate    *Gate
	address member.Address
	target  *route.Target
	forward *forwarder
	// witnesses go with each request.
	witnesses []member.Address
}

const testIncarnation member.Incarnation = 7

func newGated(t *testing.T, backend string) *gated {
	t.Helper()
	clock := clockwork.NewRealClock()
	record := func() member.Record { return member.Record{Box: "b", Incarnation: testIncarnation} }
	g := &gated{gate: NewGate("", map[member.Service]string{"chizu": backend}, newTestPeers(t), record, clock, quiet(), NewMetrics())}
	g.gate.notice = 10 * time.Millisecond
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, g.gate))
	g.address = listenPeers(t, mux)
	g.forward = &forwarder{peers: newTestPeers(t), clock: clock, metrics: NewMetrics()}
	router := route.NewRouter("kita")
	router.Set(member.Record{
		Box: "b", Role: member.RoleAgent, Status: member.StatusUp, Peers: g.address, Incarnation: testIncarnation,
		Services: []member.Service{"chizu"},
	})
	g.target, _ = router.Pick(route.ServiceVersion{Service: "chizu"}, nil, clock.Now())
	return g
}

// send makes one attempt and returns what the caller would have got.
func (g *gated) send(t *testing.T, request *http.Request, id, attempt string) (outcome, *recorder, error) {
	t.Helper()
	body, err := newBodyReader(request.Context(), request, 1<<20)
	require.NoError(t, err)
	writer := newRecorder()
	x := &exchange{
		id: route.RequestID(id), service: "chizu", path: request.URL.RequestURI(), request: request, writer: writer,
		body: body, arrived: time.Now(),
	}
	if deadline, ok := request.Context().Deadline(); ok {
		x.deadline = deadline
		x.request = request.WithContext(context.WithoutCancel(request.Context()))
	}
	result, err := g.forward.attempt(context.WithoutCancel(request.Context()), x, g.target, route.AttemptID(attempt), g.witnesses)
	return result, writer, err
}

// recorder is a ResponseWriter that can be flushed.
type recorder struct {
	header http.Header
	status int
	body   strings.Builder
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

func (r *recorder) Header() http.Header               { return r.header }
func (r *recorder) WriteHeader(status int)            { r.status = status }
func (r *recorder) Write(data []byte) (int, error)    { return r.body.Write(data) }
func (r *recorder) Flush()                            {}
func post(t *testing.T, body io.Reader) *http.Request { return newRequest(t.Context(), t, body) }

func newRequest(ctx context.Context, t *testing.T, body io.Reader) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry/path?q=1", body)
	require.NoError(t, err)
	if request.Body != http.NoBody && request.ContentLength == 0 {
		request.ContentLength = -1 // as a server gives a length that is not known
	}
	return request
}

func refusalOf(t *testing.T, err error) wire.Refusal {
	t.Helper()
	var refused *refusedError
	require.ErrorAs(t, err, &refused)
	return refused.refusal
}

func echoHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Backend", "yes")
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" ")
	_, _ = io.Copy(w, r.Body)
}

func TestAnswerIsPassedOnWhole(t *testing.T) {
	g := newGated(t, serveHTTP(t, http.HandlerFunc(echoHandler)))
	lengths := map[string]int{"short": 5, "empty": 0, "long": 1 << 20, "of unknown length": 2}
	for name, body := range map[string]io.Reader{
		"short": strings.NewReader("hello"), "empty": http.NoBody,
		"long": strings.NewReader(strings.Repeat("x", 1<<20)), "of unknown length": io.MultiReader(strings.NewReader("a"), strings.NewReader("b")),
	} {
		t.Run(name, func(t *testing.T) {
			request := post(t, body)
			result, got, err := g.send(t, request, name, name)
			require.NoError(t, err)
			require.Equal(t, outcomeAnswered, result)
			require.Equal(t, http.StatusAccepted, got.status)
			require.Equal(t, "yes", got.header.Get("X-Backend"))
			_, sent, _ := strings.Cut(got.body.String(), "POST /path?q=1 ")
			require.Len(t, sent, lengths[name])
		})
	}
}

func TestGateRefusesWhatItMustNotRun(t *testing.T) {
	ran := 0
	g := newGated(t, serveHTTP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ })))
	result, _, _ := g.send(t, post(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeAnswered, result)

	result, _, err := g.send(t, post(t, http.NoBody), "one", "one/2")
	require.Equal(t, outcomeUnknown, result, "the id ran, so it cannot be said that it did not")
	require.Equal(t, wire.Refusal_REFUSAL_DUPLICATE, refusalOf(t, err))

	g.target.Incarnation++
	result, _, err = g.send(t, post(t, http.NoBody), "two", "two/1")
	require.Equal(t, outcomeNotRun, result)
	require.Equal(t, wire.Refusal_REFUSAL_INCARNATION, refusalOf(t, err))
	g.target.Incarnation--

	g.gate.Shut(route.ServiceVersion{Service: "chizu"})
	result, _, err = g.send(t, post(t, http.NoBody), "two", "two/2")
	require.Equal(t, outcomeNotRun, result)
	require.Equal(t, wire.Refusal_REFUSAL_VERSION, refusalOf(t, err))

	stopService(t, g.gate)
	result, _, err = g.send(t, post(t, http.NoBody), "two", "two/3")
	require.Equal(t, outcomeNotRun, result)
	require.Equal(t, wire.Refusal_REFUSAL_LEAVING, refusalOf(t, err))
	require.Equal(t, 1, ran)
}

func TestBackendServerThatTakesNoConnectionLeavesTheRequestFreeToRun(t *testing.T) {
	g := newGated(t, "http://127.0.0.1:1")
	result, _, err := g.send(t, post(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeNotRun, result)
	require.Equal(t, wire.Refusal_REFUSAL_UNREACHABLE, refusalOf(t, err))
	require.Equal(t, route.StartAllowed, g.gate.once.Start("one", "one/2", false, time.Now()))
}

func TestBackendServerThatBreaksOffIsNeverAWholeAnswer(t *testing.T) {
	g := newGated(t, serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half of the an")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})))
	result, got, _ := g.send(t, post(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeCut, result)
	require.Equal(t, "half of the an", got.body.String())
}

func TestBackendServerThatGivesNoAnswerIsUnknown(t *testing.T) {
	g := newGated(t, serveHTTP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })))
	result, _, _ := g.send(t, post(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeUnknown, result)
}

func TestDeadlineOfARequestThatStartedIsUnknownAndTheBackendServerIsTold(t *testing.T) {
	told := make(chan struct{})
	g := newGated(t, serveHTTP(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(told)
	})))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	result, _, err := g.send(t, newRequest(ctx, t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeUnknown, result)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-told:
	case <-time.After(waitLimit):
		require.Fail(t, "the cancel did not reach the backend server")
	}
}

// The agent has the request but has not looked at it: the entry box settles it,
// and when the agent comes to it, it must not run.
func TestAttemptThatWasSettledNeverStarts(t *testing.T) {
	g := newGated(t, serveHTTP(t, http.HandlerFunc(echoHandler)))
	answer, err := g.gate.Settle(t.Context(), &wire.SettleRequest{Attempt: "one/1", Incarnation: uint64(testIncarnation)})
	require.NoError(t, err)
	require.True(t, answer.Known)
	require.False(t, answer.Started)
	result, _, err := g.send(t, post(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeNotRun, result)
	require.Equal(t, wire.Refusal_REFUSAL_SETTLED, refusalOf(t, err))
	answer, err = g.gate.Settle(t.Context(), &wire.SettleRequest{Attempt: "x", Incarnation: uint64(testIncarnation) - 1})
	require.NoError(t, err)
	require.False(t, answer.Known, "another incarnation's requests are not known here")
}

func TestStopWaitsForRequestsInProgress(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	g := newGated(t, serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-proceed
		_, _ = io.WriteString(w, "done")
	})))
	results := make(chan outcome)
	go func() {
		result, _, _ := g.send(t, post(t, http.NoBody), "one", "one/1")
		results <- result
	}()
	<-begun
	stopped := make(chan struct{})
	go func() {
		stopService(t, g.gate)
		close(stopped)
	}()
	select {
	case <-stopped:
		require.Fail(t, "stopped while a request was in progress")
	case <-time.After(50 * time.Millisecond):
	}
	close(proceed)
	require.Equal(t, outcomeAnswered, <-results)
	<-stopped
}

// wrongAgent answers with another request's id, as one that mixes up streams.
type wrongAgent struct {
	wire.DRPCBackendUnimplementedServer
}

func (*wrongAgent) Serve(stream wire.DRPCBackend_ServeStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return stream.Send(&wire.ServeResponse{RequestId: "another", Head: &wire.AnswerHead{Status: 200}, Body: []byte("secret"), End: true})
}

func TestAnswerOfAnotherRequestReachesNobody(t *testing.T) {
	g := newGated(t, "http://127.0.0.1:1")
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterBackend(mux, &wrongAgent{}))
	g.target.Address = listenPeers(t, mux)
	result, got, err := g.send(t, post(t, http.NoBody), "one", "one/1")
	require.Equal(t, outcomeUnknown, result)
	require.ErrorIs(t, err, errWrongAnswer)
	require.Empty(t, got.body.String())
}

func TestBodyIsReplayedUpToItsLimit(t *testing.T) {
	read := func(b *bodyReader) (string, error) {
		var all strings.Builder
		for index := 0; ; index++ {
			piece, err := b.piece(t.Context(), index)
			if err != nil || piece == nil {
				return all.String(), err
			}
			all.Write(piece)
		}
	}
	text := strings.Repeat("abcdefgh", pieceSize/4)
	request := post(t, io.MultiReader(strings.NewReader(text)))
	kept, err := newBodyReader(t.Context(), request, 1<<20)
	require.NoError(t, err)
	for range 2 {
		got, err := read(kept)
		require.NoError(t, err)
		require.Equal(t, text, got)
	}
	require.True(t, kept.replayable())
	spent, err := newBodyReader(t.Context(), post(t, io.MultiReader(strings.NewReader(text))), 10)
	require.NoError(t, err)
	got, err := read(spent)
	require.NoError(t, err)
	require.Equal(t, text, got, "the first attempt gets it whole")
	require.False(t, spent.replayable())
	_, err = read(spent)
	require.ErrorIs(t, err, errBodySpent)
	broken, err := newBodyReader(t.Context(), post(t, io.MultiReader(strings.NewReader("a"), brokenReader{})), 1<<20)
	require.NoError(t, err)
	_, err = read(broken)
	require.ErrorIs(t, err, errBroken)
}

var errBroken = errors.New("caller went away")

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }
