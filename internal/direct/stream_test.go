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
		whole := bytes.Clone(stream.Bytes())
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		reader := &eventReader{source: iotest.OneByteReader(bytes.NewReader(whole[:cut]))}
		var passed []byte
		last := ""
		for {
			events, id, err := reader.next()
			if err != nil {
				left := whole[len(passed):cut]
				if errors.Is(err, io.EOF) != (len(left) == 0) || len(left) > 0 && !errors.Is(err, errPartialEvent) {
					t.Fatalf("with %q left: %v", left, err)
				}
				break
			}
			passed = append(passed, events...)
			last = id
			if !bytes.HasSuffix(passed, []byte("\n\n")) {
				t.Fatalf("a part of an event was passed on: %q", events)
			}
		}
		if !bytes.HasPrefix(whole, passed) {
			t.Fatalf("passed on %q of %q", passed, whole)
		}
		if want := bytes.Count(passed, []byte("\n\n")); want > 0 && last != fmt.Sprint(want) {
			t.Fatalf("last id %q, want %d", last, want)
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
