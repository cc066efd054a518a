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

// blackholeListener drops what comes in on the connections that are open when it is silenced.
type blackholeListener struct {
	net.Listener
	mu   sync.Mutex
	open []*blackholeConn
}

// Accept waits for a connection.
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

// Read drops what it reads once the connection is silent.
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

// emptyFleetServer answers one call of the service Fleet.
type emptyFleetServer struct {
	wire.DRPCFleetUnimplementedServer
}

// Published answers with nothing.
func (*emptyFleetServer) Published(context.Context, *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	return &wire.ManifestResponse{}, nil
}

// A stream that was opened again after it had fallen silent was put on a kept connection that
// was silent as well, and so on for each of those.
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

	keptCtx, giveUp := context.WithCancel(t.Context())
	kept := make(chan error)
	go func() {
		_, err := wire.NewDRPCFleetClient(peers.Conn(address)).Published(keptCtx, &wire.PublishedRequest{})
		kept <- err
	}()
	conn, err := peers.Dial(t.Context(), address)
	require.NoError(t, err)
	_, err = wire.NewDRPCFleetClient(conn).Published(t.Context(), &wire.PublishedRequest{})
	require.NoError(t, err)
	giveUp()
	require.ErrorIs(t, <-kept, context.Canceled)

	ctx, cancel := context.WithCancel(t.Context())
	conn, err = peers.Dial(ctx, address)
	require.NoError(t, err)
	cancel()
	<-conn.Closed()
	require.NoError(t, peers.Stop(t.Context()))
	require.NoError(t, server.Stop(t.Context()))
}
