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

// silencedListener drops what comes in on the connections that are open when it is silenced.
type silencedListener struct {
	net.Listener
	mu   sync.Mutex
	open []*silencedConn
}

// Accept waits for a connection.
func (l *silencedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silencedConn{Conn: raw, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, conn)
	return conn, nil
}

func (l *silencedListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		close(conn.silent)
	}
	l.open = nil
}

type silencedConn struct {
	net.Conn
	silent chan struct{}
}

// Read drops what it reads once the connection is silent.
func (c *silencedConn) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		select {
		case <-c.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// publisher answers one call of the service Fleet.
type publisher struct {
	wire.DRPCFleetUnimplementedServer
}

// Published answers with nothing.
func (*publisher) Published(context.Context, *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	return &wire.ManifestResponse{}, nil
}

// A stream that was opened again after it had fallen silent was put on a kept connection that
// was silent as well, and so on for each of those.
func TestAConnectionOfItsOwnIsAnsweredWhileKeptOnesAreSilent(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener, mux := &silencedListener{Listener: raw}, drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, new(publisher)))
	server, peers := NewPeerServer(listener, mux, zerolog.Nop()), NewPeers()
	address := member.Address(raw.Addr().String())
	_, err = wire.NewDRPCFleetClient(peers.Conn(address)).Published(t.Context(), &wire.PublishedRequest{})
	require.NoError(t, err)
	listener.silence()

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
