package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/standin"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/route"
	"github.com/cinderslip/cinderslip/pkg/state"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// fetching is an agent's copier with an engine, a source and peers that a test
// can break.
type fetching struct {
	platform *testPlatform
	engine   *standin.Engine
	store    *weights.MemoryStore
	heart    *Heart
	gate     *Gate
	copier   *Copier
	metrics  *Metrics
	manifest *weights.Manifest
	content  []byte
}

const testChunk = 1 << 10

func newFetching(t *testing.T, limit int64) *fetching {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &fetching{platform: newTestPlatform(t), store: weights.NewMemoryStore(limit), metrics: NewMetrics()}
	f.content = make([]byte, 20*testChunk)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(f.content)
	f.platform.publish(t, "kakiwake", "v1", f.content, testChunk)
	content, err := f.platform.source.Manifest(t.Context(), "kakiwake", "v1")
	require.NoError(t, err)
	f.manifest, err = weights.Parse(content, weights.Digest{})
	require.NoError(t, err)
	f.engine = standin.NewEngine(clock, standin.EngineOptions{Slots: 1})
	f.heart = heartOf(t, clock, agentRecord("self"), func() []member.Address { return nil })
	f.gate = NewGate("", nil, nil, f.heart.Record, clock, quiet(), f.metrics)
	f.copier = NewCopier(CopierOptions{
		Self: "self", Peers: newTestPeers(t), Store: f.store, Sources: []provider.WeightSource{f.platform.source},
		Engine: provider.NewEngine(serveHTTP(t, f.engine), f.platform.client), Gate: f.gate, Heart: f.heart,
		Clock: clock, Log: quiet(), Metrics: f.metrics,
		Picker: weights.PickerOptions{NeighbourWindow: 2, OriginWindow: 4, RankDelay: 50 * time.Millisecond, MaxFailures: 3},
	})
	t.Cleanup(func() { stopService(t, f.copier) })
	return f
}

// assign tells the copier to carry a manifest, or nothing for the zero digest.
func (f *fetching) assign(sequence uint64, manifest weights.Digest) {
	next := assigned{version: state.Version{Major: 1, Minor: sequence}}
	if !manifest.IsZero() {
		next.Versions = []plan.PinnedVersion{{Model: "kakiwake", Version: "v1", Manifest: manifest}}
	}
	f.copier.assign <- next
}

// swarm tells the copier its neighbours, as a monitor would, until the test ends.
func (f *fetching) swarm(t *testing.T, neighbours map[string]member.Address, drawers ...string) {
	t.Helper()
	digest := f.manifest.Digest()
	swarm := &wire.Swarm{Manifest: digest[:], DrawersHash: 1}
	for _, box := range drawers {
		swarm.Drawers = append(swarm.Drawers, &wire.SwarmPeer{Box: box})
	}
	for box, address := range neighbours {
		swarm.Neighbours = append(swarm.Neighbours, &wire.SwarmPeer{Box: box, Address: string(address)})
	}
	eventually(t, func() bool {
		f.copier.takeSwarms([]*wire.Swarm{swarm})
		f.copier.mu.Lock()
		defer f.copier.mu.Unlock()
		return len(f.copier.copies) > 0
	}, "the copy starts")
	f.copier.takeSwarms([]*wire.Swarm{swarm})
}

func (f *fetching) isLive() bool { return f.heart.Record().IsLive("kakiwake", "v1") }

func (f *fetching) faults(from, fault string) float64 {
	return testutil.ToFloat64(f.metrics.chunkFaults.WithLabelValues(from, fault))
}

// fakePeer is an agent that holds everything and gives what change makes of it.
type fakePeer struct {
	manifest *weights.Manifest
	content  []byte
	change   func(ctx context.Context, chunk int, data []byte) []byte
}

func (p *fakePeer) Holdings(context.Context, *wire.HoldingsRequest) (*wire.HoldingsResponse, error) {
	held := weights.NewBits(len(p.manifest.Chunks))
	for i := range p.manifest.Chunks {
		held.Set(i)
	}
	return &wire.HoldingsResponse{Held: held}, nil
}

