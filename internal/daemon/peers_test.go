package daemon

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// blackholeListener drops the input of the connections that are open when dropInput is called.
type blackholeListener struct {
	net.Listener
	mu   sync.Mutex
	open []*blackholeConn
}

// Accept accepts a connection and records it.
func (l *blackholeListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &blackholeConn{Conn: raw, dropping: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, conn)
	return conn, nil
}

func (l *blackholeListener) dropInput() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		close(conn.dropping)
	}
	l.open = nil
}

type blackholeConn struct {
	net.Conn
	dropping chan struct{}
}

// Read drops the data that it reads once dropping is closed.
func (c *blackholeConn) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		select {
		case <-c.dropping:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// emptyFleetServer implements one call of the service Fleet.
type emptyFleetServer struct {
	wire.DRPCFleetUnimplementedServer
}

// Published returns an empty response.
func (*emptyFleetServer) Published(context.Context, *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	return &wire.ManifestResponse{}, nil
}

// Guards against a stream that hangs repeatedly: after a stream hung on a dead connection, it was
// reopened on a pooled connection, which was dead as well, and so on for each pooled one.
func TestDialedConnectionWorksWhilePooledOnesHang(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener, mux := &blackholeListener{Listener: raw}, drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, new(emptyFleetServer)))
	server, peers := NewPeerServer(listener, mux, zerolog.Nop()), NewPeerPool()
	address := member.Address(raw.Addr().String())
	_, err = wire.NewDRPCFleetClient(peers.Conn(address)).Published(t.Context(), &wire.PublishedRequest{})
	require.NoError(t, err)
	listener.dropInput()

	pooledCtx, cancelPooled := context.WithCancel(t.Context())
	pooled := make(chan error)
	go func() {
		_, err := wire.NewDRPCFleetClient(peers.Conn(address)).Published(pooledCtx, &wire.PublishedRequest{})
		pooled <- err
	}()
	conn, err := peers.Dial(t.Context(), address)
	require.NoError(t, err)
	_, err = wire.NewDRPCFleetClient(conn).Published(t.Context(), &wire.PublishedRequest{})
	require.NoError(t, err)
	cancelPooled()
	require.ErrorIs(t, <-pooled, context.Canceled)

	ctx, cancel := context.WithCancel(t.Context())
	conn, err = peers.Dial(ctx, address)
	require.NoError(t, err)
	cancel()
	<-conn.Closed()
	require.NoError(t, peers.Stop(t.Context()))
	require.NoError(t, server.Stop(t.Context()))
}
