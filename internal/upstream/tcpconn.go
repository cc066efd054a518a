package upstream

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxSafeUnsent is the number of bytes that fit into the TCP window of any peer, even if its process reads nothing.
	maxSafeUnsent = 16 << 10
	// acknowledgementCheckInterval is the time between two checks for acknowledgements while TCP_USER_TIMEOUT is off.
	acknowledgementCheckInterval = 250 * time.Millisecond
	// closedUserTimeout is how long the kernel tries to deliver what was written to a connection before it was closed.
	closedUserTimeout = 10 * time.Second
)

// tcpConn is a TCP connection that fails if its peer acknowledges nothing for userTimeout, but not if the peer's
// process does not read. TCP_USER_TIMEOUT does not tell these cases apart: it also ends a connection whose peer
// acknowledges every probe of its closed window. So the option is off while the window may be closed, and
// acknowledgements are checked here instead.
type tcpConn struct {
	net.Conn

	tcp *net.TCPConn

	mu sync.Mutex
	// writes is the number of calls of Write in progress.
	writes int
	// written is the number of bytes written since the option was last turned on.
	written int
	// timer runs the checks; nil while the option is on.
	timer *time.Timer
	// waitingSince is the time of the first check that found sent data or a probe, of which none has been acknowledged
	// since; zero if there is none.
	waitingSince time.Time
	closed       bool
}

func newTCPConn(conn *net.TCPConn) *tcpConn { return &tcpConn{Conn: conn, tcp: conn} }

// Write writes to the connection. It turns TCP_USER_TIMEOUT off before more is unacknowledged than the window of the
// peer is sure to take.
func (c *tcpConn) Write(data []byte) (int, error) {
	c.beginWrite(len(data))
	defer c.endWrite()
	return c.tcp.Write(data)
}

// CloseWrite shuts down the writing side of the connection. HTTP servers call it before Close.
func (c *tcpConn) CloseWrite() error { return c.tcp.CloseWrite() }

func (c *tcpConn) beginWrite(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.written += size
	if c.written <= maxSafeUnsent || c.timer != nil || c.closed {
		return
	}
	if c.setUserTimeout(0) == nil {
		c.waitingSince = time.Time{}
		c.timer = time.AfterFunc(acknowledgementCheckInterval, c.check)
	}
}

func (c *tcpConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// Close stops the checks and closes the connection.
func (c *tcpConn) Close() error {
	c.mu.Lock()
	if c.timer != nil && !c.closed {
		c.timer.Stop()
		// An error means that the connection is closed already.
		_ = c.setUserTimeout(closedUserTimeout)
	}
	c.closed = true
	c.mu.Unlock()
	return c.tcp.Close()
}

// check resets the connection if its peer has acknowledged nothing for userTimeout. It turns TCP_USER_TIMEOUT on again
// once so little is unacknowledged that the window of the peer is open.
func (c *tcpConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	info, unsent, err := c.sendState()
	if err != nil {
		// The connection has failed, as its reader and its writer find out.
		return
	}
	now := time.Now()
	acknowledgedAt := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	switch {
	case info.Unacked == 0 && info.Probes == 0:
		c.waitingSince = time.Time{}
	case c.waitingSince.IsZero() || acknowledgedAt.After(c.waitingSince):
		c.waitingSince = now
	case now.Sub(c.waitingSince) >= userTimeout:
		c.closed = true
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
		return
	}
	if unsent <= maxSafeUnsent && c.writes == 0 && c.setUserTimeout(userTimeout) == nil {
		c.timer, c.written = nil, unsent
		return
	}
	c.timer.Reset(acknowledgementCheckInterval)
}

// sendState returns the kernel's state of the connection and the number of bytes that the peer has not acknowledged.
func (c *tcpConn) sendState() (info *unix.TCPInfo, unsent int, err error) {
	controlErr := c.control(func(fd int) error {
		if info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			unsent, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		}
		return err
	})
	return info, unsent, controlErr
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 turns it off.
func (c *tcpConn) setUserTimeout(timeout time.Duration) error {
	return c.control(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

func (c *tcpConn) control(call func(fd int) error) error {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

// Listener accepts TCP connections that fail if their peer acknowledges nothing for 2 s, but not if the peer's process
// does not read. The wrapped listener must set the timeout with SetUserTimeout.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return newTCPConn(tcp), err
	}
	return conn, err
}
