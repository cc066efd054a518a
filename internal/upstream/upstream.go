// Package upstream sends requests to backend servers over connections of its
// own. One call is one attempt: nothing is ever sent twice, and every failure
// says whether the server may have run the request.
//
// A connection carries one request at a time. Kept connections are checked
// before they are used again, and an answer that belongs to another request is
// read and thrown away, so that a late second answer is never taken for the next
// one.
//
// # Usage
//
//	pool := upstream.NewPool(upstream.Options{...})
//	answer, err := pool.Send(ctx, &upstream.Request{Address: address, ...})
//	if err != nil && !upstream.MayHaveRun(err) { ... } // try elsewhere
//	defer answer.Close()
//	io.Copy(w, answer.Body())
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// ErrNotSent reports that no byte of the request reached the server.
var ErrNotSent = errors.New("request was not sent")

// ErrNoResponse reports a request that was sent and got no valid answer: it may
// have run.
var ErrNoResponse = errors.New("no answer came")

// MayHaveRun reports whether a request that ended with the error may have run.
func MayHaveRun(err error) bool { return !errors.Is(err, ErrNotSent) }

const (
	// dialTimeout bounds opening a connection. It is many round trips on any
	// link between boxes, and short against a caller's patience.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose peer does not acknowledge what was
	// sent, as a box without power does.
	userTimeout = 2 * time.Second
	// bufferSize is that of each direction of a connection, in bytes; an event
	// of a stream takes a few hundred.
	bufferSize = 4 << 10
	// defaultIdleTimeout is how long a connection is kept unused where the server does
	// not say.
	defaultIdleTimeout = 4 * time.Second
	// maxInlineBody is the size up to which a body is written before the answer is
	// read, in bytes; it fits the windows of any link.
	maxInlineBody = 16 << 10
	// maxMismatchedResponses bounds the answers to other requests that are thrown away on
	// one connection.
	maxMismatchedResponses = 2
)

// sockoptUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482).
const sockoptUserTimeout = 0x12

// Options are the parts that a pool works with.
type Options struct {
	Clock clockwork.Clock
	// Matches reports whether an answer belongs to the request with the id.
	Matches func(answer *http.Response, id string) bool
	// MaxIdlePerServer bounds the unused connections kept to one server.
	MaxIdlePerServer int
	// OnConnect is called for each new connection.
	OnConnect func()
}

// Pool opens and keeps connections. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[member.Address][]*conn
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: SetUserTimeout},
		idle:    make(map[member.Address][]*conn),
	}
}

const (
	// keepAliveInterval is how long a connection on which nothing is sent rests before its peer is
	// asked for a sign of life, and the time between two such questions.
	keepAliveInterval = time.Second
	// keepAliveProbes is how many of them stay unanswered on a connection that has gone silent.
	keepAliveProbes = 2
)

// NewDialer returns a dialer whose connections fail soon after their peer has fallen
// silent, also while nothing is sent on them. The time-out bounds opening one.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: SetUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
}

// SetUserTimeout makes a socket fail soon after its peer has fallen silent.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var problem error
	err := raw.Control(func(fd uintptr) {
		problem = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, problem)
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	pool    *Pool
	address member.Address
	reader  *bufio.Reader
	writer  *bufio.Writer
	// reusableUntil is when the connection may no longer be taken for another request.
	reusableUntil time.Time
}

// Request is one attempt.
type Request struct {
	Address member.Address
	ID      string
	Method  string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is asked once there is a connection, which may take as long as dialTimeout; an error
	// keeps the request from being sent. nil if it may be sent in any case.
	BeforeSend func() error
	// OnResponse is called with the head of every answer that the server gives while the attempt lasts, also an
	// interim one and one to another request: what a server says of itself holds whatever becomes of the
	// request. It must not block nor read the body. nil if nobody listens.
	OnResponse func(head *http.Response)
}

// Send makes one attempt and returns the answer's head. The answer must be
// closed. The context's end resets the connection, also while the body is
// read. Errors wrap ErrNotSent or ErrNoResponse.
func (p *Pool) Send(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, request.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := request.beforeSend(ctx); err != nil {
		c.release()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	answer := &Response{conn: c, writeResult: make(chan error, 1)}
	answer.stop = context.AfterFunc(ctx, c.reset)
	if len(request.Body) <= maxInlineBody {
		if err := c.write(request); err != nil {
			answer.Close()
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		answer.writeResult <- nil
	} else {
		go func() { answer.writeResult <- c.write(request) }()
	}
	answer.Response, err = c.readMatching(request) //nolint:bodyclose // Answer.Close ends it
	if err != nil {
		answer.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	answer.keepAlive = keepAliveTimeout(answer.Header)
	return answer, nil
}

// beforeSend returns why the request must not be sent; nil if it may.
func (r *Request) beforeSend(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// release ends the use of a connection on which nothing was sent.
func (c *conn) release() {
	if c.reusableUntil.IsZero() {
		_ = c.Close()
		return
	}
	c.pool.putIdle(c)
}

// acquire returns a kept connection that is still sound, else a new one.
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

// Probe opens a connection to a server, which is kept for the next request. An error of ECONNREFUSED tells that
// nothing listens there.
func (p *Pool) Probe(ctx context.Context, address member.Address) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	c.reusableUntil = p.options.Clock.Now().Add(defaultIdleTimeout)
	p.putIdle(c)
	return nil
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, address member.Address) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect()
	}
	return &conn{
		Conn: raw, pool: p, address: address,
		reader: bufio.NewReaderSize(raw, bufferSize), writer: bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

func (p *Pool) popIdle(address member.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// putIdle takes a connection back whose answer was read to its end.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.options.MaxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the kept connections to an address whose server has gone.
func (p *Pool) CloseIdle(address member.Address) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		_ = c.Close()
	}
}

// reset ends the connection with an attempt that is given up. What was written and has not left the
// box goes too, and what a link holds if it drops a connection that is reset: after a close in order
// the server would get all of it, and begin what nobody waits for any more, or what must not begin as late
// as that. What the server's box has received stays there.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If it fails the connection has ended already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// isReusable reports whether the server has neither closed the connection nor sent
// anything on it since the last answer.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, problem := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(problem, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
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
	// The writer keeps its first error and gives it again at the end.
	_ = request.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	return w.Flush()
}

// readMatching reads the answer to the request, past answers to other ones.
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
			return nil, fmt.Errorf("reading an answer to another request: %w", err)
		}
	}
	return nil, errors.New("every answer belonged to another request")
}

// readFinal reads past interim answers (RFC 9110, section 15.2).
func (c *conn) readFinal(request *Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if request.OnResponse != nil {
			request.OnResponse(response)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// keepAliveTimeout reads how long the server leaves the connection open, and takes four
// fifths of it, so that a request does not cross its close.
func keepAliveTimeout(header http.Header) time.Duration {
	for value := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(value), "=")
		if seconds, err := strconv.Atoi(text); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second * 4 / 5
		}
	}
	return defaultIdleTimeout
}
