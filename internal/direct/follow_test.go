package direct

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// statusReporter tells the statuses of a server and then stays silent, unless it ends the stream.
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

// followReporter follows a teller; taken is called with what it tells. It returns what the log
// says, besides what followStream returns.
func followReporter(ctx context.Context, t *testing.T, clock clockwork.Clock, told *statusReporter, taken func(version uint64)) (log []string, heard bool, err error) {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, told))
	listener, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	defer func() { require.NoError(t, server.Stop(context.Background())) }()
	var lines bytes.Buffer
	heard, err = followStream(ctx, clock, daemon.NewPeerPool(), zerolog.New(&lines), &peerStream[*wire.ServerStatus]{
		dependency: "agent", address: member.Address(listener.Addr().String()),
		open: func(ctx context.Context, client wire.DRPCFleetClient) (func() (*wire.ServerStatus, error), error) {
			stream, err := client.Server(ctx, &wire.FollowRequest{})
			if err != nil {
				return nil, err
			}
			return stream.Recv, nil
		},
		onMessage:      func(status *wire.ServerStatus) { taken(status.Version) },
		regainedFields: func(line *zerolog.Event, first *wire.ServerStatus) { line.Uint64("first", first.Version) },
		lostFields:     func(line *zerolog.Event, err error) { line.Bool("silent", errors.Is(err, errSilent)) },
	})
	log = strings.Split(strings.TrimSpace(lines.String()), "\n")
	for i := range log {
		log[i] = strings.ReplaceAll(log[i], listener.Addr().String(), "there")
	}
	return log, heard, err
}

func TestFollowedProcessIsLoggedOnceAsRegainedAndLost(t *testing.T) {
	var taken []uint64
	told := &statusReporter{statuses: []*wire.ServerStatus{{Version: 3}, {Version: 4}}, ends: true}
	log, heard, err := followReporter(t.Context(), t, clockwork.NewFakeClock(), told, func(version uint64) { taken = append(taken, version) })
	require.Error(t, err)
	require.True(t, heard)
	require.Equal(t, []uint64{3, 4}, taken)
	require.Equal(t, []string{
		`{"level":"info","dependency":"agent","address":"there","first":3,"message":"dependency regained"}`,
		`{"level":"warn","dependency":"agent","address":"there","silent":false,"error":"EOF","message":"dependency lost"}`,
	}, log)
}

func TestSilentProcessIsLoggedAsSilent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	told := &statusReporter{statuses: []*wire.ServerStatus{{Version: 3}}}
	log, heard, err := followReporter(t.Context(), t, clock, told, func(uint64) {
		go clock.Advance(statusTimeout)
	})
	require.ErrorIs(t, err, errSilent)
	require.True(t, heard)
	require.Len(t, log, 2)
	require.Contains(t, log[1], `"silent":true,"error":"peer is silent","message":"dependency lost"`)
}

func TestCanceledFollowIsNotLoggedAsLost(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var taken []uint64
	told := &statusReporter{statuses: []*wire.ServerStatus{{Version: 3}, {Version: 4}}}
	log, heard, err := followReporter(ctx, t, clockwork.NewFakeClock(), told, func(version uint64) {
		taken = append(taken, version)
		cancel()
	})
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, heard)
	require.Equal(t, []uint64{3}, taken, "nothing is taken after the end")
	require.Len(t, log, 1)
	require.Contains(t, log[0], "dependency regained")
}

func TestProcessWithoutMessagesIsNotLogged(t *testing.T) {
	log, heard, err := followReporter(t.Context(), t, clockwork.NewFakeClock(), &statusReporter{ends: true}, func(uint64) {})
	require.Error(t, err)
	require.False(t, heard)
	require.Equal(t, []string{""}, log)
}
