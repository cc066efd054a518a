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

// maxBackoff bounds the rest that a backend server may ask for. After it the server is asked once, so one that
// wants more gets one request a minute; a time of years, or what was meant as a date, would lose it for good.
const maxBackoff = time.Minute

// serverBackoff keeps the rest that one server has asked this process for, over all of its calls.
type serverBackoff struct {
	// name is what the log calls the server.
	name  string
	clock clockwork.Clock
	log   zerolog.Logger

	mu    sync.Mutex
	until time.Time
}

// withBackoff makes a call unless the server rests, and notes the rest that it asks for.
func withBackoff[T any](k *serverBackoff, call func() (T, error)) (T, error) {
	if left := k.remaining(); left > 0 {
		var none T
		return none, &provider.BackoffError{Delay: left}
	}
	answer, err := call()
	k.record(provider.RequestedBackoff(err))
	return answer, err
}

// remaining is for how long the server rests.
func (k *serverBackoff) remaining() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.until.Sub(k.clock.Now())
}

func (k *serverBackoff) record(asked time.Duration) {
	if asked <= 0 {
		return
	}
	rest := min(asked, maxBackoff)
	k.log.Info().Str("dependency", k.name).Dur("asked_ms", asked).Dur("rest_ms", rest).Msg("server asks for rest")
	k.mu.Lock()
	defer k.mu.Unlock()
	if until := k.clock.Now().Add(rest); until.After(k.until) {
		k.until = until
	}
}

// serverWithBackoff is a model server whose calls fail with a BackoffError while it rests.
func serverWithBackoff(server provider.ModelServer, k *serverBackoff) provider.ModelServer {
	without := func(call func() error) error {
		_, err := withBackoff(k, func() (struct{}, error) { return struct{}{}, call() })
		return err
	}
	return provider.ModelServer{
		Leaving: server.Leaving,
		Report: func(ctx context.Context) (fleet.Report, error) {
			return withBackoff(k, func() (fleet.Report, error) { return server.Report(ctx) })
		},
		Load: func(ctx context.Context, order provider.LoadOrder) error {
			return without(func() error { return server.Load(ctx, order) })
		},
		Stage: func(ctx context.Context, model fleet.ModelName, index int, data []byte) error {
			return without(func() error { return server.Stage(ctx, model, index, data) })
		},
		ReadStaged: func(ctx context.Context, model fleet.ModelName, index int) ([]byte, error) {
			return withBackoff(k, func() ([]byte, error) { return server.ReadStaged(ctx, model, index) })
		},
	}
}

// originWithBackoff is an origin whose calls fail with a BackoffError while it rests. Others draw meanwhile, of whom it has
// asked nothing.
func originWithBackoff(origin provider.ChunkOrigin, k *serverBackoff) provider.ChunkOrigin {
	return provider.ChunkOrigin{
		Manifest: func(ctx context.Context, at member.Address, model fleet.ModelName, version fleet.WeightsVersion) (*weights.Manifest, error) {
			return withBackoff(k, func() (*weights.Manifest, error) { return origin.Manifest(ctx, at, model, version) })
		},
		Chunk: func(ctx context.Context, at member.Address, model fleet.ModelName, version fleet.WeightsVersion, index int) ([]byte, error) {
			return withBackoff(k, func() ([]byte, error) { return origin.Chunk(ctx, at, model, version, index) })
		},
	}
}
