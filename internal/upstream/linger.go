package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// lingerTimeout is how long a closed connection waits for its peer to read on. A peer that reads nothing for longer loses
	// the rest.
	lingerTimeout = 10 * time.Second
	// lingerCheckInterval is the time between two checks of a closed connection whose peer has not read everything.
	lingerCheckInterval = 50 * time.Millisecond
)

// Listener is a TCP listener whose connections fail soon after their peer's box stops responding, and stay open while a peer reads
// nothing. Closing one of them does not discard what its peer has not read: it ends the stream and closes the socket once the peer
// has read on, or has read nothing for lingerTimeout.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// lingering are the closed connections whose peers have not read everything.
	lingering map[*unreadConn]struct{}
	// changed is closed and replaced whenever a connection stops lingering.
	changed chan struct{}
}

// Listen opens a Listener.
func Listen(ctx context.Context, address string) (*Listener, error) {
	config := net.ListenConfig{Control: SetUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: listener, lingering: make(map[*unreadConn]struct{}), changed: make(chan struct{})}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := newUnreadConn(accepted)
	if unread, ok := conn.(*unreadConn); ok {
		unread.listener = l
	}
	return conn, nil
}

// Lingering returns the number of closed connections whose peers have not read everything.
func (l *Listener) Lingering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lingering)
}

// AwaitRead waits until the peers of all closed connections have read everything or have been given up. It returns the error of the
// context if that ends before.
func (l *Listener) AwaitRead(ctx context.Context) error {
	for {
		l.mu.Lock()
		count, changed := len(l.lingering), l.changed
		l.mu.Unlock()
		if count == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// linger ends the stream of a connection and closes it in the background. It returns false if the stream can't be ended.
func (l *Listener) linger(c *unreadConn) bool {
	// Pending reads end.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	if c.CloseWrite() != nil {
		return false
	}
	l.mu.Lock()
	l.lingering[c] = struct{}{}
	l.mu.Unlock()
	go func() {
		c.awaitRead()
		_ = c.TCPConn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.lingering, c)
		close(l.changed)
		l.changed = make(chan struct{})
	}()
	return true
}

// hasUnsent reports whether data waits for the peer to read on.
func (c *unreadConn) hasUnsent() bool {
	info, err := tcpInfo(c.raw)
	return err == nil && info.Notsent_bytes > 0
}

// awaitRead waits until the peer has read everything, has read nothing for lingerTimeout, or its connection is lost.
func (c *unreadConn) awaitRead() {
	acknowledged, since := uint64(0), time.Now()
	for {
		info, err := tcpInfo(c.raw)
		if err != nil || info.State == tcpClose || info.Unacked == 0 && info.Notsent_bytes == 0 {
			return
		}
		if info.Bytes_acked != acknowledged {
			acknowledged, since = info.Bytes_acked, time.Now()
		}
		if time.Since(since) > lingerTimeout {
			return
		}
		time.Sleep(lingerCheckInterval)
	}
}
