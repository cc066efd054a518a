package direct

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// slowWriter is the connection of a caller that reads one part of the response after each interval, or nothing if the
// interval is 0.
type slowWriter struct {
	interval time.Duration
	cut      chan struct{}
	once     sync.Once

	mu       sync.Mutex
	received bytes.Buffer
}

func newSlowWriter(interval time.Duration) *slowWriter {
	return &slowWriter{interval: interval, cut: make(chan struct{})}
}

// Header implements http.ResponseWriter.
func (w *slowWriter) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter.
func (w *slowWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	var read <-chan time.Time
	if w.interval > 0 {
		read = time.After(w.interval)
	}
	select {
	case <-read:
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.received.Write(p)
	case <-w.cut:
		return 0, os.ErrDeadlineExceeded
	}
}

// FlushError is called by http.ResponseController.
func (w *slowWriter) FlushError() error { return nil }

// SetWriteDeadline is called by http.ResponseController.
func (w *slowWriter) SetWriteDeadline(time.Time) error {
	w.once.Do(func() { close(w.cut) })
	return nil
}

func (w *slowWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.String()
}

func newTestHeldBytes(limit int64) *heldBytes {
	held := newHeldBytes(0, prometheus.NewGauge(prometheus.GaugeOpts{Name: "held"}))
	held.limit = limit
	return held
}

// Guards against a caller that reads slowly keeping its server busy: all parts are taken at once, and delivered in order
// as the caller reads them.
func TestSlowCallerDoesNotDelayReadingFromServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held, writer := newTestHeldBytes(1<<20), newSlowWriter(time.Second)
		b := newSendBuffer(writer, held, clockwork.NewRealClock(), nothingAcknowledged)
		var want strings.Builder
		started := time.Now()
		for i := range 100 {
			event := fmt.Sprintf("id: %d\n\n", i)
			want.WriteString(event)
			require.NoError(t, b.add(t.Context(), []byte(event)))
			synctest.Wait()
		}
		require.Zero(t, time.Since(started))
		require.Positive(t, held.used.Load())
		require.NoError(t, b.close(t.Context()))
		require.Equal(t, want.String(), writer.text())
		require.Zero(t, held.used.Load())
	})
}

// Guards against holding a whole response, however long, for a caller that does not read it.
func TestUnsentBytesOfResponseAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newTestHeldBytes(1 << 30)
		b := newSendBuffer(newSlowWriter(0), held, clockwork.NewRealClock(), nothingAcknowledged)
		ctx, cancel := context.WithTimeout(t.Context(), unreadTimeout/2)
		defer cancel()
		part := make([]byte, 4<<10)
		var err error
		for err == nil {
			err = b.add(ctx, part)
		}
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.LessOrEqual(t, held.used.Load(), int64(maxUnsentBytes))
		require.ErrorIs(t, b.close(t.Context()), errUnread)
		require.Zero(t, held.used.Load())
	})
}

// Guards against thousands of callers that do not read filling the memory of the box. Each holds one part beyond the
// limit at most, and a caller that reads is still served.
func TestUnsentBytesOfAllResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, limit, partSize = 3000, 4 << 20, 512
		held := newTestHeldBytes(limit)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var buffers []*sendBuffer
		var adding sync.WaitGroup
		for range callers {
			b := newSendBuffer(newSlowWriter(0), held, clockwork.NewRealClock(), nothingAcknowledged)
			buffers = append(buffers, b)
			adding.Go(func() {
				for b.add(ctx, make([]byte, partSize)) == nil {
				}
			})
		}
		synctest.Wait()
		require.LessOrEqual(t, held.used.Load(), int64(limit+callers*partSize))
		writer := newSlowWriter(time.Millisecond)
		reading := newSendBuffer(writer, held, clockwork.NewRealClock(), nothingAcknowledged)
		for range 100 {
			require.NoError(t, reading.add(ctx, []byte("event")))
		}
		require.NoError(t, reading.close(ctx))
		require.Equal(t, strings.Repeat("event", 100), writer.text())
		adding.Wait()
		for _, b := range buffers {
			require.Error(t, b.close(ctx))
		}
		require.Zero(t, held.used.Load())
	})
}

// Guards against cutting the response of a caller that reads slowly, whose last part waits for longer than unreadTimeout.
func TestResponseIsDeliveredToCallerThatReadsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := newSlowWriter(unreadTimeout - time.Second)
		b := newSendBuffer(writer, newTestHeldBytes(1<<20), clockwork.NewRealClock(), nothingAcknowledged)
		for i := range 3 {
			require.NoError(t, b.add(t.Context(), []byte{byte('a' + i)}))
			synctest.Wait()
		}
		require.NoError(t, b.close(t.Context()))
		require.Equal(t, "abc", writer.text())
	})
}

