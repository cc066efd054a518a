package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections to a target and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	// control sets the options of the proxy's sockets; nil for none.
	control func(network, address string, raw syscall.RawConn) error

	mu sync.Mutex
	// delay is added before each block is forwarded, in both directions.
	delay time.Duration
	// blackholeUp and blackholeDown drop the data to and from the target. Connections stay open.
	blackholeUp, blackholeDown bool
	// refuse closes new connections immediately.
	refuse bool
	// heldUntil is when held links go on.
	heldUntil time.Time
	// disturbances are the times at which connections were reset or lost data, or the server behind the proxy had a
	// fault that ends its responses.
	disturbances []timeSpan
	conns        map[net.Conn]*connState
	// listening is set while connections are accepted.
	listening bool
}

// proxyBuffer is the size of the buffers of the connections of a proxy, in bytes. Uploads that the target does not read wait.
const proxyBuffer = 32 << 10

// listenTimeout is how long a proxy waits for its address to be free.
const listenTimeout = time.Second

// limitBuffers sets the sizes of the buffers and of the segments of a connection.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, proxyBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, proxyBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
	})
}

// connState is the state of one forwarded connection.
type connState struct {
	// blackholed drops all further data in both directions until the connection is closed.
	blackholed bool
}

// newProxy returns a proxy that listens on address and forwards to target. control sets the options of its sockets; nil for none.
func newProxy(address, target string, control func(network, address string, raw syscall.RawConn) error) (*proxy, error) {
	p := &proxy{target: target, control: control, conns: make(map[net.Conn]*connState)}
	return p, p.listen(address)
}

// listen starts to accept connections on address. It does nothing if the proxy accepts connections already, as after two
// crashes of a server shortly after each other.
func (p *proxy) listen(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listening {
		return nil
	}
	config := net.ListenConfig{Control: p.control}
	listener, err := config.Listen(context.Background(), "tcp", address)
	for end := time.Now().Add(listenTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		// The socket that was closed before lasts until the goroutine that accepted from it has run.
		time.Sleep(time.Millisecond)
		listener, err = config.Listen(context.Background(), "tcp", address)
	}
	if err != nil {
		return err
	}
	p.listener, p.listening = listener, true
	go p.accept(listener)
	return nil
}

// close stops listening and resets all connections, like a crash of the process behind the proxy.
func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.listening = false
	p.mu.Unlock()
	p.reset()
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	p.mu.Lock()
	refused := p.refuse
	p.mu.Unlock()
	if refused {
		return
	}
	dialer := net.Dialer{Control: p.control}
	server, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	state := new(connState)
	p.mu.Lock()
	p.conns[client] = state
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		p.mu.Unlock()
	}()
	done := make(chan error, 2)
	go p.copy(server, client, func() bool { return p.blackholeUp || state.blackholed }, done)
	go p.copy(client, server, func() bool { return p.blackholeDown || state.blackholed }, done)
	first := <-done
	// The call that returns a reset of the server may be one of the other direction.
	_ = client.SetReadDeadline(time.Unix(1, 0))
	_ = server.SetDeadline(time.Unix(1, 0))
	if second := <-done; errors.Is(errors.Join(first, second), syscall.ECONNRESET) {
		_ = client.(*net.TCPConn).SetLinger(0)
	}
}

// copy forwards data until either side closes its connection, and sends the error of the side that did.
func (p *proxy) copy(to io.Writer, from io.Reader, blackholed func() bool, done chan<- error) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay, drop := p.delay, blackholed()
		if n > 0 {
			delay = max(delay, time.Until(p.heldUntil))
		}
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !drop {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				done <- writeErr
				return
			}
		}
		if err != nil {
			done <- err
			return
		}
	}
}

// reset aborts all connections with a TCP reset.
func (p *proxy) reset() {
	from := time.Now()
	defer func() { p.disturb(from, time.Now()) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// blackholeOpenConns drops all further data of the connections that are open. New connections work.
func (p *proxy) blackholeOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholeOpenConnsLocked()
}

// blackholeOpenConnsLocked is blackholeOpenConns for callers that hold the lock.
func (p *proxy) blackholeOpenConnsLocked() {
	now := time.Now()
	p.disturbances = append(p.disturbances, timeSpan{now, now})
	for _, state := range p.conns {
		state.blackholed = true
	}
}

// endBlackhole forwards new connections again. Connections that are open stay open but blackholed, so that calls on
// them never get a response.
func (p *proxy) endBlackhole() {
	p.set(func(p *proxy) {
		p.blackholeOpenConnsLocked()
		p.blackholeUp, p.blackholeDown = false, false
	})
}

// set changes the injected faults while it holds the lock.
func (p *proxy) set(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// clearFaults removes all faults and resets open connections, because dropped data leaves their streams incomplete.
func (p *proxy) clearFaults() {
	p.set(func(p *proxy) { p.delay, p.blackholeUp, p.blackholeDown, p.refuse = 0, false, false, false })
	p.reset()
}
