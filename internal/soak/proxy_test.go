package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes TCP connections on to a target and harms them.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// delay holds up each block in both directions.
	delay time.Duration
	// blackholeUp and blackholeDown swallow what goes to the target and what comes from it;
	// connections stay open.
	blackholeUp, blackholeDown bool
	// refuse closes new connections at once.
	refuse bool
	conns  map[net.Conn]*connState
}

// connState is one connection that passes.
type connState struct {
	// blackholed swallows what comes in from either side, for good.
	blackholed bool
}

// newProxy listens at an address.
func newProxy(address, target string) (*proxy, error) {
	p := &proxy{target: target, conns: make(map[net.Conn]*connState)}
	return p, p.listen(address)
}

// listen begins to listen at an address.
func (p *proxy) listen(address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.accept(listener)
	return nil
}

// close stops listening and breaks all connections off, as a process does that crashes.
func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
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
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(near)
	}
}

func (p *proxy) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	p.mu.Lock()
	refused := p.refuse
	p.mu.Unlock()
	if refused {
		return
	}
	var dialer net.Dialer
	far, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	passing := new(connState)
	p.mu.Lock()
	p.conns[near] = passing
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, near)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go p.copy(far, near, func() bool { return p.blackholeUp || passing.blackholed }, done)
	go p.copy(near, far, func() bool { return p.blackholeDown || passing.blackholed }, done)
	<-done
}

// copy passes blocks on until one side ends.
func (p *proxy) copy(to io.Writer, from io.Reader, silent func() bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay, swallow := p.delay, silent()
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !swallow {
			if _, problem := to.Write(buffer[:n]); problem != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset breaks all connections off without a proper end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// blackholeOpenConns lets the connections that are open go silent for good; new ones pass.
func (p *proxy) blackholeOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholeOpenConnsLocked()
}

// blackholeOpenConnsLocked is blackholeOpenConns with the lock held.
func (p *proxy) blackholeOpenConnsLocked() {
	for _, passing := range p.conns {
		passing.blackholed = true
	}
}

// endBlackhole ends a silence in which calls were swallowed: they get no answer any more, and
// their connections stay open.
func (p *proxy) endBlackhole() {
	p.set(func(p *proxy) {
		p.blackholeOpenConnsLocked()
		p.blackholeUp, p.blackholeDown = false, false
	})
}

// set changes the harm.
func (p *proxy) set(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// clearFaults ends all harm. What was swallowed is lost, so open connections end too.
func (p *proxy) clearFaults() {
	p.set(func(p *proxy) { p.delay, p.blackholeUp, p.blackholeDown, p.refuse = 0, false, false, false })
	p.reset()
}
