package daemon

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// logQueueLines is the capacity of the queue, enough for a burst of a few seconds.
	logQueueLines = 4096
	// maxLogLinesPerSecond is the maximum rate of accepted lines. It allows several lines
	// for each request that one box can serve.
	maxLogLinesPerSecond = 2000
)

// LogQueue writes log lines in the background, so that logging never blocks on the output.
// Lines beyond the rate limit or the capacity of the queue are dropped and counted.
// A warning with their number precedes the next line that is written.
type LogQueue struct {
	out          io.Writer
	clock        clockwork.Clock
	lines        chan []byte
	done         chan struct{}
	droppedLines atomic.Int64
	// OnDrop is called for each dropped line. It may be nil.
	OnDrop func()

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
	started         time.Time
}

// NewLogQueue returns a queue that writes to out until it is closed.
func NewLogQueue(out io.Writer, clock clockwork.Clock) *LogQueue {
	q := &LogQueue{out: out, clock: clock, lines: make(chan []byte, logQueueLines), done: make(chan struct{}), started: clock.Now()}
	go q.drain()
	return q
}

// Write enqueues a copy of a line or drops it. It never blocks on the output and never fails.
func (q *LogQueue) Write(line []byte) (int, error) {
	if !q.allow() {
		q.drop()
		return len(line), nil
	}
	lineCopy := append([]byte(nil), line...)
	select {
	case q.lines <- lineCopy:
	default:
		q.drop()
	}
	return len(line), nil
}

// allow counts a line and reports whether it is within the limit of the current second.
func (q *LogQueue) allow() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	second := int64(q.clock.Since(q.started) / time.Second)
	if second != q.currentSecond {
		q.currentSecond, q.linesThisSecond = second, 0
	}
	q.linesThisSecond++
	return q.linesThisSecond <= maxLogLinesPerSecond
}

func (q *LogQueue) drop() {
	q.droppedLines.Add(1)
	if q.OnDrop != nil {
		q.OnDrop()
	}
}

func (q *LogQueue) drain() {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		if dropped := q.droppedLines.Swap(0); dropped > 0 {
			_, _ = io.WriteString(q.out, "level=warn event=\"log lines dropped\" lines="+strconv.FormatInt(dropped, 10)+"\n")
		}
		// The error is ignored: a failed log output cannot be logged.
		_, _ = q.out.Write(line)
	}
}

// Close waits until the queued lines are written or the context ends. Lines enqueued later are lost.
func (q *LogQueue) Close(ctx context.Context) {
	select {
	case q.lines <- nil: // nil marks the end of the queue
	case <-q.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}
