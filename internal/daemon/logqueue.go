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
	// logQueue is how many lines wait to be written; the burst of some seconds.
	logQueue = 4096
	// logPerSecond is how many lines are taken a second: several for each request
	// that one box can serve.
	logPerSecond = 2000
)

// LogQueue writes log lines in the background, so that who logs never waits for
// the output. Lines that come too fast or don't fit are dropped and counted; a
// line tells of them once there is room.
type LogQueue struct {
	out    io.Writer
	clock  clockwork.Clock
	lines  chan []byte
	done   chan struct{}
	missed atomic.Int64
	// Dropped is called for each line that is dropped; it may be nil.
	Dropped func()

	mu     sync.Mutex
	second int64
	taken  int
	start  time.Time
}

// NewLogQueue returns a queue that writes to an output until it is closed.
func NewLogQueue(out io.Writer, clock clockwork.Clock) *LogQueue {
	q := &LogQueue{out: out, clock: clock, lines: make(chan []byte, logQueue), done: make(chan struct{}), start: clock.Now()}
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
	second := int64(q.clock.Since(q.start) / time.Second)
	if second != q.second {
		q.second, q.taken = second, 0
	}
	q.taken++
	return q.taken <= logPerSecond
}

func (q *LogQueue) drop() {
	q.missed.Add(1)
	if q.Dropped != nil {
		q.Dropped()
	}
}

func (q *LogQueue) drain() {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		if missed := q.missed.Swap(0); missed > 0 {
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
