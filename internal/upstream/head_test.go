package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// headCase is a head of testdata/heads.txt.
type headCase struct {
	head   string
	isHead bool
}

func readHeads(t *testing.T) (heads []headCase) {
	t.Helper()
	file, err := os.Open("testdata/heads.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		verdict, quoted, _ := strings.Cut(line, " ")
		head, err := strconv.Unquote(quoted)
		require.NoError(t, err, line)
		require.Contains(t, []string{"yes", "no"}, verdict, line)
		heads = append(heads, headCase{head, verdict == "yes"})
	}
	return heads
}

// serveConns starts a server that calls serve with each connection on which it has read the head of a request, and closes it.
func serveConns(t *testing.T, serve func(conn *net.TCPConn)) member.Address {
	t.Helper()
	return upstream.StartRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			serve(conn.(*net.TCPConn))
		}
	})
}

// serveBytes starts a server that sends the given bytes in response to each request and ends the connection in order.
func serveBytes(t *testing.T, response string) member.Address {
	t.Helper()
	return serveConns(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, response) })
}

// sendOnceConnected sends a request, and tries again while no connection could be opened: on a busy machine that may take longer than
// the pool allows.
func sendOnceConnected(ctx context.Context, request *upstream.Request) (*upstream.Response, error) {
	pool := newPool()
	for {
		response, err := pool.Send(ctx, request)
		if !errors.Is(err, upstream.ErrNotSent) || ctx.Err() != nil {
			return response, err
		}
	}
}

// Guards against bytes that are no head of a response by the protocol being taken for one, with a body that is not the server's.
func TestOnlyHeadsByTheProtocolAreResponses(t *testing.T) {
	for _, test := range readHeads(t) {
		t.Run(strconv.Quote(test.head), func(t *testing.T) {
			response, err := sendOnceConnected(t.Context(), newRequest(serveBytes(t, test.head+"abcd"), "1"))
			if !test.isHead {
				require.ErrorIs(t, err, upstream.ErrNoResponse)
				return
			}
			require.NoError(t, err)
			defer response.Close()
			body, err := io.ReadAll(response)
			require.NoError(t, err)
			require.Equal(t, "abcd", string(body))
		})
	}
}

// Guards against a client of net/http taking a status or a name that is none for a response.
func TestCheckedTransportRejectsWhatIsNoResponse(t *testing.T) {
	client := &http.Client{Transport: upstream.CheckedTransport{Transport: &http.Transport{DisableKeepAlives: true}}}
	for head, isResponse := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n":    true,
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\n":    false,
		"HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n\r\n":             false,
		"HTTP/9.1 200 OK\r\nContent-Length: 4\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nX-Foo: a\x01b\r\n\r\n":        false,
		"HTTP/1.1 200 OK\r\nX-Foo: a\tb \xe9\r\n\r\nabcd": true,
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(serveBytes(t, head+"abcd")), http.NoBody)
		require.NoError(t, err)
		response, err := client.Do(request)
		require.Equal(t, isResponse, err == nil, "%q: %v", head, err)
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
	}
}
