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
		reader := &eventReader{source: iotest.OneByteReader(bytes.NewReader(complete[:length]))}
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
	reader := &eventReader{source: io.LimitReader(endlessReader{}, 4*maxEventBytes)}
	_, _, err := reader.next()
	require.ErrorIs(t, err, errEventTooLong)
}

type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'x'
	}
	return len(buffer), nil
}
