package direct

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/route"
)

// maxEventBytes limits the size of one event, in bytes.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event that is longer than maxEventBytes, or than the box may hold.
var errEventTooLong = errors.New("event is too long")

// errPartialEvent reports a stream that ended in the middle of an event.
var errPartialEvent = errors.New("stream ended in the middle of an event")

// eventReader splits a stream of server-sent events (WHATWG HTML) into complete events.
type eventReader struct {
	source io.Reader
	buffer heldBuffer
	// consumed is the number of bytes of the buffer that have been returned.
	consumed int
}

// newEventReader returns a reader of the events of a stream. release must be called once it is not used any more.
func newEventReader(source io.Reader, held *heldBytes) *eventReader {
	return &eventReader{source: source, buffer: heldBuffer{held: held}}
}

// release frees what the reader holds.
func (r *eventReader) release() { r.buffer.release() }

// next returns all complete events that have arrived, at least one, and the ID of the last of them. At the end
// of the stream it returns io.EOF, or errPartialEvent if an incomplete event remains. It returns errEventTooLong for an event
// that is longer than maxEventBytes, or for which the box holds too many bytes.
func (r *eventReader) next() (events []byte, id string, err error) {
	b := &r.buffer
	b.data = append(b.data[:0], b.data[r.consumed:]...)
	r.consumed = 0
	for searched := 0; ; {
		if end := lastEventEnd(b.data, searched); end > 0 {
			r.consumed = end
			return b.data[:end], lastID(b.data[:end]), nil
		}
		searched = len(b.data)
		if err != nil {
			if errors.Is(err, io.EOF) && len(b.data) > 0 {
				err = errPartialEvent
			}
			return nil, "", err
		}
		if !b.grow(maxEventBytes) {
			return nil, "", errEventTooLong
		}
		_, err = b.read(r.source)
	}
}

// The ends of events. longestEventEnd is the length of the longest.
var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

const longestEventEnd = 4

// lastEventEnd returns the offset of the end of the last complete event; 0 if there is none. The first searched bytes contain no
// end of an event.
func lastEventEnd(buffer []byte, searched int) int {
	from := max(0, searched-longestEventEnd+1)
	end := 0
	if at := bytes.LastIndex(buffer[from:], eventEnd); at >= 0 {
		end = from + at + len(eventEnd)
	}
	if at := bytes.LastIndex(buffer[from:], eventEndCRLF); at >= 0 {
		end = max(end, from+at+len(eventEndCRLF))
	}
	return end
}

// lastID returns the ID of the last event that has one.
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

// forwardStream forwards events as they arrive. A stream that fails can be resumed at another server after the
// last forwarded event.
func (s *CallerServer) forwardStream(x *exchange, a *attempt, resp *upstream.Response) (outcome, error) {
	reservation := a.reservation
	reader := newEventReader(resp, s.held)
	defer reader.release()
	succeeded := false
	// The headers are forwarded with the first event, so that a server that sends no event can still be
	// replaced.
	for {
		events, id, err := reader.next()
		err = s.checkEnd(reservation, resp, err)
		if err != nil && !errors.Is(err, io.EOF) {
			return s.streamFailed(x, a, a.withCause(err))
		}
		if !x.group.claim(a) {
			return s.endSuperseded(x, a)
		}
		a.delivered = true
		if err != nil {
			return s.finishStream(x, a, resp)
		}
		if !x.started {
			resp.Header.Del("Content-Length")
			s.forwardHeader(x, resp)
		}
		x.noteForwarded(s.clock.Now())
		reservation.Started(s.clock.Now())
		if !succeeded && reservation.RespondingFor(s.clock.Now()) >= safeResponseDuration {
			succeeded = true
			s.recordSuccess(x)
		}
		// Waiting for the caller is no stall of the server.
		if err = s.sendBuffer(x).add(x.request.Context(), events); err != nil {
			s.finishAttempt(x, a, route.ResultAbandoned, err)
			return outcomeCallerGone, err
		}
		if id != "" {
			x.lastEventID, a.lastEventID = id, id
		}
		x.group.delivered(s.clock.Now())
	}
}

// checkEnd returns io.ErrUnexpectedEOF instead of io.EOF for a response that ended with its connection unless probes that began
// after its end show that its server runs. Such a response may lack a part, whether the server had announced its departure or not.
func (s *CallerServer) checkEnd(reservation *route.Reservation, resp *upstream.Response, err error) error {
	if !errors.Is(err, io.EOF) || resp.IsSelfDelimited() {
		return err
	}
	probe := s.exitProbes.startAfter(reservation.ServerIncarnation(), reservation.Server.Address, reservation.ReservedAt(), s.clock.Now())
	if !probe.isRunning() {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finishStream ends a complete stream, which the attempt must have claimed.
func (s *CallerServer) finishStream(x *exchange, a *attempt, resp *upstream.Response) (outcome, error) {
	if !x.started {
		s.forwardHeader(x, resp)
	}
	s.recordSuccess(x)
	// The server is free, whether or not the caller has read the response.
	s.finishAttempt(x, a, route.ResultDone, nil)
	if err := s.closeSendBuffer(x); err != nil {
		return outcomeCallerGone, err
	}
	return outcomeDone, nil
}

// sendBuffer returns the buffer through which the response is sent, and starts it if necessary.
func (s *CallerServer) sendBuffer(x *exchange) *sendBuffer {
	if x.out == nil {
		x.out = newSendBuffer(x.writer, s.held, s.clock, acknowledgedBytes(x.request.Context()))
	}
	return x.out
}

// closeSendBuffer waits until the caller has received what was added to the send buffer.
func (s *CallerServer) closeSendBuffer(x *exchange) error {
	if x.out == nil {
		return nil
	}
	out := x.out
	x.out = nil
	return out.close(x.request.Context())
}

// noteForwarded records the time at which events are forwarded, and updates the longest gap between two events.
func (x *exchange) noteForwarded(now time.Time) {
	if !x.lastForwarded.IsZero() {
		x.longestEventGap = max(x.longestEventGap, now.Sub(x.lastForwarded))
	}
	x.lastForwarded = now
}

// streamFailed handles a stream that failed.
func (s *CallerServer) streamFailed(x *exchange, a *attempt, err error) (outcome, error) {
	if x.request.Context().Err() != nil {
		s.finishAttempt(x, a, route.ResultAbandoned, err)
		return outcomeCallerGone, err
	}
	if isSuperseded(err) {
		return s.endSuperseded(x, a)
	}
	s.failAttempt(x, a, err)
	if !a.resuming && !a.delivered {
		return outcomeUnknown, err
	}
	if a.lastEventID == "" || !s.clock.Now().Before(x.deadline) {
		return outcomeTruncated, err
	}
	return outcomeStreamBroken, err
}
