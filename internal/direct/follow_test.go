package direct

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// statusReporter sends server statuses, then ends the stream if ends is set and stays silent otherwise.
type statusReporter struct {
	wire.DRPCFleetUnimplementedServer
	statuses []*wire.ServerStatus
	ends     bool
}

func (s *statusReporter) Server(_ *wire.FollowRequest, stream wire.DRPCFleet_ServerStream) error {
	for _, status := range s.statuses {
		if err := stream.Send(status); err != nil {
			return err
		}
	}
	if !s.ends {
		<-stream.Context().Done()
	}
	return nil
}

// followReporter follows a reporter and calls onVersion with the version of each message. It returns the log lines
// and the results of followStream.
func followReporter(ctx context.Context, t *testing.T, clock clockwork.Clock, reporter wire.DRPCFleetServer, onVersion func(version uint64)) (log []string, received bool, err error) {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, reporter))
	listener, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	defer func() { require.NoError(t, server.Stop(context.Background())) }()
	var lines bytes.Buffer
	received, err = followStream(ctx, clock, daemon.NewPeerPool(), zerolog.New(&lines), &peerStream[*wire.ServerStatus]{
		dependency: "agent", address: member.Address(listener.Addr().String()),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.ServerStatus, error), error) {
			stream, err := client.Server(ctx, &wire.FollowRequest{})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage:      func(status *wire.ServerStatus) { onVersion(status.Version) },
		regainedFields: func(line *zerolog.Event, first *wire.ServerStatus) { line.Uint64("first", first.Version) },
		lostFields:     func(line *zerolog.Event, err error) { line.Bool("silent", errors.Is(err, errSilent)) },
	})
	log = strings.Split(strings.TrimSpace(lines.String()), "\n")
	for i := range log {
		log[i] = strings.ReplaceAll(log[i], listener.Addr().String(), "there")
	}
	return log, received, err
}

func TestFollowedProcessIsLoggedOnceAsRegainedAndLost(t *testing.T) {
	var versions []uint64
	reporter := &statusReporter{statuses: []*wire.ServerStatus{{Version: 3}, {Version: 4}}, ends: true}
	log, received, err := followReporter(t.Context(), t, clockwork.NewFakeClock(), reporter, func(version uint64) { versions = append(versions, version) })
	require.Error(t, err)
	require.True(t, received)
	require.Equal(t, []uint64{3, 4}, versions)
	require.Equal(t, []string{
		`{"level":"info","dependency":"agent","address":"there","first":3,"message":"dependency regained"}`,
		`{"level":"warn","dependency":"agent","address":"there","silent":false,"error":"EOF","message":"dependency lost"}`,
	}, log)
}

// advanceUntil advances a clock as a process experiences it that is not paused, where each timer expires in its turn, until
// the context ends. It returns the time by which it has advanced.
func advanceUntil(ctx context.Context, clock *clockwork.FakeClock) (advanced time.Duration) {
	for clock.BlockUntilContext(ctx, 1) == nil {
		clock.Advance(statusTimeout / silenceChecks)
		advanced += statusTimeout / silenceChecks
		time.Sleep(time.Millisecond)
	}
	return advanced
}

func TestSilentProcessIsLoggedAsSilent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reporter := &statusReporter{statuses: []*wire.ServerStatus{{Version: 3}}}
	ctx, cancel := context.WithCancel(t.Context())
	advanced := make(chan time.Duration, 1)
	log, received, err := followReporter(ctx, t, clock, reporter, func(uint64) {
		go func() { advanced <- advanceUntil(ctx, clock) }()
	})
	cancel()
	require.ErrorIs(t, err, errSilent)
	// The first step may come before the message has been handled.
	require.InDelta(t, statusTimeout, <-advanced, float64(statusTimeout/silenceChecks))
	require.True(t, received)
	require.Len(t, log, 2)
	require.Contains(t, log[1], `"silent":true,"error":"peer is silent","message":"dependency lost"`)
}

func TestCanceledFollowIsNotLoggedAsLost(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var versions []uint64
	reporter := &statusReporter{statuses: []*wire.ServerStatus{{Version: 3}, {Version: 4}}}
	log, received, err := followReporter(ctx, t, clockwork.NewFakeClock(), reporter, func(version uint64) {
		versions = append(versions, version)
		cancel()
	})
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, received)
	require.Equal(t, []uint64{3}, versions, "no message is handled after the context ends")
	require.Len(t, log, 1)
	require.Contains(t, log[0], "dependency regained")
}

func TestProcessWithoutMessagesIsNotLogged(t *testing.T) {
	log, received, err := followReporter(t.Context(), t, clockwork.NewFakeClock(), &statusReporter{ends: true}, func(uint64) {})
	require.Error(t, err)
	require.False(t, received)
	require.Equal(t, []string{""}, log)
}

// pausedReporter sends a status, and the next one once its follower has gone on after a pause.
type pausedReporter struct {
	wire.DRPCFleetUnimplementedServer
	goesOn chan struct{}
}

func (s *pausedReporter) Server(_ *wire.FollowRequest, stream wire.DRPCFleet_ServerStream) error {
	if err := stream.Send(&wire.ServerStatus{Version: 3}); err != nil {
		return err
	}
	<-s.goesOn
	return stream.Send(&wire.ServerStatus{Version: 4})
}

// Guards against taking all others for silent after a pause of the own process, whose timers then expire before the
// messages that have arrived are read: no server was eligible until each agent had been followed anew.
func TestProcessIsNotSilentBecauseItsFollowerWasPaused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reporter := &pausedReporter{goesOn: make(chan struct{})}
	var versions []uint64
	_, received, err := followReporter(t.Context(), t, clock, reporter, func(version uint64) {
		if versions = append(versions, version); version == 3 {
			go func() {
				// A jump of the clock is what the timers see of a pause.
				clock.Advance(5 * statusTimeout)
				time.Sleep(50 * time.Millisecond)
				close(reporter.goesOn)
			}()
		}
	})
	require.True(t, received)
	require.NotErrorIs(t, err, errSilent)
	require.Equal(t, []uint64{3, 4}, versions)
}
