package upstream

import (
	"errors"
	"io"
)

// errHeadTooLong reports a head of a response that is longer than the limit of the pool, or bytes that form none.
var errHeadTooLong = errors.New("head of the response is too long")

// boundedReader reads from a connection and can limit how much. Only the goroutine that reads the response uses it.
type boundedReader struct {
	source io.Reader
	// received is the number of bytes read so far.
	received int64
	// isLimited is set while at most left more bytes are read.
	isLimited bool
	left      int64
	// head is what has been read since limit was called, while the limit holds.
	head []byte
}

func newBoundedReader(source io.Reader) *boundedReader { return &boundedReader{source: source} }

// limit makes Read return errHeadTooLong after n more bytes, and keep what it reads. A head of n bytes can be read whole, whether
// some of it was read before or not. before is that part.
func (r *boundedReader) limit(n int64, before []byte) {
	r.isLimited, r.left = true, n
	r.head = append(r.head[:0], before...)
}

// unlimit removes the limit and releases the buffer of a long head.
func (r *boundedReader) unlimit() {
	r.isLimited = false
	if cap(r.head) > bufferSize {
		r.head = nil
	}
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.isLimited {
		if r.left <= 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(int64(len(p)), r.left)]
	}
	n, err := r.source.Read(p)
	r.received += int64(n)
	r.left -= int64(n)
	if r.isLimited {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}
