package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// errDial means that the connection failed, so no part of the request was sent.
var errDial = errors.New("cannot connect")

const (
	// dialTimeout bounds connecting to another process. It covers many round trips between
	// regions and is well below the second after which TCP retransmits a lost SYN, so a box
	// that was powered off during the first attempt gets a new attempt sooner.
	dialTimeout = 300 * time.Millisecond
	// maxMessageBytes is the maximum size of a message between processes of the system.
	maxMessageBytes = 16 << 20
	// peerIdleConns is the maximum number of idle connections to one peer.
	peerIdleConns = 32
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = time.Minute
)

// PeerPool is a pool of connections to other processes. A connection carries one call at a time,
// so each call in progress has its own. Idle connections stay open for one minute.
type PeerPool struct {
	pool *drpcpool.Pool[member.Address, drpcpool.Conn]
	// dial opens a connection.
	dial func(ctx context.Context, address member.Address) (net.Conn, error)
}

// NewPeerPool returns an empty pool.
func NewPeerPool() *PeerPool {
	dialer := upstream.NewDialer(dialTimeout)
	dial := func(ctx context.Context, address member.Address) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", string(address))
	}
	return NewPeerPoolWithDial(dial)
}

// NewPeerPoolWithDial returns an empty pool that opens its connections with dial.
func NewPeerPoolWithDial(dial func(ctx context.Context, address member.Address) (net.Conn, error)) *PeerPool {
	return &PeerPool{dial: dial, pool: drpcpool.New[member.Address, drpcpool.Conn](drpcpool.Options{
		Expiration: idleConnTimeout, KeyCapacity: peerIdleConns,
	})}
}

// String returns the service's name.
func (p *PeerPool) String() string { return "peers" }

// Stop closes the idle connections.
func (p *PeerPool) Stop(context.Context) error { return p.pool.Close() }

// Conn returns a pooled connection for one call. The error of the call wraps errDial if
// the connection failed.
func (p *PeerPool) Conn(address member.Address) drpc.Conn {
	return p.pool.Get(context.Background(), address, p.connect)
}

// Dial returns a new connection, which is closed when the context ends. Use it for calls that must not
// hang on a pooled connection: a pooled connection can be dead without an error, which only the
// timeout of a call shows. The error wraps errDial if the connection failed.
func (p *PeerPool) Dial(ctx context.Context, address member.Address) (drpc.Conn, error) {
	return p.DialObserved(ctx, address, nil)
}

// DialObserved is like Dial. It calls onRead, which may be nil, with the number of bytes whenever some arrive: a large
// message takes seconds on a narrow link, and is received only once all of it has arrived.
func (p *PeerPool) DialObserved(ctx context.Context, address member.Address, onRead func(bytes int)) (drpc.Conn, error) {
	raw, err := p.dialRaw(ctx, address)
	if err != nil {
		return nil, err
	}
	if onRead != nil {
		raw = &observedConn{Conn: raw, onRead: onRead}
	}
	conn := newDRPCConn(raw)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

// observedConn is a connection that reports what arrives.
type observedConn struct {
	net.Conn
	onRead func(bytes int)
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead(n)
	}
	return n, err
}

func (p *PeerPool) connect(ctx context.Context, address member.Address) (drpcpool.Conn, error) {
	raw, err := p.dialRaw(ctx, address)
	if err != nil {
		return nil, err
	}
	return newDRPCConn(raw), nil
}

func (p *PeerPool) dialRaw(ctx context.Context, address member.Address) (net.Conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return raw, nil
}

func newDRPCConn(raw net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// PeerServer serves the calls of other processes.
type PeerServer struct {
	mux   *drpcmux.Mux
	tasks *kernel.TaskGroup
}

// NewPeerServer starts serving the services of mux on a listener. Register the services
// before announcing the address.
func NewPeerServer(listener net.Listener, mux *drpcmux.Mux, log zerolog.Logger) *PeerServer {
	s := &PeerServer{mux: mux, tasks: kernel.NewTaskGroup()}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	s.tasks.Go(func(ctx context.Context) {
		if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
			log.Error().Err(err).Msg("peer listener failed")
		}
	})
	return s
}

// String returns the service's name.
func (s *PeerServer) String() string { return "peer-server" }

// Stop closes the listener and every connection.
func (s *PeerServer) Stop(ctx context.Context) error { return s.tasks.Stop(ctx) }
