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

// errDial reports that no connection could be opened, so that nothing was sent.
var errDial = errors.New("cannot connect")

const (
	// dialTimeout bounds connecting to another process. It is many round trips between
	// regions, and well below the second after which TCP sends a lost opening packet
	// again: a box that had no power when it was called is called anew.
	dialTimeout = 300 * time.Millisecond
	// maxMessageBytes bounds one message between the system's processes, in bytes.
	maxMessageBytes = 16 << 20
	// peerIdleConns bounds the unused connections kept to one peer.
	peerIdleConns = 32
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = time.Minute
)

// PeerPool opens and keeps connections to other processes. A connection carries one
// call at a time, so a peer has as many as there are calls in progress, and the
// idle ones are kept for a while.
type PeerPool struct {
	pool *drpcpool.Pool[member.Address, drpcpool.Conn]
	// dial opens a connection.
	dial func(ctx context.Context, address member.Address) (net.Conn, error)
}

// NewPeerPool returns peers without connections.
func NewPeerPool() *PeerPool {
	dialer := upstream.NewDialer(dialTimeout)
	dial := func(ctx context.Context, address member.Address) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", string(address))
	}
	return &PeerPool{dial: dial, pool: drpcpool.New[member.Address, drpcpool.Conn](drpcpool.Options{
		Expiration: idleConnTimeout, KeyCapacity: peerIdleConns,
	})}
}

// String returns the service's name.
func (p *PeerPool) String() string { return "peers" }

// Stop closes the idle connections.
func (p *PeerPool) Stop(context.Context) error { return p.pool.Close() }

// Conn returns a connection for one call. The errors of the call wrap errDial if
// the peer could not be reached.
func (p *PeerPool) Conn(address member.Address) drpc.Conn {
	return p.pool.Get(context.Background(), address, p.connect)
}

// Dial returns a new connection, which is closed when the context ends. It is for calls that
// must not wait on a kept connection: that may have gone silent, which only the time-out of
// a call shows. The error wraps errDial if the peer could not be reached.
func (p *PeerPool) Dial(ctx context.Context, address member.Address) (drpc.Conn, error) {
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

func (p *PeerPool) connect(ctx context.Context, address member.Address) (drpcpool.Conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// PeerServer answers the calls of other processes.
type PeerServer struct {
	mux   *drpcmux.Mux
	tasks *kernel.TaskGroup
}

// NewPeerServer returns a server on a listener; register what it answers with
// the mux before anyone is told of the address.
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
