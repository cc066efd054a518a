package direct

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// loadingServer is a model server that loads version 2 within loadTime of its order. It does not respond from silentFrom
// until silentUntil, and executes what it has received once it goes on.
type loadingServer struct {
	silentFrom, silentUntil, loadedAt time.Time
	// isDead makes calls fail at once during the silence, as if no process listened; dropsOrder loses an order that
	// arrives during the silence.
	isDead, dropsOrder bool
	loadTime           time.Duration
	orders             int
}

func (s *loadingServer) call(ctx context.Context) error {
	wait := time.Until(s.silentUntil)
	if time.Now().Before(s.silentFrom) || wait <= 0 {
		return nil
	}
	if s.isDead {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, syscall.ECONNREFUSED)
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, ctx.Err())
	}
}

func (s *loadingServer) load(ctx context.Context, _ provider.LoadOrder) error {
	s.orders++
	isLost := s.dropsOrder && !time.Now().Before(s.silentFrom) && time.Now().Before(s.silentUntil)
	if !isLost {
		s.loadedAt = time.Now().Add(s.loadTime + max(0, time.Until(s.silentUntil)))
	}
	return s.call(ctx)
}

func (s *loadingServer) report(ctx context.Context) (fleet.Report, error) {
	if err := s.call(ctx); err != nil {
		return fleet.Report{}, err
	}
	if s.loadedAt.IsZero() || time.Now().Before(s.loadedAt) {
		return fleet.Report{Busy: !s.loadedAt.IsZero(), Models: []fleet.LoadedModel{{Name: "m", Version: 1}}}, nil
	}
	return fleet.Report{Models: []fleet.LoadedModel{{Name: "m", Version: 2}}}, nil
}

// Guards against giving up a weight swap, and telling entry boxes that the server takes requests, because the server is
// silent for a moment, and against waiting for a server that has ended or has lost the order.
func TestSwapEndsForServerThatIsGoneButNotForSilentOne(t *testing.T) {
	second := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	for name, test := range map[string]struct {
		from, until        time.Duration
		isDead, dropsOrder bool
		wantErr            bool
	}{
		"sound":                         {},
		"silent while it loads":         {from: second(0.5), until: second(2.3)},
		"silent at the order":           {until: second(1.8)},
		"silent, and the order is lost": {until: second(1.8), dropsOrder: true, wantErr: true},
		"gone while it loads":           {from: second(0.5), until: second(20), isDead: true, wantErr: true},
		"silent for good":               {from: second(0.5), until: second(60), wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				server := &loadingServer{
					silentFrom: started.Add(test.from), silentUntil: started.Add(test.until), loadTime: 3 * time.Second, isDead: test.isDead, dropsOrder: test.dropsOrder,
				}
				l := &Loader{
					options: LoaderOptions{
						Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Metrics: NewMetrics(),
						Server: provider.ModelServer{Report: server.report, Load: server.load, Leaving: func() bool { return false }},
					},
					changed: make(chan struct{}),
				}
				err := l.orderSwap(t.Context(), &target{model: "m", engine: &fleet.Engine{}}, 2, true)
				require.Equal(t, 1, server.orders)
				if test.wantErr {
					require.Error(t, err)
					require.Less(t, time.Since(started), 5*time.Second)
				} else {
					require.NoError(t, err)
					require.Less(t, time.Since(server.loadedAt), reportInterval)
				}
				if test.isDead {
					require.Less(t, time.Since(started), time.Second)
				}
				if test.dropsOrder {
					require.Less(t, time.Since(started), 2*time.Second, "the order is repeated soon")
				}
			})
		})
	}
}

// Guards against blaming a request for a silence: only a server that ends the connection itself is checked for an exit.
func TestSilenceIsNoDisconnect(t *testing.T) {
	for _, err := range []error{
		context.DeadlineExceeded, os.ErrDeadlineExceeded, syscall.ETIMEDOUT, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)},
		fmt.Errorf("%w: %w", errPastCutoff, syscall.ECONNRESET), fmt.Errorf("%w: %w", errNotStarted, io.EOF),
	} {
		require.False(t, isDisconnect(err), err)
	}
	require.True(t, isDisconnect(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}))
}

// rottingServer is a model server whose agent pauses for pauseFor while it reads the last staged chunk for the first time. Chunk 0
// turns bad meanwhile.
type rottingServer struct {
	loadingServer
	staged   map[int][]byte
	reads    int
	pauseFor time.Duration
	// wrong is set if the order came while a chunk was bad.
	wrong bool
}

func (s *rottingServer) readStaged(_ context.Context, _ fleet.ModelName, index int, _ int64) ([]byte, error) {
	s.reads++
	data := s.staged[index]
	if index == len(s.staged)-1 && s.pauseFor > 0 {
		time.Sleep(s.pauseFor)
		s.pauseFor, s.staged[0] = 0, []byte("bad")
	}
	return data, nil
}

func (s *rottingServer) stage(_ context.Context, _ fleet.ModelName, index int, data []byte) error {
	s.staged[index] = data
	return nil
}

func (s *rottingServer) load(ctx context.Context, order provider.LoadOrder) error {
	s.wrong = s.wrong || string(s.staged[0]) == "bad"
	return s.loadingServer.load(ctx, order)
}

// Guards against an agent that was paused between the verification of the staged chunks and the order giving the order although
// chunks have turned bad.
func TestPausedAgentVerifiesStagedChunksAgain(t *testing.T) {
	t.Run("paused", func(t *testing.T) { testSwapAfterPause(t, 4*time.Second, 2*testManifestChunks) })
	t.Run("not paused", func(t *testing.T) { testSwapAfterPause(t, 0, testManifestChunks) })
}

// testSwapAfterPause swaps a server whose agent pauses for a time, and checks how many chunks are read.
func testSwapAfterPause(t *testing.T, pause time.Duration, reads int) {
	synctest.Test(t, func(t *testing.T) {
		manifest := testManifest(t, "m", 2, testManifestChunks, manifestChunkSize, -1)
		server := &rottingServer{staged: make(map[int][]byte), pauseFor: pause}
		l := &Loader{
			options: LoaderOptions{
				Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Metrics: NewMetrics(),
				Server: provider.ModelServer{
					Report: server.report, Load: server.load, Stage: server.stage, ReadStaged: server.readStaged, Leaving: func() bool { return false },
				},
			},
			store: weights.NewMemoryStore(1 << 20), manifests: make(map[publishedVersion]*heldManifest), changed: make(chan struct{}),
		}
		l.acceptManifest(publishedVersion{"m", 2}, manifest, true)
		for index := range manifest.Chunks {
			require.NoError(t, l.store.Put(manifest, index, testChunk(index)))
			server.staged[index] = testChunk(index)
		}
		require.NoError(t, l.swap(t.Context(), manifestTarget(), 1, 2))
		require.Equal(t, 1, server.orders)
		require.False(t, server.wrong)
		require.Equal(t, reads, server.reads)
	})
}