func (p *fakePeer) Manifest(context.Context, *wire.ManifestRequest) (*wire.ManifestResponse, error) {
	return &wire.ManifestResponse{Content: p.manifest.Raw()}, nil
}

func (p *fakePeer) Fetch(request *wire.FetchRequest, stream wire.DRPCChunks_FetchStream) error {
	chunk := p.manifest.Chunks[request.Chunk]
	data := slices.Clone(p.content[chunk.Offset : chunk.Offset+chunk.Size])
	return stream.Send(&wire.FetchResponse{Data: p.change(stream.Context(), int(request.Chunk), data)})
}

func (f *fetching) peer(t *testing.T, change func(ctx context.Context, chunk int, data []byte) []byte) member.Address {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterChunks(mux, &fakePeer{f.manifest, f.content, change}))
	return listenPeers(t, mux)
}

func corrupt(_ context.Context, _ int, data []byte) []byte {
	data[0] ^= 1
	return data
}

func stalled(ctx context.Context, _ int, _ []byte) []byte {
	<-ctx.Done()
	return nil
}

func TestCopyGoesLiveThroughAFencedOrder(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(3, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	orders := f.engine.Orders()
	require.Len(t, orders, 1)
	require.Equal(t, provider.FencingToken{Epoch: 1, Sequence: 3}, orders[0].Fence)
	require.Equal(t, f.manifest.WholeDigest, orders[0].WholeDigest)
	_, refusal, _ := f.gate.enter(&wire.RequestHead{
		RequestId: "r", Attempt: "r/1", Service: "kakiwake", Version: "v1", Incarnation: uint64(f.heart.Record().Incarnation),
	})
	require.Equal(t, wire.Refusal_REFUSAL_NONE, refusal)
}

func TestCorruptChunksOfOnePeerAreReplacedByAnothers(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	// The good peer gives nothing before the bad one has: the copy could be whole without it.
	asked := make(chan struct{})
	var once sync.Once
	bad := func(ctx context.Context, chunk int, data []byte) []byte {
		once.Do(func() { close(asked) })
		return corrupt(ctx, chunk, data)
	}
	afterBad := func(ctx context.Context, _ int, data []byte) []byte {
		select {
		case <-asked:
		case <-ctx.Done():
		}
		return data
	}
	f.swarm(t, map[string]member.Address{"bad": f.peer(t, bad), "good": f.peer(t, afterBad)}, "other", "self")
	eventually(t, f.isLive, "the version is live")
	require.NotZero(t, f.faults("peer", "digest"))
	require.NoError(t, f.store.Verify(f.manifest))
}

func TestCopyEndsFromTheOriginWhenEveryPeerIsBad(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.swarm(t, map[string]member.Address{"bad": f.peer(t, corrupt), "gone": "127.0.0.1:1"}, "other", "self")
	eventually(t, f.isLive, "the version is live")
	require.LessOrEqual(t, f.faults("peer", "digest"), float64(len(f.manifest.Chunks)))
}

func TestStalledTransferIsGivenUpWithoutAnError(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.swarm(t, map[string]member.Address{"stalled": f.peer(t, stalled)}, "other", "self")
	eventually(t, f.isLive, "the version is live")
	require.NotZero(t, f.faults("peer", "stalled"))
}

func TestOriginThatIsDownIsWaitedFor(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.platform.registry.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	f.assign(1, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, func() bool {
		copies := f.heart.Record().Copies
		return len(copies) == 1 && copies[0].WaitReason != ""
	}, "the record says why the copy waits")
	f.platform.registry.SetFault(nil)
	eventually(t, f.isLive, "the version is live")
}

func TestCorruptChunksOfTheOriginAreNeverLoaded(t *testing.T) {
	f := newFetching(t, 1<<20)
	var mu sync.Mutex
	broken := 0
	honest := f.copier.options.Sources[0]
	f.copier.options.Sources[0].Range = func(ctx context.Context, model table.Model, blob string, offset, size int64) ([]byte, error) {
		data, err := honest.Range(ctx, model, blob, offset, size)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && broken < 5 {
			broken++
			data[0] ^= 1
		}
		return data, err
	}
	f.assign(1, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	require.InDelta(t, 5, f.faults("source", "digest"), 0)
	require.NoError(t, f.store.Verify(f.manifest))
}

func TestManifestThatIsNotThePinnedOneIsNeverUsed(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(1, weights.Sum([]byte("another manifest")))
	eventually(t, func() bool {
		f.copier.mu.Lock()
		defer f.copier.mu.Unlock()
		return len(f.copier.copies) == 1
	}, "the copy starts")
	pin := weights.Sum([]byte("another manifest"))
	f.copier.takeSwarms([]*wire.Swarm{{Manifest: pin[:], DrawersHash: 1, Drawers: []*wire.SwarmPeer{{Box: "self"}}}})
	eventually(t, func() bool { return f.faults("source", "manifest") > 0 }, "the manifest is refused")
	require.Empty(t, f.engine.Orders())
}

func TestVersionThatIsReplacedInFlightIsDroppedWithItsChunks(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.platform.registry.SetRate(2 * testChunk)
	f.assign(1, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, func() bool { return f.store.Used() > 0 }, "the copy is in flight")
	f.assign(2, weights.Digest{})
	eventually(t, func() bool { return f.store.Used() == 0 && len(f.heart.Record().Copies) == 0 }, "nothing of it is left")
	for _, order := range f.engine.Orders() {
		require.NotEqual(t, provider.OrderLoad, order.Kind)
	}
}

func TestStoreThatIsTooSmallIsToldAndNothingIsLoaded(t *testing.T) {
	f := newFetching(t, 3*testChunk)
	f.assign(1, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, func() bool {
		copies := f.heart.Record().Copies
		return len(copies) == 1 && copies[0].WaitReason != ""
	}, "the record says why")
	require.Empty(t, f.engine.Orders())
	require.LessOrEqual(t, f.store.Used(), int64(3*testChunk))
}

func TestEngineThatLostItsVersionGetsItAgain(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	f.engine.Reset()
	place := route.ServiceVersion{Service: "kakiwake", Version: "v1"}
	eventually(t, func() bool {
		f.gate.mu.Lock()
		defer f.gate.mu.Unlock()
		return len(f.engine.Orders()) == 2 && f.gate.versions[place].open
	}, "the version is loaded again")
}

func TestOlderOrdersAreRefusedByTheEngine(t *testing.T) {
	f := newFetching(t, 1<<20)
	engine := f.copier.options.Engine
	newer := provider.Order{Kind: provider.OrderUnload, Model: "kakiwake", Version: "v1", Fence: provider.FencingToken{Epoch: 5, Sequence: 2}}
	require.NoError(t, engine.Order(t.Context(), newer))
	for _, fence := range []provider.FencingToken{{Epoch: 4, Sequence: 9}, {Epoch: 5, Sequence: 1}} {
		older := newer
		older.Fence = fence
		require.ErrorIs(t, engine.Order(t.Context(), older), provider.ErrFenced)
	}
}

// A version is dropped while a request still runs on it, and wanted again before
// that has ended: the late unload must not take away what is live again.
func TestVersionThatIsWantedAgainWhileItDrainsStaysLive(t *testing.T) {
	f := newFetching(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.swarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	head := &wire.RequestHead{
		RequestId: "r", Attempt: "r/1", Service: "kakiwake", Version: "v1", Incarnation: uint64(f.heart.Record().Incarnation),
	}
	leave, refusal, _ := f.gate.enter(head)
	require.Equal(t, wire.Refusal_REFUSAL_NONE, refusal)
	f.assign(2, weights.Digest{})
	eventually(t, func() bool { return len(f.heart.Record().Copies) == 0 }, "the version drains")
	f.assign(3, f.manifest.Digest())
	f.swarm(t, nil, "self")
	time.Sleep(100 * time.Millisecond)
	require.False(t, f.isLive(), "it is still on its way out")
	leave()
	eventually(t, func() bool {
		f.swarm(t, nil, "self")
		orders := f.engine.Orders()
		return f.isLive() && len(orders) == 3 && orders[2].Kind == provider.OrderLoad
	}, "it is unloaded, then loaded and live")
	current, err := f.copier.options.Engine.State(t.Context())
	require.NoError(t, err)
	require.Len(t, current.Loaded, 1)
}
