package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unreadCheckInterval is the time between two checks of a connection with data that its peer has not acknowledged. It is
// short compared to userTimeout, so that the timeout is raised before it ends.
const unreadCheckInterval = 500 * time.Millisecond

// tcpConn is a connection whose socket is accessible.
type tcpConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// unreadConn is a TCP connection that stays open while its peer's box responds to window probes, however long its peer reads
// nothing. The kernel alone ends it after userTimeout without an open window, whether the box responds or not.
//
// It raises TCP_USER_TIMEOUT to userTimeout after the last acknowledgement. If the process ends, the kernel therefore still
// discards unsent data within userTimeout and unreadCheckInterval.
type unreadConn struct {
	*net.TCPConn
	raw syscall.RawConn
	// listener has accepted the connection; nil for one that was opened by this process. isClosed is set once Close was called.
	listener *Listener
	isClosed atomic.Bool
	// isChecked is set while a check is scheduled.
	isChecked atomic.Bool

	// mu guards the remaining fields.
	mu sync.Mutex
	// timeout is the TCP_USER_TIMEOUT of the socket.
	timeout time.Duration
	// acknowledged is the number of acknowledged bytes at the last check. It has not changed since stalledAt.
	acknowledged uint64
	stalledAt    time.Time
}

// newUnreadConn returns conn as an unreadConn. It returns conn itself if it is not a TCP connection.
func newUnreadConn(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	return &unreadConn{TCPConn: tcp, raw: raw, timeout: userTimeout}
}

// Write implements net.Conn.
func (c *unreadConn) Write(p []byte) (int, error) {
	c.scheduleCheck()
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom. It writes with Write.
func (c *unreadConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn. An accepted connection stays open in the background while its peer has not read everything.
func (c *unreadConn) Close() error {
	if c.listener == nil || !c.hasUnsent() {
		return c.TCPConn.Close()
	}
	if c.isClosed.Swap(true) || c.listener.linger(c) {
		return nil
	}
	return c.TCPConn.Close()
}

func (c *unreadConn) scheduleCheck() {
	if c.isChecked.CompareAndSwap(false, true) {
		time.AfterFunc(unreadCheckInterval, c.check)
	}
}

// check raises the timeout if the peer's box has acknowledged something since the last check, and schedules the next check
// until all data is acknowledged or the connection is closed.
func (c *unreadConn) check() {
	c.isChecked.Store(false)
	info, err := tcpInfo(c.raw)
	if err != nil {
		return
	}
	hasUnacknowledged := info.Unacked > 0 || info.Notsent_bytes > 0
	c.setUserTimeout(c.timeoutFor(info, hasUnacknowledged, time.Now()))
	if hasUnacknowledged {
		c.scheduleCheck()
	}
}

// tcpInfo returns what the kernel tells of a TCP connection.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}

// AcknowledgedBytes returns how many bytes the peer's box has acknowledged on a connection of a listener of Listen. ok is false for
// other connections.
func AcknowledgedBytes(conn net.Conn) (bytes uint64, ok bool) {
	unread, isUnread := conn.(*unreadConn)
	if !isUnread {
		return 0, false
	}
	info, err := tcpInfo(unread.raw)
	if err != nil {
		return 0, false
	}
	return info.Bytes_acked, true
}

// timeoutFor returns the TCP_USER_TIMEOUT that ends at userTimeout after the last acknowledgement. The kernel counts it from
// the time at which the window closed.
func (c *unreadConn) timeoutFor(info *unix.TCPInfo, hasUnacknowledged bool, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !hasUnacknowledged || info.Bytes_acked != c.acknowledged || c.stalledAt.IsZero() {
		c.acknowledged, c.stalledAt = info.Bytes_acked, now.Add(-unreadCheckInterval)
	}
	sinceAcknowledgement := time.Duration(info.Last_ack_recv) * time.Millisecond
	return max(userTimeout, now.Sub(c.stalledAt)-sinceAcknowledgement+userTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func (c *unreadConn) setUserTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout == c.timeout {
		return
	}
	c.timeout = timeout
	// An error means that the connection is closed.
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