// Guards against a handler that waits for a caller that has disconnected.
func TestCloseEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newTestHeldBytes(1 << 20)
		b := newSendBuffer(newSlowWriter(0), held, clockwork.NewRealClock(), nothingAcknowledged)
		require.NoError(t, b.add(t.Context(), []byte("event")))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		require.ErrorIs(t, b.close(ctx), context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(started))
		require.Zero(t, held.used.Load())
	})
}

// Guards against accepting bodies that together exceed the memory of the box.
func TestHeldBytesAreReservedWithinLimit(t *testing.T) {
	held := newTestHeldBytes(100)
	require.True(t, held.reserve(60))
	require.False(t, held.reserve(41))
	require.True(t, held.reserve(40))
	held.release(60)
	require.True(t, held.reserve(41))
	require.EqualValues(t, 81, held.used.Load())
}

// Guards against bodies of unknown length that are cut, or held beyond the end of their requests.
func TestBodyOfUnknownLengthIsReadAndCounted(t *testing.T) {
	for _, size := range []int{0, 1, minBodyBuffer, minBodyBuffer + 1, 100_000} {
		s := &CallerServer{held: newTestHeldBytes(1 << 20)}
		x := &exchange{request: &http.Request{ContentLength: -1}}
		want := bytes.Repeat([]byte("x"), size)
		require.NoError(t, s.readHeldBody(x, iotest.OneByteReader(bytes.NewReader(want)), 1<<20))
		require.Equal(t, string(want), string(x.body))
		require.EqualValues(t, x.held, s.held.used.Load())
		require.GreaterOrEqual(t, x.held, size)
		require.LessOrEqual(t, x.held, max(minBodyBuffer, 2*size))
	}
	s := &CallerServer{held: newTestHeldBytes(10_000)}
	x := &exchange{request: &http.Request{ContentLength: -1}}
	require.ErrorIs(t, s.readHeldBody(x, bytes.NewReader(make([]byte, 20_000)), 1<<20), errTooManyHeldBytes)
	s.held.release(x.held)
	require.ErrorIs(t, s.readHeldBody(&exchange{request: &http.Request{ContentLength: -1}}, iotest.ErrReader(io.ErrUnexpectedEOF), 1<<20), io.ErrUnexpectedEOF,
		"a body that is cut is incomplete")
}

// Guards against a caller that reads nothing of a response without an end holding its server and its part of the memory for good.
func TestResponseThatIsNotReadIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newTestHeldBytes(1 << 30)
		b := newSendBuffer(newSlowWriter(0), held, clockwork.NewRealClock(), nothingAcknowledged)
		started := time.Now()
		var err error
		for err == nil {
			err = b.add(t.Context(), make([]byte, 4<<10))
		}
		require.ErrorIs(t, err, errUnread)
		require.Equal(t, unreadTimeout, time.Since(started))
		require.Error(t, b.close(t.Context()))
		require.Zero(t, held.used.Load())
	})
}

// nothingAcknowledged is what is known of a caller whose connection says nothing.
func nothingAcknowledged() (bytes uint64, ok bool) { return 0, false }

// Guards against cutting the response of a caller that reads on while one write waits for longer than unreadTimeout, as with a
// large buffer of the kernel.
func TestCallerThatReadsWhileAWriteWaitsIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		const readsFor = 5 * unreadTimeout
		acknowledged := func() (uint64, bool) { return uint64(min(time.Since(started), readsFor).Seconds()), true }
		b := newSendBuffer(newSlowWriter(0), newTestHeldBytes(1<<30), clockwork.NewRealClock(), acknowledged)
		var err error
		for err == nil {
			err = b.add(t.Context(), make([]byte, 4<<10))
		}
		require.ErrorIs(t, err, errUnread)
		require.Equal(t, readsFor+unreadTimeout, time.Since(started))
		b.abandon()
	})
}

// Guards against the part of a response that its caller has got, who has not read on for too long, ending as a complete response.
func TestResponseThatIsNotReadDoesNotAppearComplete(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fleetState, _ := newTestFleetState()
	s := newTestCallerServer(fleetState)
	s.clock = clock
	givenUp := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{writer: w, request: r, arrived: clock.Now(), started: true, route: &fleet.Route{}}
		defer func() { _ = s.closeSendBuffer(x) }()
		w.WriteHeader(http.StatusOK)
		var err error
		for err == nil {
			err = s.sendBuffer(x).add(r.Context(), make([]byte, 32<<10))
		}
		close(givenUp)
		result := attemptResult{&attempt{reservation: &route.Reservation{}}, outcomeCallerGone, err}
		s.finishWith(x, []attemptResult{result})
	}
	listener, err := upstream.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(handler), ConnContext: withCallerConn}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	for isGivenUp := false; !isGivenUp; {
		clock.Advance(time.Second)
		select {
		case <-givenUp:
			isGivenUp = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err)
	_ = response.Body.Close()
}
