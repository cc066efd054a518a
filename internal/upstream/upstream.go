// Package upstream sends requests to backend servers over its own pool of connections. Each call makes exactly one
// attempt: no request is sent twice, and every error states whether the server may have run the request.
//
// What a server sends is bounded: the head of a response by HeadLimit, interim responses by the same number of bytes together,
// and what is discarded in bytes and in time. Past a limit the connection is closed and the request has no response.
//
// A connection carries one request at a time. Idle connections are checked before they are reused. A response that
// belongs to another request is read and discarded, so that a late duplicate response is never used for the next
// request.
//
// # Usage
//
//	pool := upstream.NewPool(upstream.Options{...})
//	response, err := pool.Send(ctx, &upstream.Request{Address: address, ...})
//	if err != nil && !upstream.MayHaveRun(err) { ... } // try another server
//	defer response.Close()
//	io.Copy(w, response)
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// ErrNotSent reports that no byte of the request was sent to the server.
var ErrNotSent = errors.New("request was not sent")

// ErrNoResponse reports a request that was sent but received no valid response. The server may have run it.
var ErrNoResponse = errors.New("no answer came")

// MayHaveRun reports whether the server may have run a request that failed with err.
func MayHaveRun(err error) bool { return !errors.Is(err, ErrNotSent) }

const (
	// dialTimeout is the timeout for opening a connection. It covers many round trips on any link between boxes and
	// is short compared to a caller's timeout.
	dialTimeout = 400 * time.Millisecond
	// userTimeout closes a connection whose peer does not acknowledge sent data, for example after a power failure
	// of its box.
	userTimeout = 2 * time.Second
	// bufferSize is the size of the read buffer and of the write buffer of a connection, in bytes. An event of a
	// stream takes a few hundred bytes.
	bufferSize = 4 << 10
	// defaultIdleTimeout is how long a connection may stay idle if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxInlineBody is the maximum size of a body that is written before the response is read, in bytes. It fits
	// into the TCP window of any link. Longer bodies are written while the response is read.
	maxInlineBody = 16 << 10
	// defaultHeadLimit is the maximum size of the head of a response if the options set none, in bytes.
	defaultHeadLimit = 16 << 10
	// maxMismatchedResponses is the maximum number of responses to other requests that are discarded while waiting
	// for the response to one request.
	maxMismatchedResponses = 2
)

// sockoptUserTimeout is the Linux socket option TCP_USER_TIMEOUT (RFC 5482).
const sockoptUserTimeout = 0x12

// Options configures a Pool.
type Options struct {
	Clock clockwork.Clock
	// Matches reports whether a response belongs to the request with the given ID.
	Matches func(response *http.Response, id string) bool
	// MaxIdlePerServer is the maximum number of idle connections to one server.
	MaxIdlePerServer int
	// HeadLimit returns the maximum size of the head of a response, in bytes; nil for defaultHeadLimit.
	HeadLimit func() int64
	// OnConnect is called for each new connection.
	OnConnect func()
	// Dial opens a connection; nil for TCP connections that fail soon if the peer acknowledges nothing.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool opens connections to servers and reuses idle ones. It is safe for concurrent use.
type Pool struct {
	options Options

	mu   sync.Mutex
	idle map[member.Address][]*conn
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = dial
	}
	return &Pool{options: options, idle: make(map[member.Address][]*conn)}
}

// dial opens a connection that fails soon after its peer's box stops responding, and stays open while a peer reads nothing. Its
// reader learns of its loss.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: SetUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newLossConn(newUnreadConn(conn)), nil
}

const (
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and the time between two probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unacknowledged probes after which a connection fails.
	keepAliveProbes = 2
)

// NewDialer returns a dialer whose connections fail soon after the peer stops responding, even while they are idle.
// The timeout applies to opening a connection.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: SetUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket, so that it fails if its peer does not acknowledge sent data within
// 2 s. It has the signature of net.Dialer.Control.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	pool    *Pool
	address member.Address
	// source limits what reader reads from the connection.
	source *boundedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// reusableUntil is the time after which the connection must not be reused. It is zero for a connection that has
	// not been idle yet.
	reusableUntil time.Time
}

