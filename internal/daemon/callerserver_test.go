package daemon

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
)

// callerFixture is the caller server of an entry box, in front of one agent's backend proxy.
type callerFixture struct {
	*proxyFixture
	callers *CallerServer
	base    string
	client  *http.Client
}

func newCallerFixture(t *testing.T, backend string, change func(*settings.Requests)) *callerFixture {
	t.Helper()
	f := &callerFixture{proxyFixture: newProxyFixture(t, backend)}
	n := newTestNode(t, 1, noLinks)
	record := member.Record{
		Box: "b", Role: member.RoleAgent, Status: member.StatusUp, Region: "kita", Peers: f.address,
		Incarnation: testIncarnation, Services: []member.Service{"chizu"},
	}
	item, err := record.Item()
	require.NoError(t, err)
	n.store.Apply([]state.Item{item}, state.OriginLocal)
	eventually(t, func() bool { return n.view.Router().Count(route.ServiceVersion{Service: "chizu"}) == 1 }, "the box is known")
	var loaded settings.Settings
	loaded.Default()
	loaded.Requests.EntriesTTL = settings.Duration(time.Millisecond)
	change(&loaded.Requests)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.callers = NewCallerServer(CallerServerOptions{
		Listen: fixedListener(listener), Ready: always, OnListening: func() {},
		Settings: loaded.Requests, Region: "kita", View: n.view, Peers: newTestPeerPool(t),
		Clock: clockwork.NewRealClock(), Log: nopLogger(), Metrics: NewMetrics(),
	})
	f.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		stopService(t, f.callers)
	})
	f.base = "http://" + listener.Addr().String()
	return f
}

// get sends a GET request; headers are alternating names and values.
func (f *callerFixture) get(t *testing.T, path string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.base+path, http.NoBody)
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func keepSettings(*settings.Requests) {}

// The view may not change for hours after an entry box has started. The first request for a service
// must get a slot without waiting for such a change.
func TestFirstRequestRunsWithoutPriorViewChange(t *testing.T) {
	f := newCallerFixture(t, serveHTTP(t, http.HandlerFunc(echoRequest)), keepSettings)
	time.Sleep(2 * admissionUpdateDelay)
	response := f.get(t, "/v1/services/chizu/x%2Fy?a=%20b", headerDeadline, "5000")
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "b", response.Header.Get(headerBox))
	require.NotEmpty(t, response.Header.Get(headerRequestID))
	body := new(strings.Builder)
	_, err := copyBody(body, response)
	require.NoError(t, err)
	require.Equal(t, "GET /x%2Fy?a=%20b ", body.String(), "the path must be forwarded unchanged")
}

func TestInvalidHeaderIsNamedInResponse(t *testing.T) {
	f := newCallerFixture(t, "http://127.0.0.1:1", keepSettings)
	for header, value := range map[string]string{
		headerRepeatable: "maybe", headerPriority: "high", headerDeadline: "-1", headerRequestID: strings.Repeat("x", 129),
	} {
		response := f.get(t, "/v1/services/chizu/", header, value)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, header)
		require.Equal(t, problemType, response.Header.Get("Content-Type"))
		body := new(strings.Builder)
		_, _ = copyBody(body, response)
		require.Contains(t, body.String(), header)
	}
}

func TestRefusedRequestCarriesRetryAfter(t *testing.T) {
	f := newCallerFixture(t, "http://127.0.0.1:1", keepSettings)
	for _, path := range []string{"/v1/services/nothing/", "/v1/services/chizu/"} {
		response := f.get(t, path)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "not-run", response.Header.Get(headerOutcome))
		require.Equal(t, "1", response.Header.Get("Retry-After"))
	}
}

// Callers choose service and group names freely. Unknown names must not add metric labels
// without bound.
func TestUnknownNamesShareOneMetricLabel(t *testing.T) {
	f := newCallerFixture(t, serveHTTP(t, http.HandlerFunc(echoRequest)), keepSettings)
	for i := range 20 {
		name := fmt.Sprint("made-up-", i)
		f.get(t, "/v1/services/chizu/", headerGroup, name)
		f.get(t, "/v1/services/"+name+"/", headerGroup, name)
	}
	require.Equal(t, 2, testutil.CollectAndCount(f.callers.metrics.requests), "one for the service, one for all others")
}

// With one request running and one waiting, a third request of the group must be refused
// immediately, and the other two must complete.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	started, proceed := make(chan struct{}, 8), make(chan struct{})
	f := newCallerFixture(t, serveHTTP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-proceed
	})), func(requests *settings.Requests) { requests.SlotsPerReplica, requests.QueuePerGroup = 1, 1 })
	statuses := make(chan int, 2)
	for range 2 {
		go func() { statuses <- f.get(t, "/v1/services/chizu/").StatusCode }()
	}
	<-started
	eventually(t, func() bool { waiting, _ := f.callers.admission("chizu").Counts(); return waiting == 1 }, "one request waits in the queue")
	response := f.get(t, "/v1/services/chizu/")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not-run", response.Header.Get(headerOutcome))
	close(proceed)
	require.Equal(t, http.StatusOK, <-statuses)
	require.Equal(t, http.StatusOK, <-statuses)
}

// The first attempt may have run before its connection broke. A refusal of a later attempt must
// not turn the outcome into "not-run".
func TestOutcomeStaysUnknownOnceAnAttemptMayHaveRun(t *testing.T) {
	f := newCallerFixture(t, serveHTTP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	})), keepSettings)
	response := f.get(t, "/v1/services/chizu/", headerRepeatable, "true")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(headerOutcome))
}

func TestBoundSocketRefusesConnectionsUntilListening(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		socket, err := bindSocket(address)
		if err != nil && strings.HasPrefix(address, "[") {
			t.Logf("IPv6 is not available: %v", err)
			continue
		}
		require.NoError(t, err)
		_, err = bindSocket(socket.address)
		require.Error(t, err, "a bound address must not be bound again")
		_, err = net.Dial("tcp", socket.address)
		require.ErrorContains(t, err, "refused")
		listener, err := socket.listen()
		require.NoError(t, err)
		require.Equal(t, socket.address, listener.Addr().String())
		conn, err := net.Dial("tcp", socket.address)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.NoError(t, listener.Close())
	}
}
