package direct

import (
	"context"
	"errors"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// peerStream is a stream of messages that another process tells.
type peerStream[M any] struct {
	// dependency is what the log calls the process.
	dependency string
	address    member.Address
	// open opens the stream and returns what receives its next message.
	open func(ctx context.Context, client wire.DRPCFleetClient) (receive func() (M, error), err error)
	// onMessage is called with each message.
	onMessage func(message M)
	// regainedFields adds to the log line of the first message, lost to that of the end after one.
	// Either may be nil.
	regainedFields func(line *zerolog.Event, first M)
	lostFields     func(line *zerolog.Event, err error)
}

// errSilent reports a peer that said nothing for statusTimeout.
var errSilent = errors.New("peer is silent")

// followStream takes what a stream tells until it fails, falls silent or the context ends, and
// reports whether anything was heard. That the process is heard, and no more, is logged.
func followStream[M any](
	ctx context.Context, clock clockwork.Clock, peers *daemon.PeerPool, log zerolog.Logger, stream *peerStream[M],
) (heard bool, err error) {
	err = stream.receive(ctx, clock, peers, func(message M) {
		if !heard {
			heard = true
			stream.logRegained(log.Info(), message)
		}
		stream.onMessage(message)
	})
	if heard && ctx.Err() == nil {
		stream.logLost(log.Warn(), err)
	}
	return heard, err
}

// receive opens the stream and receives until it fails or falls silent. Each stream has a
// connection of its own: after one that fell silent, others that are kept may be silent too.
func (s *peerStream[M]) receive(ctx context.Context, clock clockwork.Clock, peers *daemon.PeerPool, take func(message M)) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := clock.AfterFunc(statusTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	conn, err := peers.Dial(streamCtx, s.address)
	if err != nil {
		return err
	}
	receive, err := s.open(streamCtx, wire.NewDRPCFleetClient(conn))
	for err == nil {
		var message M
		// What comes once the context has ended is not taken: the process may have been dropped.
		if message, err = receive(); err == nil {
			err = ctx.Err()
		}
		if err == nil {
			take(message)
			watchdog.Reset(statusTimeout)
		}
	}
	if cause := context.Cause(streamCtx); cause != nil {
		return cause
	}
	return err
}

func (s *peerStream[M]) logRegained(line *zerolog.Event, first M) {
	line.Str("dependency", s.dependency).Str("address", string(s.address))
	if s.regainedFields != nil {
		s.regainedFields(line, first)
	}
	line.Msg("dependency regained")
}

func (s *peerStream[M]) logLost(line *zerolog.Event, err error) {
	line.Str("dependency", s.dependency).Str("address", string(s.address))
	if s.lostFields != nil {
		s.lostFields(line, err)
	}
	line.Err(err).Msg("dependency lost")
}
