package direct

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// maxBackoff limits the backoff that a backend server may request. A server that needs longer gets one request
// per minute. Without the limit, a backoff of years or a misread date would exclude the server permanently.
const maxBackoff = time.Minute

// serverBackoff holds the backoff that one server has requested, for all calls of this process.
type serverBackoff struct {
	// name identifies the server in the log.
	name  string
	clock clockwork.Clock
	log   zerolog.Logger

	mu    sync.Mutex
	until time.Time
}

// withBackoff makes a call unless the server is backing off, and records the backoff that the server requests.
// While the server is backing off, it returns a BackoffError.
func withBackoff[T any](b *serverBackoff, call func() (T, error)) (T, error) {
	if delay := b.remaining(); delay > 0 {
		var zero T
		return zero, &provider.BackoffError{Delay: delay}
	}
	result, err := call()
	b.record(provider.RequestedBackoff(err))
	return result, err
}

// remaining returns the remaining time of the backoff; it is not positive if there is none.
func (b *serverBackoff) remaining() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until.Sub(b.clock.Now())
}

func (b *serverBackoff) record(requested time.Duration) {
	if requested <= 0 {
		return
	}
	backoff := min(requested, maxBackoff)
	b.log.Info().Str("dependency", b.name).Dur("asked_ms", requested).Dur("rest_ms", backoff).Msg("server asks for rest")
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := b.clock.Now().Add(backoff); until.After(b.until) {
		b.until = until
	}
}

// serverWithBackoff returns a model server whose calls fail with a BackoffError during a requested backoff.
func serverWithBackoff(server provider.ModelServer, b *serverBackoff) provider.ModelServer {
	do := func(call func() error) error {
		_, err := withBackoff(b, func() (struct{}, error) { return struct{}{}, call() })
		return err
	}
	return provider.ModelServer{
		Leaving: server.Leaving,
		Report: func(ctx context.Context) (fleet.Report, error) {
			return withBackoff(b, func() (fleet.Report, error) { return server.Report(ctx) })
		},
		Load: func(ctx context.Context, order provider.LoadOrder) error {
			return do(func() error { return server.Load(ctx, order) })
		},
		Stage: func(ctx context.Context, model fleet.ModelName, index int, data []byte) error {
			return do(func() error { return server.Stage(ctx, model, index, data) })
		},
		ReadStaged: func(ctx context.Context, model fleet.ModelName, index int, size int64) ([]byte, error) {
			return withBackoff(b, func() ([]byte, error) { return server.ReadStaged(ctx, model, index, size) })
		},
	}
}

// originWithBackoff returns an origin whose calls fail with a BackoffError during a requested backoff. Other
// boxes keep fetching from the origin, as the backoff applies to this process only.
func originWithBackoff(origin provider.ChunkOrigin, b *serverBackoff) provider.ChunkOrigin {
	return provider.ChunkOrigin{
		Manifest: func(ctx context.Context, address member.Address, version provider.ChunkedVersion) (*weights.Manifest, error) {
			return withBackoff(b, func() (*weights.Manifest, error) { return origin.Manifest(ctx, address, version) })
		},
		Chunk: func(ctx context.Context, address member.Address, version provider.ChunkedVersion, index int) ([]byte, error) {
			return withBackoff(b, func() ([]byte, error) { return origin.Chunk(ctx, address, version, index) })
		},
	}
}
