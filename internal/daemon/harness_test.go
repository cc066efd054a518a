package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/standin"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

// waitTimeout bounds each wait of a test. It is not a limit on speed.
const waitTimeout = 20 * time.Second

func eventually(t *testing.T, check func() bool, what string) {
	t.Helper()
	require.Eventually(t, check, waitTimeout, 5*time.Millisecond, what)
}

func nopLogger() zerolog.Logger { return zerolog.Nop() }

func copyBody(w io.Writer, response *http.Response) (int64, error) { return io.Copy(w, response.Body) }

// listenPeers serves a mux to other processes until the test ends.
func listenPeers(t *testing.T, mux *drpcmux.Mux) member.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewPeerServer(listener, mux, nopLogger())
	t.Cleanup(func() { stopService(t, server) })
	return member.Address(listener.Addr().String())
}

type stopper interface{ Stop(context.Context) error }

func stopService(t *testing.T, service stopper) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, service.Stop(ctx))
}

func newTestPeerPool(t *testing.T) *PeerPool {
	t.Helper()
	peers := NewPeerPool()
	t.Cleanup(func() { stopService(t, peers) })
	return peers
}

func serveHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// testNode is the replicated state of an entry box without listeners.
type testNode struct {
	store   *state.Store
	view    *View
	replica *Replica
	address member.Address
}

func newTestNode(t *testing.T, instance uint64, links func() Links) *testNode {
	t.Helper()
	n := &testNode{store: state.NewStore(instance)}
	n.view = NewView(n.store, "kita", nopLogger())
	n.replica = NewReplica(n.store, newTestPeerPool(t), clockwork.NewRealClock(), nopLogger(), links)
	t.Cleanup(func() {
		stopService(t, n.replica)
		stopService(t, n.view)
	})
	return n
}

func noLinks() Links { return Links{IsRelay: true} }

func always() bool { return true }

// fixedListener returns a function that returns the given listener.
func fixedListener(listener net.Listener) func() (net.Listener, error) {
	return func() (net.Listener, error) { return listener, nil }
}

// testPlatform provides a key-value service and a weight source with fault injection.
type testPlatform struct {
	kvServer *standin.KeyValue
	registry *standin.Registry
	client   *http.Client
	kvClient provider.KeyValue
	source   provider.WeightSource
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	clock := clockwork.NewRealClock()
	p := &testPlatform{kvServer: standin.NewKeyValue(clock), registry: standin.NewRegistry(clock, 64<<20), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(p.client.CloseIdleConnections)
	p.kvClient = provider.NewKeyValue(serveHTTP(t, p.kvServer), p.client)
	p.source = provider.NewWeightSource("origin", serveHTTP(t, p.registry), p.client)
	return p
}

func (p *testPlatform) publish(t *testing.T, model, version string, content []byte, chunk int64) {
	t.Helper()
	_, err := p.registry.Publish(model, version, []standin.NamedFile{{Name: "weights", Content: content}}, chunk)
	require.NoError(t, err)
}
