package direct_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// Guards against a server's bytes without an end taking the time or the memory of a request: the caller gets a response
// before its deadline, whatever part of the response has no end.
func TestResponseWithoutEndGetsAnAnswerInTime(t *testing.T) {
	w := newTestDeployment(t)
	t.Cleanup(w.close)
	require.NoError(t, w.cmdPlatform([]string{"plain=1"}))
	require.NoError(t, w.cmdEntry([]string{"entry-1"}))
	require.NoError(t, w.cmdAwait([]string{"ready", "entry-1"}))
	before := standin.EndlessBytes()
	statuses := map[standin.Endless]int{
		standin.EndlessEvent: http.StatusOK, standin.EndlessBody: http.StatusOK, standin.EndlessChunks: http.StatusOK,
		standin.EndlessRefusal: http.StatusServiceUnavailable, standin.EndlessAfterAnswer: http.StatusOK,
	}
	for _, kind := range standin.EndlessKinds {
		t.Run(string(kind), func(t *testing.T) {
			// The box does not send to a server for a while after it has failed.
			w.servers["plain-1"].SetEndless("")
			require.NoError(t, w.cmdAwait([]string{"status", "entry-1", "/once/1", "key-1", "200"}))
			status := http.StatusBadGateway
			if statuses[kind] != 0 {
				status = statuses[kind]
			}
			w.servers["plain-1"].SetEndless(kind)
			response, err := w.request("entry-1", "endless-"+string(kind), "/once/1", "key-1")
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, status, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			switch kind {
			case standin.EndlessAfterAnswer:
				require.NoError(t, err)
				require.Equal(t, "answer to endless-after-answer", string(body))
			case standin.EndlessBody, standin.EndlessChunks, standin.EndlessEvent:
				require.Error(t, err, "a part of a body does not appear complete")
			default:
				require.NoError(t, err)
				require.Empty(t, body)
			}
		})
	}
	t.Logf("%d bytes without an end were sent", standin.EndlessBytes()-before)
}

// Guards against one server whose responses have no end failing a request that may be repeated, or a stream.
func TestRequestIsRepeatedAfterResponseWithoutEnd(t *testing.T) {
	w := newTestDeployment(t)
	t.Cleanup(w.close)
	require.NoError(t, w.cmdPlatform([]string{"plain=2", "models=2"}))
	require.NoError(t, w.cmdEntry([]string{"entry-1"}))
	require.NoError(t, w.cmdAgent([]string{"model-1", "model-2"}))
	require.NoError(t, w.cmdAwait([]string{"ready", "entry-1"}))
	require.NoError(t, w.cmdAwait([]string{"stream", "entry-1"}))
	for _, kind := range []standin.Endless{
		standin.EndlessStatusLine, standin.EndlessHeaders, standin.EndlessInterim, standin.EndlessChunkLine, standin.EndlessTrailers,
		standin.EndlessRefusal, standin.EndlessEvent,
	} {
		t.Run(string(kind), func(t *testing.T) {
			w.servers["model-1"].SetEndless(kind)
			require.NoError(t, w.checkStream("entry-1", "stream-"+string(kind)))
			if kind == standin.EndlessEvent {
				return
			}
			w.servers["plain-1"].SetEndless(kind)
			response, err := w.request("entry-1", "look-"+string(kind), "/look/1", "key-1")
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}

// Guards against a caller that never sends the rest of its body holding a part of the box's memory for good.
func TestRequestWhoseBodyDoesNotEndGetsAnAnswerInTime(t *testing.T) {
	w := newTestDeployment(t)
	t.Cleanup(w.close)
	require.NoError(t, w.cmdPlatform([]string{"plain=1"}))
	require.NoError(t, w.cmdEntry([]string{"entry-1"}))
	require.NoError(t, w.cmdAwait([]string{"ready", "entry-1"}))
	for name, framing := range map[string]string{
		"length": "Content-Length: 100\r\n\r\npart",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var dialer net.Dialer
			conn, err := dialer.DialContext(t.Context(), "tcp", w.settingsByName["entry-1"].Listen.Callers)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late-"+name+
				"\r\nX-Deadline-Ms: 300\r\nAuthorization: Bearer key-1\r\n"+framing)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
			require.NoError(t, w.cmdCheckRuns([]string{"late-" + name, "0"}))
		})
	}
}