// Request is a request that Send sends once.
type Request struct {
	Address member.Address
	ID      string
	Method  string
	// Target is the request target, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is called once a connection is available, which may take up to dialTimeout. If it returns an error,
	// the request is not sent. It may be nil.
	BeforeSend func() error
	// OnResponse is called with the head of every response received during the attempt. This includes interim
	// responses and responses to other requests, because the signals that a server sends about itself are valid
	// regardless of the request. It must not block or read the body. It may be nil.
	//
	// isConnected reports whether the connection of the response is open at both ends. The process that sent the
	// response is then still running. It may be called at any time, also after the attempt.
	OnResponse func(head *http.Response, isConnected func() bool)
}

// Send sends a request once and returns the response as soon as its head has been read. The caller must close the
// response. When the context is done, the connection is reset, even while the body is being read. Errors wrap
// ErrNotSent or ErrNoResponse.
func (p *Pool) Send(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, request.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := request.beforeSend(ctx); err != nil {
		c.release()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response := &Response{conn: c, writeResult: make(chan error, 1)}
	response.stop = context.AfterFunc(ctx, c.reset)
	if len(request.Body) <= maxInlineBody {
		if err := c.write(request); err != nil {
			response.Close()
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		response.writeResult <- nil
	} else {
		go func() { response.writeResult <- c.write(request) }()
	}
	before := c.source.received
	response.Response, err = c.readMatching(request) //nolint:bodyclose // Response.Close closes it
	if err != nil {
		response.Close()
		return nil, fmt.Errorf("%w: %w after %d bytes", ErrNoResponse, err, c.source.received-before)
	}
	response.keepAlive = keepAliveTimeout(response.Header)
	return response, nil
}

// beforeSend returns an error if the context is done or BeforeSend rejects the request.
func (r *Request) beforeSend(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// release returns a reused connection on which nothing was sent to the pool, and closes a new one.
func (c *conn) release() {
	if c.reusableUntil.IsZero() {
		_ = c.Close()
		return
	}
	c.pool.putIdle(c)
}

// acquire returns an idle connection that is still reusable, or opens a new one.
func (p *Pool) acquire(ctx context.Context, address member.Address) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if p.options.Clock.Now().Before(c.reusableUntil) && c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx, address)
}

// Probe opens a connection to a server and keeps it for the next request. The error wraps syscall.ECONNREFUSED if no
// process listens on the address.
func (p *Pool) Probe(ctx context.Context, address member.Address) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	c.reusableUntil = p.options.Clock.Now().Add(defaultIdleTimeout)
	p.putIdle(c)
	return nil
}

