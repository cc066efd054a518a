package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errBodyDiscarded reports a body that is too long to be sent a second time.
var errBodyDiscarded = errors.New("request body was not kept for another try")

// bodyChunkSize is the size of the pieces in which a body is passed on, in bytes.
const bodyChunkSize = 32 << 10

// bodyReader reads a caller's body once and can give it to several attempts, one
// after the other, as long as it is no longer than the limit.
type bodyReader struct {
	limit  int64
	chunks chan []byte
	err    error

	mu        sync.Mutex
	kept      [][]byte
	size      int64
	ended     bool
	discarded bool
}

// newBodyReader starts to read. A short body of known length is read at once.
// Reading ends with the context, which must end before the handler returns.
func newBodyReader(ctx context.Context, request *http.Request, limit int64) (*bodyReader, error) {
	b := &bodyReader{limit: limit}
	if request.Body == nil || request.Body == http.NoBody {
		b.ended = true
		return b, nil
	}
	if request.ContentLength >= 0 && request.ContentLength <= min(limit, bodyChunkSize) {
		piece := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, piece); err != nil {
			return nil, err
		}
		b.kept = [][]byte{piece}
		b.ended = true
		return b, nil
	}
	b.chunks = make(chan []byte)
	go b.pump(ctx, request.Body)
	return b, nil
}

// pump hands over one piece at a time, so that a slow backend server slows the
// caller and nothing piles up here.
func (b *bodyReader) pump(ctx context.Context, body io.Reader) {
	defer close(b.chunks)
	for {
		piece := make([]byte, bodyChunkSize)
		n, err := body.Read(piece)
		if n > 0 {
			select {
			case b.chunks <- piece[:n]:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				b.err = err
			}
			return
		}
	}
}

// inline returns the body if it is short and all here, so that it can go with the
// head; ok is false otherwise.
func (b *bodyReader) inline() (body []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended || b.err != nil || len(b.kept) > 1 || b.discarded {
		return nil, false
	}
	if len(b.kept) == 1 {
		body = b.kept[0]
	}
	return body, true
}

// replayable reports whether another attempt could send the body from its start.
func (b *bodyReader) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.discarded
}

// chunk returns the piece of an index; nil at the end. Only one attempt reads at
// a time.
func (b *bodyReader) chunk(ctx context.Context, index int) ([]byte, error) {
	b.mu.Lock()
	if b.discarded && index < len(b.kept) && b.kept[index] == nil {
		b.mu.Unlock()
		return nil, errBodyDiscarded
	}
	if index < len(b.kept) {
		defer b.mu.Unlock()
		return b.kept[index], nil
	}
	ended := b.ended
	b.mu.Unlock()
	if ended {
		return nil, b.err
	}
	select {
	case piece, ok := <-b.chunks:
		return b.keep(piece, ok)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *bodyReader) keep(piece []byte, ok bool) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		b.ended = true
		return nil, b.err
	}
	b.size += int64(len(piece))
	b.kept = append(b.kept, piece)
	if b.size > b.limit {
		b.discarded = true
		for i := range b.kept {
			b.kept[i] = nil
		}
	}
	return piece, nil
}
