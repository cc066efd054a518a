package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/settings"
)

// startStopDeployment starts one entry box with two servers without a model.
func startStopDeployment(t *testing.T) *testDeployment {
	t.Helper()
	w := newTestDeployment(t)
	t.Cleanup(w.close)
	require.NoError(t, w.cmdPlatform([]string{"plain=2"}))
	require.NoError(t, w.cmdEntry([]string{"entry-1"}))
	require.NoError(t, w.cmdAwait([]string{"ready", "entry-1"}))
	return w
}

// runs returns how often the servers have run a request.
func (w *testDeployment) runs(id string) (count int) {
	for _, s := range w.servers {
		count += s.Runs()[id]
	}
	return count
}

// Guards against a request that is still running when the grace period ends being cut without an answer.
func TestRequestsAtTheEndOfAPlannedStopGetAnAnswer(t *testing.T) {
	for _, path := range []string{"/once/1", "/look/1"} {
		t.Run(path, func(t *testing.T) {
			w := startStopDeployment(t)
			w.settingsByName["entry-1"].Stop.Grace = settings.Duration(2 * time.Second)
			for _, s := range w.servers {
				s.SetUnresponsive(true)
			}
			statuses := make(chan int, 1)
			go func() {
				response, err := w.request("entry-1", "late", path, "key-1")
				if err != nil {
					statuses <- 0
					return
				}
				_ = response.Body.Close()
				statuses <- response.StatusCode
			}()
			require.Eventually(t, func() bool { return w.runs("late") > 0 }, waitTimeout, 10*time.Millisecond)
			_ = w.cmdStop([]string{"entry-1"})
			require.Equal(t, http.StatusGatewayTimeout, <-statuses)
		})
	}
}

// Guards against a request whose body ends late in the grace period being passed on, and cut at the end of it.
func TestRequestWhoseBodyEndsLateInAPlannedStopIsRefused(t *testing.T) {
	w := startStopDeployment(t)
	conn := w.dialCallers("entry-1", 0)
	_, err := fmt.Fprintf(conn, "POST /haul/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\nContent-Length: 8\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- w.cmdStop([]string{"entry-1"}) }()
	time.Sleep(3300 * time.Millisecond)
	_, err = io.WriteString(conn, "half")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NoError(t, <-stopped)
	require.Zero(t, w.runs("slow"))
}

// dialCallers opens a connection to an entry box as a caller. receiveBuffer is the size of its receive buffer, in bytes; 0 for the
// default. Segments have the size of Ethernet's if it is set, as on loopback few of them fill any buffer.
func (w *testDeployment) dialCallers(entry string, receiveBuffer int) net.Conn {
	w.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", w.settingsByName[entry].Listen.Callers)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// The callers that read their responses slowly: the sizes of the response and of the receive buffer, in bytes.
const (
	slowReaderBody   = 128 << 10
	slowReaderBuffer = 16 << 10
)

// startSlowReader sends a request and returns a function that reads the response.
func (w *testDeployment) startSlowReader(id, header string) (read func() error) {
	conn := w.dialCallers("entry-1", slowReaderBuffer)
	_, err := fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n%s\r\n", id, header)
	require.NoError(w.t, err)
	return func() error {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		if err == nil && string(body) != strings.Repeat("x", slowReaderBody) {
			return fmt.Errorf("status %d with %d bytes, which appear complete", response.StatusCode, len(body))
		}
		return err
	}
}

// Guards against the kernel dropping responses that callers have not read when their connections are closed: by a planned stop, by a
// change of IdleTimeoutMs, or on a request with "Connection: close".
func TestCallersThatReadOnLateGetWholeResponses(t *testing.T) {
	for _, test := range []struct {
		name, header string
		pause        time.Duration
		// end begins what closes the connections, and returns a function that waits for its end.
		end func(w *testDeployment) (wait func() error)
	}{
		{"planned stop", "", 7 * time.Second, func(w *testDeployment) func() error {
			stopped := make(chan error, 1)
			go func() { stopped <- w.cmdStop([]string{"entry-1"}) }()
			return func() error { return <-stopped }
		}},
		{"change of the idle timeout", "", 3500 * time.Millisecond, func(w *testDeployment) func() error {
			w.putIdleTimeout(2, 20*time.Second)
			return func() error { return nil }
		}},
		{"asked for", "Connection: close\r\n", 3500 * time.Millisecond, func(*testDeployment) func() error { return func() error { return nil } }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := startStopDeployment(t)
			w.settingsByName["entry-1"].Stop.Grace = settings.Duration(10 * time.Second)
			for _, s := range w.servers {
				s.SetLongBody(slowReaderBody, 50*time.Millisecond)
			}
			var reads []func() error
			for i := range 4 {
				reads = append(reads, w.startSlowReader(fmt.Sprint("slow-", i), test.header))
			}
			time.Sleep(700 * time.Millisecond)
			wait := test.end(w)
			time.Sleep(test.pause)
			for _, read := range reads {
				require.NoError(t, read())
			}
			require.NoError(t, wait())
		})
	}
}
