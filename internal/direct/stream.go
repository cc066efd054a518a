package direct

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// maxEventBytes bounds one event, in bytes.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event of more than maxEventBytes bytes.
var errEventTooLong = errors.New("event is too long")

// errPartialEvent reports a stream that ended in the middle of an event.
var errPartialEvent = errors.New("stream ended in the middle of an event")

// eventReader cuts a stream of events (WHATWG HTML, server-sent events) into
// whole events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// consumed is how much of the buffer has been returned.
	consumed int
}

// next returns what has arrived of whole events, at least one, with the id of
// the last of them. At the end of the stream it returns io.EOF if nothing is
// left, and errPartialEvent if a part of an event is.
func (r *eventReader) next() (events []byte, id string, err error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.consumed:]...)
	r.consumed = 0
	for {
		if end := lastEventEnd(r.buffer); end > 0 {
			r.consumed = end
			return r.buffer[:end], lastID(r.buffer[:end]), nil
		}
		if len(r.buffer) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buffer) > 0 {
				err = errPartialEvent
			}
			return nil, "", err
		}
		if cap(r.buffer)-len(r.buffer) < 1024 {
			grown := make([]byte, len(r.buffer), 2*cap(r.buffer)+4096)
			copy(grown, r.buffer)
			r.buffer = grown
		}
		var n int
		n, err = r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
	}
}

// lastEventEnd returns where the last whole event ends; 0 if there is none.
func lastEventEnd(buffer []byte) int {
	end := 0
	if at := bytes.LastIndex(buffer, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(buffer, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && string(name) == "id" {
			id = strings.TrimSpace(string(value))
		}
	}
	return id
}

// forwardStream passes events on as they come. A stream that breaks off can go on
// at another server after the last event that was passed on.
func (f *CallerServer) forwardStream(x *exchange, place *route.Reservation, answer *upstream.Response, guard *watchdog) (outcome, error) {
	reader := &eventReader{source: answer}
	flush := http.NewResponseController(x.writer)
	runs := false
	// The head is passed on with the first event, so that a server that gives none
	// can be replaced.
	for {
		events, id, err := reader.next()
		switch {
		case errors.Is(err, io.EOF):
			if !x.started {
				f.forwardHeader(x, answer)
			}
			f.recordSuccess(x)
			f.finishAttempt(x, place, route.ResultDone, nil)
			return outcomeDone, nil
		case err != nil:
			return f.streamFailed(x, place, guard.withCause(err))
		}
		if !x.started {
			answer.Header.Del("Content-Length")
			f.forwardHeader(x, answer)
		}
		guard.extend(streamStallTimeout)
		x.noteForwarded(f.clock.Now())
		place.Started(f.clock.Now())
		if !runs && place.RespondingFor(f.clock.Now()) >= safeResponseDuration {
			runs = true
			f.recordSuccess(x)
		}
		if _, err = x.writer.Write(events); err == nil {
			err = flush.Flush()
		}
		if err != nil {
			f.finishAttempt(x, place, route.ResultAbandoned, err)
			return outcomeCallerGone, err
		}
		if id != "" {
			x.lastEventID = id
		}
	}
}

// noteForwarded notes that events are passed on.
func (x *exchange) noteForwarded(now time.Time) {
	if !x.lastForwarded.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastForwarded))
	}
	x.lastForwarded = now
}

// streamFailed tells what became of a stream that broke off.
func (f *CallerServer) streamFailed(x *exchange, place *route.Reservation, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		f.finishAttempt(x, place, route.ResultAbandoned, err)
		return outcomeCallerGone, err
	}
	f.failAttempt(x, place, err)
	if !x.started {
		return outcomeUnknown, err
	}
	if x.lastEventID == "" || !f.clock.Now().Before(x.deadline) {
		return outcomeTruncated, err
	}
	return outcomeStreamBroken, err
}
