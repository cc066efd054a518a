package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// callerLimits are the limits of what callers may send that the HTTP server enforces.
type callerLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// defaultCallerLimits are the limits until the operators' limits are known.
var defaultCallerLimits = callerLimits{maxHeaderBytes, headerTimeout, idleTimeout}

// newCallerLimits returns the operators' limits, none of them below the default. Headers may have maxHeaderBytes at most.
func newCallerLimits(limits *fleet.Limits, maxHeaderBytes int64) callerLimits {
	return callerLimits{
		headerBytes:   max(defaultCallerLimits.headerBytes, int(min(limits.HeaderBytes, maxHeaderBytes))),
		headerTimeout: max(defaultCallerLimits.headerTimeout, limits.HeaderTimeout),
		idleTimeout:   max(defaultCallerLimits.idleTimeout, limits.IdleTimeout),
	}
}

// callerListener serves HTTP on one address within limits that may change. The limits of an http.Server are fixed, so a change
// starts another one for the connections that are opened from then on. The server before closes its connections after their next
// response, and idle ones at once if the new limits allow requests that they would deny.
type callerListener struct {
	handler  http.Handler
	listener *upstream.Listener
	log      zerolog.Logger
	tasks    *kernel.TaskGroup

	mu      sync.Mutex
	limits  callerLimits
	current *limitedServer
	// servers are all servers that may have open connections.
	servers []*limitedServer
	// isStopped is set once Stop was called.
	isStopped bool
}

// limitedServer is an http.Server for the connections that a callerListener accepts while its limits are in force.
type limitedServer struct {
	*http.Server

	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
	// isRetired is set once other limits are in force. The connections then close after their next response.
	isRetired atomic.Bool
}

// serve returns a handler that closes the connections of a retired server after their responses.
func (s *limitedServer) serve(handler http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isRetired.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	}
}

// Accept implements net.Listener.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (s *limitedServer) Addr() net.Addr { return s.addr }

// listenerOf is the net.Listener from which the http.Server of a limitedServer takes its connections. Closing it closes no
// connection, as the Close of the http.Server does.
type listenerOf struct{ *limitedServer }

// Close implements net.Listener.
func (l listenerOf) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// newCallerListener starts to serve on an address with the default limits.
func newCallerListener(address string, handler http.Handler, log zerolog.Logger) (*callerListener, error) {
	listener, err := upstream.Listen(context.Background(), address)
	if err != nil {
		return nil, err
	}
	l := &callerListener{handler: handler, listener: listener, log: log, tasks: kernel.NewTaskGroup()}
	l.setLimits(defaultCallerLimits)
	l.tasks.Go(func(context.Context) { l.accept() })
	return l, nil
}

// callerConnKey is the key of a caller's connection in the contexts of its requests.
type callerConnKey struct{}

// withCallerConn returns the context of the requests of a connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// acknowledgedBytes returns a function that returns how many bytes the box of a request's caller has acknowledged on the connection.
func acknowledgedBytes(ctx context.Context) func() (bytes uint64, ok bool) {
	conn, _ := ctx.Value(callerConnKey{}).(net.Conn)
	return func() (uint64, bool) { return upstream.AcknowledgedBytes(conn) }
}

// accept hands each new connection to the current server.
func (l *callerListener) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Error().Str("service", "callers").Err(err).Msg("accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !l.hand(conn) {
			_ = conn.Close()
		}
	}
}

// acceptRetryDelay is the delay after a connection could not be accepted, for example because there are too many.
const acceptRetryDelay = 5 * time.Millisecond

// hand hands a connection to the current server, or to the next one if that is retired meanwhile. It returns false once the listener
// has stopped.
func (l *callerListener) hand(conn net.Conn) bool {
	for {
		l.mu.Lock()
		server, isStopped := l.current, l.isStopped
		l.mu.Unlock()
		if isStopped {
			return false
		}
		select {
		case server.conns <- conn:
			return true
		case <-server.closed:
		}
	}
}

// setLimits sets the limits of connections that are opened from now on.
func (l *callerListener) setLimits(limits callerLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isStopped || l.current != nil && l.limits == limits {
		return
	}
	if before := l.current; before != nil {
		l.log.Info().Int("header_bytes", limits.headerBytes).Dur("header_timeout_ms", limits.headerTimeout).
			Dur("idle_timeout_ms", limits.idleTimeout).Msg("limits of callers changed")
		retireAfter := time.Duration(0)
		if limits.headerBytes <= l.limits.headerBytes && limits.headerTimeout <= l.limits.headerTimeout {
			// Open connections take all requests that are allowed. Closing those that are idle would cut requests that are
			// under way.
			retireAfter = l.limits.idleTimeout
		}
		before.isRetired.Store(true)
		l.tasks.Go(func(ctx context.Context) { l.retire(ctx, before, retireAfter) })
	}
	s := &limitedServer{conns: make(chan net.Conn), closed: make(chan struct{}), addr: l.listener.Addr(), Server: &http.Server{
		ReadHeaderTimeout: limits.headerTimeout, IdleTimeout: limits.idleTimeout, MaxHeaderBytes: limits.headerBytes, ConnContext: withCallerConn,
	}}
	s.Handler = s.serve(l.handler)
	l.limits, l.current = limits, s
	l.servers = append(l.servers, s)
	l.tasks.Go(func(context.Context) {
		if err := s.Serve(listenerOf{s}); !errors.Is(err, http.ErrServerClosed) {
			l.log.Error().Str("service", "callers").Err(err).Msg("HTTP listener failed; no longer accepting connections")
		}
	})
}

// retire ends a server once its requests in progress have ended, but not before a delay, in which its idle connections close by
// themselves.
func (l *callerListener) retire(ctx context.Context, s *limitedServer, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return
	}
	if s.Shutdown(ctx) != nil {
		// Stop ends the server.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = slices.DeleteFunc(l.servers, func(other *limitedServer) bool { return other == s })
}

// Stop waits for the requests in progress. If the context ends first, it closes their connections.
func (l *callerListener) Stop(ctx context.Context) error {
	errs := []error{l.listener.Close()}
	l.mu.Lock()
	l.isStopped = true
	servers := slices.Clone(l.servers)
	l.mu.Unlock()
	var stopping sync.WaitGroup
	results := make(chan error, len(servers))
	for _, s := range servers {
		stopping.Go(func() {
			err := s.Shutdown(ctx)
			if err != nil {
				err = errors.Join(err, s.Close())
			}
			results <- err
		})
	}
	stopping.Wait()
	for range servers {
		errs = append(errs, <-results)
	}
	l.awaitRead(ctx)
	return errors.Join(append(errs, l.tasks.Stop(ctx))...)
}

// stopReadReserve is the last part of a stop, in which the box no longer waits for callers that have not read their responses.
const stopReadReserve = 100 * time.Millisecond

// awaitRead waits until the callers have read the responses that were sent to them, until shortly before the context ends.
func (l *callerListener) awaitRead(ctx context.Context) {
	waiting := l.listener.Lingering()
	if waiting == 0 {
		return
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-stopReadReserve))
		defer cancel()
	}
	err := l.listener.AwaitRead(ctx)
	l.log.Info().Int("waited_for", waiting).Int("left", l.listener.Lingering()).Err(err).Msg("callers have read their responses")
}