// open opens a connection and calls OnConnect.
func (p *Pool) open(ctx context.Context, address member.Address) (*conn, error) {
	raw, err := p.options.Dial(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect()
	}
	source := newBoundedReader(raw)
	return &conn{
		Conn: raw, pool: p, address: address, source: source,
		reader: bufio.NewReaderSize(source, bufferSize), writer: bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

func (p *Pool) popIdle(address member.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// putIdle adds a reusable connection to the pool, or closes it if the pool has MaxIdlePerServer connections to its
// server.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.options.MaxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// HasLostIdle reports whether a server has ended an idle connection before the time until which it may be reused.
func (p *Pool) HasLostIdle(address member.Address) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	return slices.ContainsFunc(p.idle[address], func(c *conn) bool { return now.Before(c.reusableUntil) && c.isEnded() })
}

// CloseIdle closes the idle connections to an address. It is called when the server at the address is removed.
func (p *Pool) CloseIdle(address member.Address) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// reset closes the connection of an abandoned attempt with a TCP reset. The reset discards data that has not left the
// box yet, and data on a link that drops connections when they are reset. After an orderly close the server would
// receive all of it, and start a request that has no caller any more or that must not start so late. Data that the
// server's box has already received is not discarded.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(tcpConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// isReusable reports whether the connection is open and the server has sent nothing on it since the last response.
func (c *conn) isReusable() bool { return c.reader.Buffered() == 0 && c.isOpen() }

// isOpen reports whether the connection is open at both ends and no received data is unread. It does not wait for
// another goroutine that reads from the connection.
func (c *conn) isOpen() bool {
	_, ok, err := c.peek()
	return ok && errors.Is(err, syscall.EAGAIN)
}

// isEnded reports whether the other end has closed or reset the connection and no received data is unread.
func (c *conn) isEnded() bool {
	n, ok, err := c.peek()
	return ok && n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek returns the result of reading one byte, which stays unread, without waiting. ok is false if the connection is closed at
// this end or has no socket.
func (c *conn) peek() (n int, ok bool, err error) {
	tcp, ok := c.Conn.(tcpConn)
	if !ok {
		return 0, false, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	receive := func() error {
		controlErr := raw.Control(func(fd uintptr) {
			var one [1]byte
			n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		ok = controlErr == nil
		return err
	}
	if lossy, isLossy := c.Conn.(*lossConn); isLossy {
		lossy.check(receive)
	} else {
		_ = receive()
	}
	return n, ok, err
}

func (c *conn) write(request *Request) error {
	w := c.writer
	_, _ = w.WriteString(request.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(request.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(request.Host)
	_, _ = w.WriteString("\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(request.Body)))
		_, _ = w.WriteString("\r\n")
	}
	// The writer keeps its first error, which Flush returns.
	_ = request.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	return w.Flush()
}

// readMatching returns the response to the request. It discards up to maxMismatchedResponses responses to other
// requests.
func (c *conn) readMatching(request *Request) (*http.Response, error) {
	for range maxMismatchedResponses + 1 {
		response, err := c.readFinal(request)
		if err != nil {
			return nil, err
		}
		if c.pool.options.Matches(response, request.ID) {
			return response, nil
		}
		if err := drain(response); err != nil {
			return nil, fmt.Errorf("discarding a response to another request: %w", err)
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// errTooManyInterim reports interim responses whose heads together are longer than the limit of a head.
var errTooManyInterim = errors.New("interim responses are too long")

// errSwitching reports a switch of protocols. Requests have no Upgrade header.
var errSwitching = errors.New("server switches protocols")

// readFinal reads responses until one is not interim (RFC 9110, section 15.2). The head of each response and the interim
// responses together have at most the bytes of the pool's limit.
func (c *conn) readFinal(request *Request) (*http.Response, error) {
	limit := c.pool.headLimit()
	for interim := int64(0); ; {
		before := c.consumed()
		response, err := c.readHead(request, limit)
		if err != nil {
			return nil, err
		}
		if request.OnResponse != nil {
			request.OnResponse(response, c.isOpen)
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
		if interim += c.consumed() - before; interim > limit {
			return nil, errTooManyInterim
		}
	}
}

// readHead reads one response up to the end of its head, which may have limit bytes. It returns an error for bytes that are no head.
func (c *conn) readHead(request *Request, limit int64) (*http.Response, error) {
	// Peek returns no error for bytes that are buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.source.limit(limit, buffered)
	defer c.source.unlimit()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, err
	}
	head := c.source.head
	if err := validateHead(head[:len(head)-c.reader.Buffered()]); err != nil {
		return nil, err
	}
	return response, nil
}

// consumed returns the number of bytes of the connection that have been taken from the reader.
func (c *conn) consumed() int64 { return c.source.received - int64(c.reader.Buffered()) }

// headLimit returns the maximum size of the head of a response, in bytes.
func (p *Pool) headLimit() int64 {
	if p.options.HeadLimit == nil {
		return defaultHeadLimit
	}
	return p.options.HeadLimit()
}

// keepAliveTimeout returns four fifths of the timeout in the Keep-Alive header, or defaultIdleTimeout if there is none.
// The margin prevents the server from closing the connection while a request is on its way.
func keepAliveTimeout(header http.Header) time.Duration {
	for value := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(value), "=")
		if seconds, err := strconv.Atoi(text); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second * 4 / 5
		}
	}
	return defaultIdleTimeout
}
