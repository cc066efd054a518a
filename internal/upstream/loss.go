package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// lossConn is a TCP connection whose reads return its loss, also if another call has returned it before. The kernel reports a loss, such
// as a reset, to one call only; after a write or a check with that error, a read of a plain connection returns io.EOF, which ends a
// response without a length.
type lossConn struct {
	tcpConn
	raw syscall.RawConn
	// writing is held during a write, checking during a check. Both record a loss before they end.
	writing, checking sync.Mutex

	mu   sync.Mutex
	loss error
}

// newLossConn returns conn as a lossConn. It returns conn itself if its socket is not accessible.
func newLossConn(conn net.Conn) net.Conn {
	tcp, ok := conn.(tcpConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	return &lossConn{tcpConn: tcp, raw: raw}
}

// Write implements net.Conn.
func (c *lossConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcpConn.Write(p)
	c.note(err)
	return n, err
}

// Read implements net.Conn. At the end of the stream it returns the loss of the connection, if that has ended it.
func (c *lossConn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if errors.Is(err, io.EOF) {
		if loss := c.lossAtEnd(); loss != nil {
			return n, loss
		}
	}
	return n, err
}

// check calls f and records the loss that it returns.
func (c *lossConn) check(f func() error) {
	c.checking.Lock()
	defer c.checking.Unlock()
	c.note(f())
}

// noLoss are the errors that report no loss. With EPIPE the loss was reported before, or came after the peer had ended its stream.
var noLoss = []syscall.Errno{syscall.EPIPE, syscall.EAGAIN, syscall.EINTR}

// note records an error that the kernel reports for the connection.
func (c *lossConn) note(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || slices.Contains(noLoss, errno) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loss == nil {
		c.loss = err
	}
}

// writeEndTimeout is how long the end of a stream waits for a write that may return a loss, if the kernel does not say whether
// the connection is closed. A write on a closed connection ends at once.
const writeEndTimeout = 50 * time.Millisecond

// tcpClose is the state TCP_CLOSE of Linux. After an end of the stream that the peer has sent, the state is another one until the
// connection is lost.
const tcpClose = 7

// lossAtEnd returns the loss that has ended the stream; nil if the peer has ended it in order.
func (c *lossConn) lossAtEnd() error {
	state, ok := c.state()
	if ok && state != tcpClose {
		return nil
	}
	for waited := time.Duration(0); !c.writing.TryLock(); waited += time.Millisecond {
		if !ok && waited >= writeEndTimeout {
			return c.recorded()
		}
		time.Sleep(time.Millisecond)
	}
	c.writing.Unlock()
	return c.recorded()
}

// recorded returns the loss that has been recorded.
func (c *lossConn) recorded() error {
	c.checking.Lock()
	defer c.checking.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loss
}

// state returns the state of the TCP connection. ok is false if the kernel does not tell it.
func (c *lossConn) state() (state uint8, ok bool) {
	info, err := tcpInfo(c.raw)
	if err != nil || info.State == 0 {
		return 0, false
	}
	return info.State, true
}

// DialContext returns a function that opens connections with a dialer. Their readers learn of the loss of a connection, whichever
// call is told of it first.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newLossConn(conn), nil
	}
}
