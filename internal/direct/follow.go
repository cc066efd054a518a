package direct

import (
	"context"
	"errors"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// peerStream is a stream of messages from another process.
type peerStream[M any] struct {
	// dependency is the name of the process in log lines.
	dependency string
	address    member.Address
	// open opens the stream and returns the function that receives its next message.
	open func(ctx context.Context, client wire.DRPCFleetClient) (receive func() (M, error), err error)
	// onMessage is called with each message.
	onMessage func(message M)
	// regainedFields adds fields to the log line for the first message, lostFields to the one for the end of a
	// stream that had messages. Both may be nil.
	regainedFields func(line *zerolog.Event, first M)
	lostFields     func(line *zerolog.Event, err error)
}

// errSilent reports a peer that has sent no message for statusTimeout.
var errSilent = errors.New("peer is silent")

// followStream receives the messages of a stream until the stream fails, the peer is silent for statusTimeout or
// the context ends. It reports whether any message was received, and the reason for the end. It logs the first
// message, and the end of a stream that had messages unless the context ended it.
func followStream[M any](
	ctx context.Context, clock clockwork.Clock, peers *daemon.PeerPool, log zerolog.Logger, stream *peerStream[M],
) (received bool, err error) {
	err = stream.receive(ctx, clock, peers, func(message M) {
		if !received {
			received = true
			stream.logRegained(log.Info(), message)
		}
		stream.onMessage(message)
	})
	if received && ctx.Err() == nil {
		stream.logLost(log.Warn(), err)
	}
	return received, err
}

// receive opens the stream and calls onMessage with each message until the stream fails or falls silent. Each
// stream opens a new connection: after a silent one, idle connections to the same peer may be silent as well.
func (s *peerStream[M]) receive(ctx context.Context, clock clockwork.Clock, peers *daemon.PeerPool, onMessage func(message M)) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := newSilenceTimer(clock, func() { cancel(errSilent) })
	defer silence.stop()
	conn, err := peers.Dial(streamCtx, s.address)
	if err != nil {
		return err
	}
	receive, err := s.open(streamCtx, wire.NewDRPCFleetClient(conn))
	for err == nil {
		var message M
		// A message after the end of the context is ignored, because the status of the process may have been dropped.
		if message, err = receive(); err == nil {
			err = ctx.Err()
		}
		if err == nil {
			onMessage(message)
			silence.reset()
		}
	}
	if cause := context.Cause(streamCtx); cause != nil {
		return cause
	}
	return err
}

// logRegained logs the first message of a stream.
func (s *peerStream[M]) logRegained(line *zerolog.Event, first M) {
	line.Str("dependency", s.dependency).Str("address", string(s.address))
	if s.regainedFields != nil {
		s.regainedFields(line, first)
	}
	line.Msg("dependency regained")
}

// logLost logs the end of a stream that had messages.
func (s *peerStream[M]) logLost(line *zerolog.Event, err error) {
	line.Str("dependency", s.dependency).Str("address", string(s.address))
	if s.lostFields != nil {
		s.lostFields(line, err)
	}
	line.Err(err).Msg("dependency lost")
}

// silenceChecks is the number of equal parts of statusTimeout in each of which no message may arrive before a peer counts
// as silent. After a pause of the own process, one part expires at once, whatever has arrived meanwhile.
const silenceChecks = 3

// silenceTimer calls a function after statusTimeout without reset, not counting pauses of the own process.
type silenceTimer struct {
	mu      sync.Mutex
	timer   clockwork.Timer
	expired int
	stopped bool
}

// newSilenceTimer starts a timer that calls onSilent.
func newSilenceTimer(clock clockwork.Clock, onSilent func()) *silenceTimer {
	t := &silenceTimer{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = clock.AfterFunc(statusTimeout/silenceChecks, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		if t.expired++; t.expired < silenceChecks {
			t.timer.Reset(statusTimeout / silenceChecks)
			return
		}
		onSilent()
	})
	return t
}

// reset starts the time without a message anew.
func (t *silenceTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expired = 0
	t.timer.Reset(statusTimeout / silenceChecks)
}

// stop stops the timer for good.
func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
