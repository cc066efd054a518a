package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/upstream"
)

// Guards against the kernel cutting a long response because its caller, which acknowledges every window probe, reads
// nothing for longer than TCP_USER_TIMEOUT, far below unreadTimeout.
func TestCallerThatPausesReadingGetsWholeResponse(t *testing.T) {
	t.Parallel()
	const size, pause = 4 << 20, 2800 * time.Millisecond
	require.Less(t, pause, unreadTimeout)
	listener, err := upstream.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(pause)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Len(t, body, size)
}
