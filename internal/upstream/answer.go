package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Answer is the answer of a server. Its body has yet to be read.
type Answer struct {
	*http.Response

	conn *conn
	stop func() bool
	// keep is how long the connection may be used again after the answer.
	keep time.Duration
	// sent gives the result of writing the request.
	sent  chan error
	ended bool
}

// Read reads the body. io.EOF means that the body is whole.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// IsFramed reports whether the end of the body shows by other means than the end
// of the connection.
func (a *Answer) IsFramed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// Close gives the connection back if the answer was read whole and the server
// keeps it open, and closes it otherwise. An answer that was not read whole is given
// up, and its connection reset.
func (a *Answer) Close() {
	live := a.stop == nil || a.stop()
	if !live || !a.ended {
		a.conn.reset()
		return
	}
	if a.Response.Close || !a.IsFramed() || !a.isSent() {
		_ = a.conn.Close()
		return
	}
	a.conn.until = a.conn.pool.options.Clock.Now().Add(a.keep)
	a.conn.pool.keep(a.conn)
}

// isSent reports whether the request was written whole. A server may answer
// before it has read a long body; what comes next on such a connection would be
// taken for the rest of it.
func (a *Answer) isSent() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// drain reads an answer that is thrown away. Closing its body would read one that is longer than
// the limit to its end.
func drain(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, drainLimit+1))
	if n > drainLimit {
		return errStrayTooLong
	}
	return errors.Join(err, response.Body.Close())
}

// errStrayTooLong reports an answer to another request that is longer than drainLimit.
var errStrayTooLong = errors.New("answer to another request is too long")

// drainLimit bounds an answer that is thrown away, in bytes.
const drainLimit = 1 << 20

// Discard reads the rest of a short answer and closes it, so that the connection
// can be kept.
func (a *Answer) Discard() {
	if _, err := io.Copy(io.Discard, io.LimitReader(a, discardLimit)); err == nil {
		// The reader has met the end unless the answer is longer.
		_, _ = a.Read(make([]byte, 1))
	}
	a.Close()
}

// discardLimit bounds an answer that is read only to keep its connection, in
// bytes.
const discardLimit = 4 << 10
