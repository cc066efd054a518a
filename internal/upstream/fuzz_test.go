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

// closeRecorder is a connection of which nothing is used but that it can be closed.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

func FuzzResponse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/answers.txtar")
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
			Matches: func(answer *http.Response, id string) bool { return answer.Header.Get("Id") == id },
		})
		raw := &closeRecorder{}
		c := &conn{Conn: raw, pool: pool, address: "there", reader: bufio.NewReaderSize(bytes.NewReader(stream), bufferSize)}
		request := &Request{ID: "1", Method: http.MethodPost}
		if head {
			request.Method = http.MethodHead
		}
		response, err := c.readMatching(request)
		if err != nil {
			return
		}
		checkHead(t, response)
		answer := &Response{Response: response, conn: c, writeResult: make(chan error, 1), keepAlive: keepAliveTimeout(response.Header)}
		answer.writeResult <- nil
		body, err := io.ReadAll(answer)
		checkBody(t, answer, stream, body, err)
		answer.Close()
		if kept := len(pool.idle["there"]) == 1; kept == raw.closed {
			t.Fatalf("kept is %v, closed is %v", kept, raw.closed)
		} else if kept && (err != nil || response.Close || !answer.IsSelfDelimited()) {
			t.Fatalf("a connection is kept whose answer has no certain end: %v", err)
		}
	})
}

// checkHead checks what must hold of an answer that is passed on.
func checkHead(t *testing.T, response *http.Response) {
	t.Helper()
	if response.Header.Get("Id") != "1" {
		t.Fatal("the answer belongs to another request")
	}
	if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("an interim answer is passed on: %s", response.Status)
	}
}

// checkBody checks the body against what was sent.
func checkBody(t *testing.T, answer *Response, stream, body []byte, err error) {
	t.Helper()
	if len(body) > len(stream) {
		t.Fatalf("a body of %d bytes of %d", len(body), len(stream))
	}
	if len(answer.TransferEncoding) == 0 && !bytes.Contains(stream, body) {
		t.Fatalf("%q was not sent", body)
	}
	if answer.ContentLength > 0 && answer.Request.Method != http.MethodHead && err == nil && int64(len(body)) != answer.ContentLength {
		t.Fatalf("%d bytes are whole of %d", len(body), answer.ContentLength)
	}
}
