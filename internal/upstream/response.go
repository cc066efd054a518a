package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is the answer of a server. Its body has yet to be read.
type Response struct {
	*http.Response

	conn *conn
	stop func() bool
	// keepAlive is how long the connection may be used again after the answer.
	keepAlive time.Duration
	// writeResult gives the result of writing the request.
	writeResult chan error
	bodyRead    bool
}

// Read reads the body. io.EOF means that the body is whole.
func (a *Response) Read(buffer []byte) (int, error) {
	n, err := a.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.bodyRead = true
	}
	return n, err
}

// IsSelfDelimited reports whether the end of the body shows by other means than the end
// of the connection.
func (a *Response) IsSelfDelimited() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// Close gives the connection back if the answer was read whole and the server
// keeps it open, and closes it otherwise. An answer that was not read whole is given
// up, and its connection reset.
func (a *Response) Close() {
	live := a.stop == nil || a.stop()
	if !live || !a.bodyRead {
		a.conn.reset()
		return
	}
	if a.Response.Close || !a.IsSelfDelimited() || !a.isRequestWritten() {
		_ = a.conn.Close()
		return
	}
	a.conn.reusableUntil = a.conn.pool.options.Clock.Now().Add(a.keepAlive)
	a.conn.pool.putIdle(a.conn)
}

// isRequestWritten reports whether the request was written whole. A server may answer
// before it has read a long body; what comes next on such a connection would be
// taken for the rest of it.
func (a *Response) isRequestWritten() bool {
	select {
	case err := <-a.writeResult:
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
		return errMismatchedTooLong
	}
	return errors.Join(err, response.Body.Close())
}

// errMismatchedTooLong reports an answer to another request that is longer than drainLimit.
var errMismatchedTooLong = errors.New("answer to another request is too long")

// drainLimit bounds an answer that is thrown away, in bytes.
const drainLimit = 1 << 20

// Discard reads the rest of a short answer and closes it, so that the connection
// can be kept.
func (a *Response) Discard() {
	if _, err := io.Copy(io.Discard, io.LimitReader(a, discardLimit)); err == nil {
		// The reader has met the end unless the answer is longer.
		_, _ = a.Read(make([]byte, 1))
	}
	a.Close()
}

// discardLimit bounds an answer that is read only to keep its connection, in
// bytes.
const discardLimit = 4 << 10
