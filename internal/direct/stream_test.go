package direct

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEventsAreForwardedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		count := rapid.IntRange(0, 30).Draw(t, "events")
		for i := range count {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "data"))
		}
		complete := bytes.Clone(stream.Bytes())
		length := rapid.IntRange(0, len(complete)).Draw(t, "cut")
		reader := newEventReader(iotest.OneByteReader(bytes.NewReader(complete[:length])), newTestHeldBytes(1<<30))
		var forwarded []byte
		last := ""
		for {
			events, id, err := reader.next()
			if err != nil {
				remaining := complete[len(forwarded):length]
				if errors.Is(err, io.EOF) != (len(remaining) == 0) || len(remaining) > 0 && !errors.Is(err, errPartialEvent) {
					t.Fatalf("next with %q remaining: %v", remaining, err)
				}
				break
			}
			forwarded = append(forwarded, events...)
			last = id
			if !bytes.HasSuffix(forwarded, []byte("\n\n")) {
				t.Fatalf("forwarded a partial event: %q", events)
			}
		}
		if !bytes.HasPrefix(complete, forwarded) {
			t.Fatalf("forwarded %q of %q", forwarded, complete)
		}
		if want := bytes.Count(forwarded, []byte("\n\n")); want > 0 && last != fmt.Sprint(want) {
			t.Fatalf("last ID is %q, want %d", last, want)
		}
	})
}

func TestOversizedEventIsRejected(t *testing.T) {
	held := newTestHeldBytes(1 << 30)
	reader := newEventReader(io.LimitReader(endlessReader{}, 4*maxEventBytes), held)
	_, _, err := reader.next()
	require.ErrorIs(t, err, errEventTooLong)
	require.Positive(t, held.used.Load())
	reader.release()
	require.Zero(t, held.used.Load())
}

// Guards against events without an end of several servers together taking more memory than a box may hold.
func TestOversizedEventsTogetherAreBounded(t *testing.T) {
	const limit = 100 << 10
	held := newTestHeldBytes(limit)
	for range 20 {
		reader := newEventReader(endlessReader{}, held)
		defer reader.release()
		_, _, err := reader.next()
		require.ErrorIs(t, err, errEventTooLong)
		require.LessOrEqual(t, held.used.Load(), int64(limit))
		require.LessOrEqual(t, cap(reader.buffer.data), limit+minHeldBuffer)
	}
	event := []byte("id: 1\ndata: x\n\n")
	reader := newEventReader(bytes.NewReader(event), held)
	events, _, err := reader.next()
	require.NoError(t, err, "a usual event passes even then")
	require.Equal(t, event, events)
}

// Guards against a body whose first part is kept for a repeat taking more memory than a box may hold.
func TestHeldBufferGrowsWithinTheLimits(t *testing.T) {
	held := newTestHeldBytes(20 << 10)
	buffer := &heldBuffer{held: held}
	for buffer.grow(responseBufferSize) {
		_, _ = buffer.read(endlessReader{})
	}
	require.Len(t, buffer.data, 16<<10, "the next size would be over the limit")
	require.EqualValues(t, len(buffer.data)-minHeldBuffer, held.used.Load())
	buffer.release()
	require.Zero(t, held.used.Load())
}

type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'x'
	}
	return len(buffer), nil
}
