package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is a server's response whose body has not been read yet.
type Response struct {
	*http.Response

	conn *conn
	stop func() bool
	// keepAlive is how long the connection may be reused after the response.
	keepAlive time.Duration
	// writeResult receives the result of writing the request.
	writeResult chan error
	bodyRead    bool
}

// Read reads the body. It returns io.EOF once the complete body has been read.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// IsSelfDelimited reports whether the end of the body is marked by its length or encoding instead of the end of the
// connection.
func (r *Response) IsSelfDelimited() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Close returns the connection to the pool if the response was read completely and the server keeps the connection
// open. Otherwise it closes the connection, with a reset if the response was not read completely.
func (r *Response) Close() {
	live := r.stop == nil || r.stop()
	if !live || !r.bodyRead {
		r.conn.reset()
		return
	}
	if r.Response.Close || !r.IsSelfDelimited() || !r.isRequestWritten() {
		_ = r.conn.Close()
		return
	}
	r.conn.reusableUntil = r.conn.pool.options.Clock.Now().Add(r.keepAlive)
	r.conn.pool.putIdle(r.conn)
}

// isRequestWritten reports whether the request was written completely. A server may respond before it has read a long
// body. It would read the next request on the same connection as the rest of that body.
func (r *Response) isRequestWritten() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// drain reads and discards a response of up to drainLimit bytes. It does not close the body of a longer one, because
// closing would read it to its end.
func drain(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, drainLimit+1))
	if n > drainLimit {
		return errMismatchedTooLong
	}
	return errors.Join(err, response.Body.Close())
}

// errMismatchedTooLong reports a response to another request that is longer than drainLimit.
var errMismatchedTooLong = errors.New("response to another request is too long")

// drainLimit is the maximum size of a discarded response body, in bytes.
const drainLimit = 1 << 20

// Discard reads the rest of a short response and closes it, so that the connection can be reused. A response whose end does not
// arrive within discardTimeout is closed without it.
func (r *Response) Discard() {
	defer r.Close()
	// An error means that the connection is closed.
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.Copy(io.Discard, io.LimitReader(r, discardLimit)); err != nil {
		return
	}
	// Read once more to detect the end of the body, which the limited reader may not have reached.
	_, _ = r.Read(make([]byte, 1))
	_ = r.conn.SetReadDeadline(time.Time{})
}

const (
	// discardLimit is the maximum number of body bytes that Discard reads to make a connection reusable.
	discardLimit = 4 << 10
	// discardTimeout is how long Discard waits for them. A new connection takes about as long.
	discardTimeout = 50 * time.Millisecond
)
