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

// startRawServer answers each connection with a function.
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
		Matches: func(answer *http.Response, id string) bool { return answer.Header.Get("Id") == id },
	})
}

func send(t *testing.T, pool *Pool, address member.Address, id string) (string, error) {
	t.Helper()
	answer, err := pool.Send(context.Background(), &Request{
		Address: address, ID: id, Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
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
				// "before": the late answer comes where the next one is due.
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
		require.EqualValues(t, 5, requests.Load(), "nothing is sent twice")
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

// A server may answer before it has read a long body. What is sent next on such a
// connection would be taken for the rest of it.
func TestConnectionWithUnreadRequestBodyIsNotReused(t *testing.T) {
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseTo(request.Header.Get("Id"), "early"))
		// The body is never read; the connection stays open.
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1))
		select {}
	})
	var opened atomic.Int32
	pool := newTestPool(&opened)
	body := []byte(strings.Repeat("x", 8<<20))
	for i := range 2 {
		id := fmt.Sprint(i)
		answer, err := pool.Send(context.Background(), &Request{
			Address: address, ID: id, Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{"Id": {id}}, Body: body,
		})
		require.NoError(t, err)
		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close()
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

// The server says how long it leaves the connection open; that holds also when the
// headers of the answer have been changed for the caller meanwhile.
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
		answer, err := pool.Send(context.Background(), &Request{
			Address: address, ID: id, Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {id}},
		})
		require.NoError(t, err)
		RemoveHopByHopHeaders(answer.Header)
		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close()
	}
	require.EqualValues(t, 2, opened.Load(), "used again after 0.5 s, not after 0.9 s of the 1 s given")
}

// An answer to another request was read to its end, however long it was, while the caller waited
// for its own.
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

// An attempt that had been given up before it was sent went out all the same if there was a kept
// connection, and counted as one that may have run.
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
	require.EqualValues(t, 1, opened.Load(), "the connection is still good")
}

// What a server says of itself was read from the answer to the own request alone.
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
	var heard []string
	answer, err := newTestPool(new(atomic.Int32)).Send(t.Context(), &Request{
		Address: address, ID: "a", Method: http.MethodGet, Target: "/x", Host: "a.example",
		OnResponse: func(head *http.Response) { heard = append(heard, head.Header.Get("Word")) },
	})
	require.NoError(t, err)
	defer answer.Close()
	_, err = io.ReadAll(answer)
	require.Error(t, err, "the body breaks off")
	require.Equal(t, []string{"interim", "another's", "own"}, heard)
}
