package direct

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// The agent requests a report ten times per second and stages chunks. It must do neither during a backoff that
// the server has requested.
func TestAgentHonorsServerBackoff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	calls, delay := 0, 3*time.Second
	server := serverWithBackoff(provider.ModelServer{
		Report: func(context.Context) (fleet.Report, error) {
			calls++
			return fleet.Report{}, &provider.BackoffError{Delay: delay}
		},
		Load:       func(context.Context, provider.LoadOrder) error { calls++; return nil },
		Stage:      func(context.Context, fleet.ModelName, int, []byte) error { calls++; return nil },
		ReadStaged: func(context.Context, fleet.ModelName, int, int64) ([]byte, error) { calls++; return nil, nil },
	}, &serverBackoff{name: "server", clock: clock, log: zerolog.Nop()})
	ctx := t.Context()
	_, err := server.Report(ctx)
	require.Equal(t, 3*time.Second, provider.RequestedBackoff(err))
	clock.Advance(2 * time.Second)
	_, err = server.Report(ctx)
	require.Equal(t, time.Second, provider.RequestedBackoff(err), "the rest of the backoff")
	require.Error(t, server.Load(ctx, provider.LoadOrder{}))
	require.Error(t, server.Stage(ctx, "m", 0, nil))
	_, err = server.ReadStaged(ctx, "m", 0, 1)
	require.Error(t, err)
	require.Equal(t, 1, calls)
	clock.Advance(time.Second)
	delay = time.Hour
	_, _ = server.Report(ctx)
	require.Equal(t, 2, calls)
	clock.Advance(maxBackoff)
	require.NoError(t, server.Load(ctx, provider.LoadOrder{}), "the backoff is limited to maxBackoff")
}

func TestAgentHonorsOriginBackoff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	calls := 0
	origin := originWithBackoff(provider.ChunkOrigin{
		Chunk: func(context.Context, member.Address, provider.ChunkedVersion, int) ([]byte, error) {
			calls++
			return nil, &provider.BackoffError{Delay: time.Second}
		},
	}, &serverBackoff{name: "origin", clock: clock, log: zerolog.Nop()})
	for range 5 {
		_, err := origin.Chunk(t.Context(), "", provider.ChunkedVersion{Model: "m", Version: 1}, 0)
		require.Error(t, err)
	}
	require.Equal(t, 1, calls)
	clock.Advance(time.Second)
	_, _ = origin.Chunk(t.Context(), "", provider.ChunkedVersion{Model: "m", Version: 1}, 0)
	require.Equal(t, 2, calls)
}
