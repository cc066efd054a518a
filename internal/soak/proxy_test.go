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
	// silentUp and silentDown swallow what goes to the target and what comes from it;
	// connections stay open.
	silentUp, silentDown bool
	// refuse closes new connections at once.
	refuse bool
	open   map[net.Conn]bool
}

// newProxy listens at an address.
func newProxy(address, target string) (*proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(near)
	}
}

func (p *proxy) pass(near net.Conn) {
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
	p.mu.Lock()
	p.open[near] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, near)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go p.copy(far, near, func() bool { return p.silentUp }, done)
	go p.copy(near, far, func() bool { return p.silentDown }, done)
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
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// set changes the harm.
func (p *proxy) set(change func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// heal ends all harm. What was swallowed is lost, so open connections end too.
func (p *proxy) heal() {
	p.set(func(p *proxy) { p.delay, p.silentUp, p.silentDown, p.refuse = 0, false, false, false })
	p.reset()
}
