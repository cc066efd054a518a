package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/fleet"
)

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, l *callerListener) *callerConn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", l.listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

// request sends a request with a header of a size in bytes and returns the status of the response.
func (c *callerConn) request(t *testing.T, size int) int {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("l", size)+"\r\n\r\n")
	require.NoError(t, err)
	return c.status(t)
}

func (c *callerConn) status(t *testing.T) int {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against proper requests being denied for headers that the operators allow.
func TestLimitsOfCallersFollowTheConfiguration(t *testing.T) {
	const size = 50 << 10
	received, release := make(chan struct{}), make(chan struct{})
	l, err := newCallerListener("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if len(r.Header.Get("X-Long")) == 1 {
			received <- struct{}{}
			<-release
		}
	}), zerolog.Nop())
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, dialCaller(t, l).request(t, size))

	inProgress := dialCaller(t, l)
	_, err = io.WriteString(inProgress, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: l\r\n\r\n")
	require.NoError(t, err)
	<-received
	l.setLimits(newCallerLimits(&fleet.Limits{HeaderBytes: 64 << 10}, 1<<20))
	kept := dialCaller(t, l)
	require.Equal(t, http.StatusOK, kept.request(t, size))
	l.setLimits(newCallerLimits(&fleet.Limits{HeaderBytes: 64 << 10}, 1<<20))
	require.Equal(t, http.StatusOK, kept.request(t, size), "limits that have not changed keep connections")
	close(release)
	require.Equal(t, http.StatusOK, inProgress.status(t), "a request in progress is not cut by a change")
	require.NoError(t, l.Stop(t.Context()))
}

// Guards against a change of limits closing idle connections on which requests may be under way, although they take every request
// that is allowed.
func TestChangeOfTheIdleTimeoutCutsNoRequest(t *testing.T) {
	l, err := newCallerListener("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), zerolog.Nop())
	require.NoError(t, err)
	for change := range 3 {
		kept := dialCaller(t, l)
		require.Equal(t, http.StatusOK, kept.request(t, 1))
		l.setLimits(newCallerLimits(&fleet.Limits{IdleTimeout: time.Duration(20+change) * time.Second}, 1<<20))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, http.StatusOK, kept.request(t, 1))
		_, err := kept.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection closes after the next response")
	}
	require.NoError(t, l.Stop(t.Context()))
}

func TestLimitsOfCallersAreNeverBelowTheDefault(t *testing.T) {
	require.Equal(t, defaultCallerLimits, newCallerLimits(&fleet.Limits{}, 1<<20))
	require.Equal(t, defaultCallerLimits, newCallerLimits(&fleet.Limits{HeaderBytes: 100, HeaderTimeout: time.Millisecond}, 1<<20))
	limits := newCallerLimits(&fleet.Limits{HeaderBytes: 1 << 40, HeaderTimeout: time.Minute, IdleTimeout: time.Hour}, 1<<20)
	require.Equal(t, callerLimits{1 << 20, time.Minute, time.Hour}, limits, "headers are bounded by the memory of the box")
}
