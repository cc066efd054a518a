package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// readPause is how long the peers of these tests read nothing. It is longer than userTimeout and the first interval
// between two window probes together.
const readPause = userTimeout + 800*time.Millisecond

// Guards against the kernel ending a request because its server, which acknowledges every window probe, does not read a
// long body for longer than TCP_USER_TIMEOUT.
func TestServerThatPausesReadingBodyGetsAllOfIt(t *testing.T) {
	t.Parallel()
	address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(readPause)
		if _, err = io.Copy(io.Discard, request.Body); err == nil {
			_, _ = io.WriteString(conn, responseTo(request.Header.Get("Id"), "read"))
		}
	})
	var opened atomic.Int32
	response, err := newTestPool(&opened).Send(context.Background(), &Request{
		Address: address, ID: "1", Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{"Id": {"1"}}, Body: make([]byte, 4<<20),
	})
	require.NoError(t, err)
	defer response.Close()
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "read", string(body))
}

// dropReceived makes the kernel discard, unacknowledged, all that the connection receives, as a box without power does.
func dropReceived(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	return errors.Join(err, filterErr)
}

// Guards against waiting for a server whose box acknowledges nothing any more, in the midst of a body or after it.
func TestServerWhoseBoxStopsAcknowledgingIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		// beforeDrop is how long the server reads nothing before its box stops.
		beforeDrop time.Duration
	}{
		"short request":                          {size: 100},
		"long body":                              {size: 4 << 20},
		"long body that was not read before":     {size: 4 << 20, beforeDrop: time.Second},
		"long body that was not read for longer": {size: 4 << 20, beforeDrop: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var droppedAt atomic.Pointer[time.Time]
			address := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if test.size > maxInlineBody {
					_, _ = http.ReadRequest(reader)
					time.Sleep(test.beforeDrop)
				}
				now := time.Now()
				droppedAt.Store(&now)
				_ = dropReceived(conn)
				time.Sleep(20 * time.Second)
			})
			var opened atomic.Int32
			pool := newTestPool(&opened)
			pool.options.Dial = dialWithoutHurry
			if test.size <= maxInlineBody {
				require.NoError(t, pool.Probe(context.Background(), address))
				require.Eventually(t, func() bool { return droppedAt.Load() != nil }, time.Second, time.Millisecond)
				time.Sleep(10 * time.Millisecond)
				now := time.Now()
				droppedAt.Store(&now)
			}
			_, err := pool.Send(context.Background(), &Request{
				Address: address, ID: "1", Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{"Id": {"1"}}, Body: make([]byte, test.size),
			})
			require.ErrorIs(t, err, ErrNoResponse)
			// Window probes have intervals that double up to userTimeout, so the first one without acknowledgement may be
			// sent as late after the drop as the server read nothing before.
			require.Less(t, time.Since(*droppedAt.Load()), userTimeout+min(test.beforeDrop, userTimeout)+time.Second)
		})
	}
}

// dialWithoutHurry is dial with a timeout that a busy machine does not exceed. How long a connection takes to open is not what
// its caller checks.
func dialWithoutHurry(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 10 * time.Second, KeepAlive: -1, Control: SetUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newUnreadConn(conn), nil
}

// Guards against the kernel sending a request for long after its process has ended, to a server that read nothing for long.
func TestUnreadDataIsDiscardedSoonAfterProcessEnds(t *testing.T) {
	t.Parallel()
	const pause, afterEnd = 5 * time.Second, 3 * time.Second
	const size = 16 << 20
	received, written := make(chan int64, 1), make(chan int, 1)
	address := startRawServer(t, func(_ net.Conn, reader *bufio.Reader) {
		time.Sleep(pause + afterEnd)
		n, _ := io.Copy(io.Discard, reader)
		received <- n
	})
	conn, err := dial(t.Context(), "tcp", string(address))
	require.NoError(t, err)
	go func() {
		n, _ := conn.Write(make([]byte, size))
		written <- n
	}()
	time.Sleep(pause)
	// The kernel treats the sockets of an ended process as closed ones.
	require.NoError(t, conn.Close())
	require.Less(t, <-received, int64(<-written))
}
