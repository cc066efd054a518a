package daemon

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(line)
}

func TestLoggingNeverBlocksOnOutput(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	clock := clockwork.NewFakeClock()
	queue := NewLogQueue(out, clock)
	dropped := atomic.Int64{}
	queue.OnDrop = func() { dropped.Add(1) }
	const lines = 4 * logQueueLines
	for i := range lines {
		_, err := fmt.Fprintf(queue, "line %d\n", i)
		require.NoError(t, err)
		if i%maxLogLinesPerSecond == maxLogLinesPerSecond-1 {
			clock.Advance(time.Second)
		}
	}
	require.Positive(t, dropped.Load())
	close(out.release)
	queue.Close(context.Background())
	written := strings.Count(out.String(), "line ")
	require.EqualValues(t, lines, int64(written)+dropped.Load(), "each line is written or counted")
	require.Contains(t, out.String(), "log lines dropped")
}

func TestLogRateIsBounded(t *testing.T) {
	out := &bytes.Buffer{}
	queue := NewLogQueue(out, clockwork.NewFakeClock())
	for range 3 * maxLogLinesPerSecond {
		_, _ = queue.Write([]byte("x\n"))
	}
	queue.Close(context.Background())
	require.LessOrEqual(t, strings.Count(out.String(), "x\n"), maxLogLinesPerSecond)
}
