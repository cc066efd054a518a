package direct

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxUnsentBytes is how many bytes of one response are held while its caller does not read them. Most responses fit
	// completely, so that the server and its slot are free when the server has sent them.
	maxUnsentBytes = 64 << 10
	// unreadTimeout is how long a caller may read nothing of a response that waits for it, before the response is cut.
	unreadTimeout = 10 * time.Second
)

// errUnread reports that the caller has not read any part of the response within unreadTimeout.
var errUnread = errors.New("caller does not read the response")

// sendBuffer sends a response to a caller in the background, in order. Reading from the server does not wait for the
// caller until maxUnsentBytes are held, or the box holds too many bytes for all callers together.
type sendBuffer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	held    *heldBytes
	clock   clockwork.Clock
	// acknowledged returns how many bytes the caller's box has acknowledged, ok is false if that is not known. A write may
	// wait for longer than unreadTimeout although the caller reads: the kernel continues it once a third of its buffer is free.
	acknowledged func() (bytes uint64, ok bool)

	mu sync.Mutex
	// unsent is what has not been passed to the writer, sending the number of bytes that the writer is sending.
	unsent  []byte
	sending int
	closed  bool
	err     error
	// ready signals that there is something to send or that the buffer is closed, progress that something was sent.
	ready, progress chan struct{}
	// done is closed when the background task has ended.
	done chan struct{}
}

// newSendBuffer starts to send to a caller. close must be called before the handler of the request returns.
func newSendBuffer(writer http.ResponseWriter, held *heldBytes, clock clockwork.Clock, acknowledged func() (bytes uint64, ok bool)) *sendBuffer {
	b := &sendBuffer{
		writer: writer, control: http.NewResponseController(writer), held: held, clock: clock, acknowledged: acknowledged,
		ready: make(chan struct{}, 1), progress: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		b.send()
	}()
	return b
}

// send sends what is added until the buffer is closed or sending fails.
func (b *sendBuffer) send() {
	var chunk []byte
	for {
		b.mu.Lock()
		if len(b.unsent) == 0 {
			closed := b.closed
			b.mu.Unlock()
			if closed {
				return
			}
			<-b.ready
			continue
		}
		chunk, b.unsent = b.unsent, chunk[:0]
		b.sending = len(chunk)
		b.mu.Unlock()
		_, err := b.writer.Write(chunk)
		if err == nil {
			err = b.control.Flush()
		}
		b.held.release(len(chunk))
		b.mu.Lock()
		b.sending = 0
		b.err = err
		b.mu.Unlock()
		signal(b.progress)
		if err != nil {
			return
		}
	}
}

// signal sends on a channel with a buffer of one, unless it is full.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// add adds a part of the response. It waits while too many bytes are unsent, until the context ends or the caller has read
// nothing for unreadTimeout.
func (b *sendBuffer) add(ctx context.Context, data []byte) error {
	if added, err := b.tryAdd(data); added || err != nil {
		return err
	}
	for wait := b.newUnreadWait(); ; {
		if err := wait.next(ctx); err != nil {
			return err
		}
		if added, err := b.tryAdd(data); added || err != nil {
			return err
		}
	}
}

// unreadWait waits for the progress of a caller that is slow to read.
type unreadWait struct {
	buffer       *sendBuffer
	since        time.Time
	acknowledged uint64
}

// newUnreadWait starts to wait.
func (b *sendBuffer) newUnreadWait() *unreadWait {
	w := &unreadWait{buffer: b, since: b.clock.Now()}
	w.acknowledged, _ = b.acknowledged()
	return w
}

// next waits until something was sent or everything was. It returns an error if the context ends before, or if the caller has read
// nothing for unreadTimeout.
func (w *unreadWait) next(ctx context.Context) error {
	b := w.buffer
	for {
		timer := b.clock.NewTimer(unreadTimeout - b.clock.Since(w.since))
		select {
		case <-b.progress:
			timer.Stop()
			w.since = b.clock.Now()
			return nil
		case <-b.done:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.Chan():
		}
		acknowledged, ok := b.acknowledged()
		if !ok || acknowledged == w.acknowledged {
			return errUnread
		}
		w.acknowledged, w.since = acknowledged, b.clock.Now()
	}
}

// tryAdd adds a part of the response if that does not exceed the limits. A response of which nothing is held may always
// add a part, so that each one makes progress.
func (b *sendBuffer) tryAdd(data []byte) (added bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unsent := len(b.unsent) + b.sending
	switch {
	case b.err != nil:
		return false, b.err
	case unsent == 0:
		b.held.force(len(data))
	case unsent+len(data) > maxUnsentBytes || !b.held.reserve(len(data)):
		return false, nil
	}
	b.unsent = append(b.unsent, data...)
	signal(b.ready)
	return true, nil
}

// close waits until everything is sent and ends the background task. It returns an error if the caller disconnects, which
// ends the context, or reads nothing for unreadTimeout.
func (b *sendBuffer) close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	signal(b.ready)
	cause := b.awaitSent(ctx)
	if cause != nil {
		// An error means that the connection is closed already; then the writer fails, too.
		_ = b.control.SetWriteDeadline(time.Unix(1, 0))
	}
	<-b.done
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held.release(len(b.unsent))
	b.unsent = nil
	return errors.Join(cause, b.err)
}

// awaitSent waits until the background task has ended.
func (b *sendBuffer) awaitSent(ctx context.Context) error {
	wait := b.newUnreadWait()
	for {
		select {
		case <-b.done:
			return nil
		default:
		}
		if err := wait.next(ctx); err != nil {
			return err
		}
	}
}

// abandon ends the background task without waiting for the caller. The connection must be closed afterwards.
func (b *sendBuffer) abandon() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = b.close(ctx) // the response is incomplete anyway
}
