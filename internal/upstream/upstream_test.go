package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// startRawServer starts a TCP server that calls serve for each connection.
func startRawServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) member.Address {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return member.Address(listener.Addr().String())
}

func newTestPool(opened *atomic.Int32) *Pool {
	return NewPool(Options{
		Clock: clockwork.NewRealClock(), MaxIdlePerServer: 4, OnConnect: func() { opened.Add(1) },
		Matches: func(response *http.Response, id string) bool { return response.Header.Get("Id") == id },
	})
}

func send(t *testing.T, pool *Pool, address member.Address, id string) (string, error) {
	t.Helper()
	response, err := pool.Send(context.Background(), &Request{
		Address: address, ID: id, Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func readRequest(reader *bufio.Reader) (id string, err error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), err
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReused(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, responseTo(id, "hello "+id))
		}
	})
	var opened atomic.Int32
	pool := newTestPool(&opened)
	for i := range 5 {
		id := fmt.Sprint(i)
		body, err := send(t, pool, address, id)
		require.NoError(t, err)
		require.Equal(t, "hello "+id, body)
	}
	require.EqualValues(t, 1, opened.Load())
}

func TestLateDuplicateResponseIsNotUsedForNextRequest(t *testing.T) {
	for _, extra := range []string{"before", "after"} {
		requests := atomic.Int32{}
		address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
			previous := ""
			for {
				id, err := readRequest(reader)
				if err != nil {
					return
				}
				requests.Add(1)
				// "before": the duplicate response arrives before the response to the next request.
				if extra == "before" && previous != "" {
					_, _ = io.WriteString(conn, responseTo(previous, "late"))
				}
				_, _ = io.WriteString(conn, responseTo(id, "own "+id))
				if extra == "after" {
					_, _ = io.WriteString(conn, responseTo(id, "second"))
				}
				previous = id
			}
		})
		var opened atomic.Int32
		pool := newTestPool(&opened)
		for i := range 5 {
			id := fmt.Sprint(i)
			body, err := send(t, pool, address, id)
			require.NoError(t, err)
			require.Equal(t, "own "+id, body)
		}
		require.EqualValues(t, 5, requests.Load(), "no request is sent twice")
	}
}

func TestRequestIsNotResentAfterConnectionReset(t *testing.T) {
	requests := atomic.Int32{}
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			requests.Add(1)
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	var opened atomic.Int32
	_, err := send(t, newTestPool(&opened), address, "1")
	require.ErrorIs(t, err, ErrNoResponse)
	require.True(t, MayHaveRun(err))
	require.EqualValues(t, 1, requests.Load())
}

func TestRefusedConnectionMeansRequestWasNotSent(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	var opened atomic.Int32
	_, err = send(t, newTestPool(&opened), member.Address(listener.Addr().String()), "1")
	require.ErrorIs(t, err, ErrNotSent)
	require.False(t, MayHaveRun(err))
}

func TestMalformedResponseIsRejected(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "garbage garbage\r\n\r\n")
		}
	})
	var opened atomic.Int32
	_, err := send(t, newTestPool(&opened), address, "1")
	require.ErrorIs(t, err, ErrNoResponse)
}

func TestTruncatedResponseIsReported(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := readRequest(reader); err == nil {
				_, _ = io.WriteString(conn, text)
			}
		})
		var opened atomic.Int32
		_, err := send(t, newTestPool(&opened), address, "1")
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, name)
	}
}

// A server may respond before it has read a long request body. If the connection is reused, the server reads the next
// request as the rest of that body.
func TestConnectionWithUnreadRequestBodyIsNotReused(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseTo(request.Header.Get("Id"), "early"))
		// The rest of the body is never read, and the connection stays open.
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1))
		select {}
	})
	var opened atomic.Int32
	pool := newTestPool(&opened)
	body := []byte(strings.Repeat("x", 8<<20))
	for i := range 2 {
		id := fmt.Sprint(i)
		response, err := pool.Send(context.Background(), &Request{
			Address: address, ID: id, Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{"Id": {id}}, Body: body,
		})
		require.NoError(t, err)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		response.Close()
	}
	require.EqualValues(t, 2, opened.Load())
}

func TestCanceledContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var opened atomic.Int32
	go cancel()
	_, err := newTestPool(&opened).Send(ctx, &Request{Address: address, ID: "1", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
	require.Error(t, err)
	if MayHaveRun(err) {
		<-closed
	}
}

// The Keep-Alive timeout of a response must apply even if the header has been removed from the response before it is
// closed. Otherwise a request is sent on a connection that the server is about to close.
func TestConnectionIsNotReusedAfterKeepAliveTimeout(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var opened atomic.Int32
	clock := clockwork.NewFakeClockAt(time.Now())
	pool := newTestPool(&opened)
	pool.options.Clock = clock
	for i, wait := range []time.Duration{0, 500 * time.Millisecond, 900 * time.Millisecond} {
		clock.Advance(wait)
		id := fmt.Sprint(i)
		response, err := pool.Send(context.Background(), &Request{
			Address: address, ID: id, Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {id}},
		})
		require.NoError(t, err)
		RemoveHopByHopHeaders(response.Header)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		response.Close()
	}
	require.EqualValues(t, 2, opened.Load(), "timeout is 1 s: reused after 0.5 s, not reused after 0.9 s")
}

// A response to another request must not be read to its end regardless of its length, because the caller waits
// meanwhile.
func TestLongMismatchedResponseClosesConnection(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseTo("another", strings.Repeat("x", drainLimit+1)))
		_, _ = io.WriteString(conn, responseTo(id, "late"))
	})
	var opened atomic.Int32
	_, err := send(t, newTestPool(&opened), address, "1")
	require.ErrorIs(t, err, ErrNoResponse)
	require.ErrorIs(t, err, errMismatchedTooLong)
}

// A request whose context is canceled before it is sent must not be sent on an idle connection. Otherwise it counts as
// one that may have run.
func TestCanceledRequestIsNotSentOnIdleConnection(t *testing.T) {
	var served atomic.Int32
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			served.Add(1)
			_, _ = io.WriteString(conn, responseTo(id, "hello"))
		}
	})
	var opened atomic.Int32
	pool := newTestPool(&opened)
	for range 20 {
		_, err := send(t, pool, address, "1")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = pool.Send(ctx, &Request{Address: address, ID: "2", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{"Id": {"2"}}})
		require.ErrorIs(t, err, ErrNotSent)
	}
	require.EqualValues(t, 20, served.Load())
	require.EqualValues(t, 1, opened.Load(), "the idle connection stays reusable")
}

// Signals of a server must also be read from interim responses and from responses to other requests. Otherwise they
// are lost if they are sent only there.
func TestOnResponseIsCalledForEveryResponse(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		for _, head := range []string{
			"HTTP/1.1 103 Early Hints\r\nWord: interim\r\n\r\n",
			"HTTP/1.1 503 Service Unavailable\r\nId: other\r\nWord: another's\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nId: a\r\nWord: own\r\nContent-Length: 9\r\n\r\n",
		} {
			_, _ = io.WriteString(conn, head)
		}
	})
	var received []string
	response, err := newTestPool(new(atomic.Int32)).Send(t.Context(), &Request{
		Address: address, ID: "a", Method: http.MethodGet, Target: "/x", Host: "a.example",
		OnResponse: func(head *http.Response, _ func() bool) { received = append(received, head.Header.Get("Word")) },
	})
	require.NoError(t, err)
	defer response.Close()
	_, err = io.ReadAll(response)
	require.Error(t, err, "the body is truncated")
	require.Equal(t, []string{"interim", "another's", "own"}, received)
}

// Guards against attributing a response to a process that has ended.
func TestConnectionOfResponseIsOpenWhileItsProcessRuns(t *testing.T) {
	var opened atomic.Int32
	end := make(chan struct{})
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseTo(id, "x"))
		<-end
	})
	var isOpen func() bool
	response, err := newTestPool(&opened).Send(t.Context(), &Request{
		Address: address, ID: "a", Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{"Id": {"a"}},
		OnResponse: func(_ *http.Response, isConnected func() bool) { isOpen = isConnected },
	})
	require.NoError(t, err)
	response.Discard()
	require.True(t, isOpen())
	close(end)
	require.Eventually(t, func() bool { return !isOpen() }, 10*time.Second, time.Millisecond)
}

// Guards against a server that exits being taken for one that runs: the end of its idle connections is the sign of it.
func TestPoolReportsIdleConnectionsThatServerHasEnded(t *testing.T) {
	end := make(chan struct{})
	address := startRawServer(t, func(net.Conn, *bufio.Reader) { <-end })
	var opened atomic.Int32
	pool := newTestPool(&opened)
	require.NoError(t, pool.Probe(t.Context(), address))
	require.False(t, pool.HasLostIdle(address))
	close(end)
	require.Eventually(t, func() bool { return pool.HasLostIdle(address) }, 5*time.Second, time.Millisecond)
	require.False(t, pool.HasLostIdle("127.0.0.1:1"))
	pool.CloseIdle(address)
	require.False(t, pool.HasLostIdle(address))
}
