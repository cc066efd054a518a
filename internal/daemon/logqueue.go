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
	// logQueueLines is how many lines wait to be written; the burst of some seconds.
	logQueueLines = 4096
	// maxLogLinesPerSecond is how many lines are taken a second: several for each request
	// that one box can serve.
	maxLogLinesPerSecond = 2000
)

// LogQueue writes log lines in the background, so that who logs never waits for
// the output. Lines that come too fast or don't fit are dropped and counted; a
// line tells of them once there is room.
type LogQueue struct {
	out          io.Writer
	clock        clockwork.Clock
	lines        chan []byte
	done         chan struct{}
	droppedLines atomic.Int64
	// OnDrop is called for each line that is dropped; it may be nil.
	OnDrop func()

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
	started         time.Time
}

// NewLogQueue returns a queue that writes to an output until it is closed.
func NewLogQueue(out io.Writer, clock clockwork.Clock) *LogQueue {
	q := &LogQueue{out: out, clock: clock, lines: make(chan []byte, logQueueLines), done: make(chan struct{}), started: clock.Now()}
	go q.drain()
	return q
}

// Write takes a line. It never blocks and never fails.
func (q *LogQueue) Write(line []byte) (int, error) {
	if !q.allow() {
		q.drop()
		return len(line), nil
	}
	kept := append([]byte(nil), line...)
	select {
	case q.lines <- kept:
	default:
		q.drop()
	}
	return len(line), nil
}

// allow reports whether this second's lines are not used up.
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
		if missed := q.droppedLines.Swap(0); missed > 0 {
			_, _ = io.WriteString(q.out, "level=warn event=\"log lines dropped\" lines="+strconv.FormatInt(missed, 10)+"\n")
		}
		// There is nowhere to report that the output of the log has failed.
		_, _ = q.out.Write(line)
	}
}

// Close writes what waits, at most until the context ends. What is written after
// it is lost.
func (q *LogQueue) Close(ctx context.Context) {
	select {
	case q.lines <- nil: // nil stands for the end
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
