package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
