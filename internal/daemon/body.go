package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errBodyDiscarded means that a body cannot be sent again because it exceeds the limit.
var errBodyDiscarded = errors.New("request body is too long to be sent again")

// bodyChunkSize is the maximum size of the chunks in which a body is forwarded, in bytes.
const bodyChunkSize = 32 << 10

// bodyReader reads a caller's request body once and replays it for later attempts. It discards
// the retained chunks once the body exceeds the limit; the body can then not be replayed.
type bodyReader struct {
	limit  int64
	chunks chan []byte
	err    error

	mu        sync.Mutex
	retained  [][]byte
	size      int64
	ended     bool
	discarded bool
}

// newBodyReader starts reading the body of a request; limit is in bytes. It reads a short body
// of known length before it returns. Reading stops when the context ends, which must be
// before the HTTP handler returns.
func newBodyReader(ctx context.Context, request *http.Request, limit int64) (*bodyReader, error) {
	b := &bodyReader{limit: limit}
	if request.Body == nil || request.Body == http.NoBody {
		b.ended = true
		return b, nil
	}
	if request.ContentLength >= 0 && request.ContentLength <= min(limit, bodyChunkSize) {
		data := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, data); err != nil {
			return nil, err
		}
		b.retained = [][]byte{data}
		b.ended = true
		return b, nil
	}
	b.chunks = make(chan []byte)
	go b.pump(ctx, request.Body)
	return b, nil
}

// pump reads the body and sends it to b.chunks. The channel is unbuffered, so that a slow
// backend server slows down the caller instead of filling memory.
func (b *bodyReader) pump(ctx context.Context, body io.Reader) {
	defer close(b.chunks)
	for {
		data := make([]byte, bodyChunkSize)
		n, err := body.Read(data)
		if n > 0 {
			select {
			case b.chunks <- data[:n]:
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

// inline returns the body if it has been read completely and consists of at most one chunk, so
// that it can be sent in the same frame as the head. Otherwise ok is false.
func (b *bodyReader) inline() (body []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended || b.err != nil || len(b.retained) > 1 || b.discarded {
		return nil, false
	}
	if len(b.retained) == 1 {
		body = b.retained[0]
	}
	return body, true
}

// replayable reports whether another attempt can send the body from its start.
func (b *bodyReader) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.discarded
}

// chunk returns the chunk with the given index, or nil after the last one. It returns
// errBodyDiscarded for a chunk that is no longer retained. Only one attempt may read at a time.
func (b *bodyReader) chunk(ctx context.Context, index int) ([]byte, error) {
	b.mu.Lock()
	if b.discarded && index < len(b.retained) && b.retained[index] == nil {
		b.mu.Unlock()
		return nil, errBodyDiscarded
	}
	if index < len(b.retained) {
		defer b.mu.Unlock()
		return b.retained[index], nil
	}
	ended := b.ended
	b.mu.Unlock()
	if ended {
		return nil, b.err
	}
	select {
	case data, ok := <-b.chunks:
		return b.retain(data, ok)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// retain records a chunk received from pump. It discards all chunks once the body exceeds the
// limit. If ok is false, the body has ended.
func (b *bodyReader) retain(data []byte, ok bool) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		b.ended = true
		return nil, b.err
	}
	b.size += int64(len(data))
	b.retained = append(b.retained, data)
	if b.size > b.limit {
		b.discarded = true
		for i := range b.retained {
			b.retained[i] = nil
		}
	}
	return data, nil
}
