package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
)

// closeRecorder is a net.Conn that records whether it was closed. All other methods panic.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

func FuzzResponse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/responses.txtar")
	require.NoError(f, err)
	require.NotEmpty(f, archive.Files)
	for _, file := range archive.Files {
		stream := bytes.ReplaceAll(file.Data, []byte("\n"), []byte("\r\n"))
		f.Add(stream, false)
		f.Add(stream, true)
	}
	f.Fuzz(func(t *testing.T, stream []byte, head bool) {
		pool := NewPool(Options{
			Clock: clockwork.NewFakeClock(), MaxIdlePerServer: 1,
			Matches: func(response *http.Response, id string) bool { return response.Header.Get("Id") == id },
		})
		raw := &closeRecorder{}
		source := newBoundedReader(bytes.NewReader(stream))
		c := &conn{Conn: raw, pool: pool, address: "there", source: source, reader: bufio.NewReaderSize(source, bufferSize)}
		request := &Request{ID: "1", Method: http.MethodPost}
		if head {
			request.Method = http.MethodHead
		}
		response, err := c.readMatching(request)
		if err != nil {
			return
		}
		checkHead(t, response)
		wrapped := &Response{Response: response, conn: c, writeResult: make(chan error, 1), keepAlive: keepAliveTimeout(response.Header)}
		wrapped.writeResult <- nil
		body, err := io.ReadAll(wrapped)
		checkBody(t, wrapped, stream, body, err)
		wrapped.Close()
		if idle := len(pool.idle["there"]) == 1; idle == raw.closed {
			t.Fatalf("connection must be either idle or closed: idle %v, closed %v", idle, raw.closed)
		} else if idle && (err != nil || response.Close || !wrapped.IsSelfDelimited()) {
			t.Fatalf("connection is reused although the end of its response is unknown: %v", err)
		}
	})
}

// checkHead checks that a response belongs to the request and is not interim.
func checkHead(t *testing.T, response *http.Response) {
	t.Helper()
	if response.Header.Get("Id") != "1" {
		t.Fatal("response belongs to another request")
	}
	if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("interim response is returned: %s", response.Status)
	}
}

// checkBody checks that the body is part of the sent stream and has the announced length.
func checkBody(t *testing.T, response *Response, stream, body []byte, err error) {
	t.Helper()
	if len(body) > len(stream) {
		t.Fatalf("body has %d bytes, but only %d were sent", len(body), len(stream))
	}
	if len(response.TransferEncoding) == 0 && !bytes.Contains(stream, body) {
		t.Fatalf("body %q was not sent", body)
	}
	if response.ContentLength > 0 && response.Request.Method != http.MethodHead && err == nil && int64(len(body)) != response.ContentLength {
		t.Fatalf("body of %d bytes is accepted as complete, want %d bytes", len(body), response.ContentLength)
	}
}
