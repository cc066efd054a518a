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

// loaderFixture is an agent's loader with an engine, a weight source and peers in which a test can
// inject faults.
type loaderFixture struct {
	platform    *testPlatform
	engine      *standin.Engine
	store       *weights.MemoryStore
	heartbeater *Heartbeater
	proxy       *BackendProxy
	loader      *Loader
	metrics     *Metrics
	manifest    *weights.Manifest
	content     []byte
}

const testChunkSize = 1 << 10

func newLoaderFixture(t *testing.T, limit int64) *loaderFixture {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &loaderFixture{platform: newTestPlatform(t), store: weights.NewMemoryStore(limit), metrics: NewMetrics()}
	f.content = make([]byte, 20*testChunkSize)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(f.content)
	f.platform.publish(t, "kakiwake", "v1", f.content, testChunkSize)
	content, err := f.platform.source.Manifest(t.Context(), "kakiwake", "v1")
	require.NoError(t, err)
	f.manifest, err = weights.Parse(content, weights.Digest{})
	require.NoError(t, err)
	f.engine = standin.NewEngine(clock, standin.EngineOptions{Slots: 1})
	f.heartbeater = newTestHeartbeater(t, clock, agentRecord("self"), func() []member.Address { return nil })
	f.proxy = NewBackendProxy("", nil, nil, f.heartbeater.Record, clock, nopLogger(), f.metrics)
	f.loader = NewLoader(LoaderOptions{
		Self: "self", Peers: newTestPeerPool(t), Store: f.store, Sources: []provider.WeightSource{f.platform.source},
		Engine: provider.NewEngine(serveHTTP(t, f.engine), f.platform.client), Proxy: f.proxy, Heartbeater: f.heartbeater,
		Clock: clock, Log: nopLogger(), Metrics: f.metrics,
		Picker: weights.PickerOptions{NeighbourWindow: 2, OriginWindow: 4, RankDelay: 50 * time.Millisecond, MaxFailures: 3},
	})
	t.Cleanup(func() { stopService(t, f.loader) })
	return f
}

// assign sends the loader an assignment with one manifest, or an empty one for the zero digest.
func (f *loaderFixture) assign(sequence uint64, manifest weights.Digest) {
	next := versionedAssignment{version: state.Version{Major: 1, Minor: sequence}}
	if !manifest.IsZero() {
		next.Versions = []plan.PinnedVersion{{Model: "kakiwake", Version: "v1", Manifest: manifest}}
	}
	f.loader.assignments <- next
}

// setSwarm waits until the loader has a job and then sets its neighbours and origin fetchers, as
// a monitor's heartbeat response does.
func (f *loaderFixture) setSwarm(t *testing.T, neighbours map[string]member.Address, originFetchers ...string) {
	t.Helper()
	digest := f.manifest.Digest()
	swarm := &wire.Swarm{Manifest: digest[:], DrawersHash: 1}
	for _, box := range originFetchers {
		swarm.Drawers = append(swarm.Drawers, &wire.SwarmPeer{Box: box})
	}
	for box, address := range neighbours {
		swarm.Neighbours = append(swarm.Neighbours, &wire.SwarmPeer{Box: box, Address: string(address)})
	}
	eventually(t, func() bool {
		f.loader.updateSwarms([]*wire.Swarm{swarm})
		f.loader.mu.Lock()
		defer f.loader.mu.Unlock()
		return len(f.loader.jobs) > 0
	}, "the job starts")
	f.loader.updateSwarms([]*wire.Swarm{swarm})
}

func (f *loaderFixture) isLive() bool { return f.heartbeater.Record().IsLive("kakiwake", "v1") }

func (f *loaderFixture) faults(from, fault string) float64 {
	return testutil.ToFloat64(f.metrics.chunkFaults.WithLabelValues(from, fault))
}

// fakePeer is an agent that holds all chunks and sends the result of transform for each one.
type fakePeer struct {
	manifest  *weights.Manifest
	content   []byte
	transform func(ctx context.Context, chunk int, data []byte) []byte
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
	return stream.Send(&wire.FetchResponse{Data: p.transform(stream.Context(), int(request.Chunk), data)})
}

func (f *loaderFixture) startPeer(t *testing.T, transform func(ctx context.Context, chunk int, data []byte) []byte) member.Address {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterChunks(mux, &fakePeer{f.manifest, f.content, transform}))
	return listenPeers(t, mux)
}

func corrupt(_ context.Context, _ int, data []byte) []byte {
	data[0] ^= 1
	return data
}

func hang(ctx context.Context, _ int, _ []byte) []byte {
	<-ctx.Done()
	return nil
}

func TestVersionGoesLiveThroughFencedOrder(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(3, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	orders := f.engine.Orders()
	require.Len(t, orders, 1)
	require.Equal(t, provider.FencingToken{Epoch: 1, Sequence: 3}, orders[0].Fence)
	require.Equal(t, f.manifest.WholeDigest, orders[0].WholeDigest)
	_, refusal, _ := f.proxy.admit(&wire.RequestHead{
		RequestId: "r", Attempt: "r/1", Service: "kakiwake", Version: "v1", Incarnation: uint64(f.heartbeater.Record().Incarnation),
	})
	require.Equal(t, wire.Refusal_REFUSAL_NONE, refusal)
}

func TestCorruptChunksAreFetchedFromAnotherPeer(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	// The good peer sends nothing until the bad one is called. Otherwise the download could
	// complete without the bad peer.
	badCalled := make(chan struct{})
	var once sync.Once
	bad := func(ctx context.Context, chunk int, data []byte) []byte {
		once.Do(func() { close(badCalled) })
		return corrupt(ctx, chunk, data)
	}
	afterBad := func(ctx context.Context, _ int, data []byte) []byte {
		select {
		case <-badCalled:
		case <-ctx.Done():
		}
		return data
	}
	f.setSwarm(t, map[string]member.Address{"bad": f.startPeer(t, bad), "good": f.startPeer(t, afterBad)}, "other", "self")
	eventually(t, f.isLive, "the version is live")
	require.NotZero(t, f.faults("peer", "digest"))
	require.NoError(t, f.store.Verify(f.manifest))
}

func TestDownloadFallsBackToOriginWhenAllPeersFail(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, map[string]member.Address{"bad": f.startPeer(t, corrupt), "gone": "127.0.0.1:1"}, "other", "self")
	eventually(t, f.isLive, "the version is live")
	require.LessOrEqual(t, f.faults("peer", "digest"), float64(len(f.manifest.Chunks)))
}

func TestStalledTransferTimesOut(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, map[string]member.Address{"stalled": f.startPeer(t, hang)}, "other", "self")
	eventually(t, f.isLive, "the version is live")
	require.NotZero(t, f.faults("peer", "stalled"))
}

func TestDownloadWaitsForOriginOutage(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.platform.registry.SetFault(func(string) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, func() bool {
		copies := f.heartbeater.Record().Copies
		return len(copies) == 1 && copies[0].WaitReason != ""
	}, "the record has a wait reason")
	f.platform.registry.SetFault(nil)
	eventually(t, f.isLive, "the version is live")
}

func TestCorruptOriginChunksAreNeverLoaded(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	var mu sync.Mutex
	broken := 0
	original := f.loader.options.Sources[0]
	f.loader.options.Sources[0].Range = func(ctx context.Context, model table.Model, blob string, offset, size int64) ([]byte, error) {
		data, err := original.Range(ctx, model, blob, offset, size)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && broken < 5 {
			broken++
			data[0] ^= 1
		}
		return data, err
	}
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	require.InDelta(t, 5, f.faults("source", "digest"), 0)
	require.NoError(t, f.store.Verify(f.manifest))
}

func TestManifestWithWrongDigestIsNeverUsed(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(1, weights.Sum([]byte("another manifest")))
	eventually(t, func() bool {
		f.loader.mu.Lock()
		defer f.loader.mu.Unlock()
		return len(f.loader.jobs) == 1
	}, "the job starts")
	pin := weights.Sum([]byte("another manifest"))
	f.loader.updateSwarms([]*wire.Swarm{{Manifest: pin[:], DrawersHash: 1, Drawers: []*wire.SwarmPeer{{Box: "self"}}}})
	eventually(t, func() bool { return f.faults("source", "manifest") > 0 }, "the manifest is rejected")
	require.Empty(t, f.engine.Orders())
}

func TestVersionReplacedDuringDownloadIsDroppedWithItsChunks(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.platform.registry.SetRate(2 * testChunkSize)
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, func() bool { return f.store.Used() > 0 }, "the download is in progress")
	f.assign(2, weights.Digest{})
	eventually(t, func() bool { return f.store.Used() == 0 && len(f.heartbeater.Record().Copies) == 0 }, "the chunks and the record entry are removed")
	for _, order := range f.engine.Orders() {
		require.NotEqual(t, provider.OrderLoad, order.Kind)
	}
}

func TestFullStoreIsReportedAndNothingIsLoaded(t *testing.T) {
	f := newLoaderFixture(t, 3*testChunkSize)
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, func() bool {
		copies := f.heartbeater.Record().Copies
		return len(copies) == 1 && copies[0].WaitReason != ""
	}, "the record has a wait reason")
	require.Empty(t, f.engine.Orders())
	require.LessOrEqual(t, f.store.Used(), int64(3*testChunkSize))
}

func TestVersionLostByEngineIsLoadedAgain(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	f.engine.Reset()
	version := route.ServiceVersion{Service: "kakiwake", Version: "v1"}
	eventually(t, func() bool {
		f.proxy.mu.Lock()
		defer f.proxy.mu.Unlock()
		return len(f.engine.Orders()) == 2 && f.proxy.versions[version].accepting
	}, "the version is loaded again")
}

func TestEngineRefusesOrdersWithOlderFence(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	engine := f.loader.options.Engine
	newer := provider.Order{Kind: provider.OrderUnload, Model: "kakiwake", Version: "v1", Fence: provider.FencingToken{Epoch: 5, Sequence: 2}}
	require.NoError(t, engine.Order(t.Context(), newer))
	for _, fence := range []provider.FencingToken{{Epoch: 4, Sequence: 9}, {Epoch: 5, Sequence: 1}} {
		older := newer
		older.Fence = fence
		require.ErrorIs(t, engine.Order(t.Context(), older), provider.ErrFenced)
	}
}

// A version is unassigned while a request still runs on it, and assigned again before that request
// has ended. The late unload order must not remove the version after it is live again.
func TestVersionReassignedWhileDrainingStaysLive(t *testing.T) {
	f := newLoaderFixture(t, 1<<20)
	f.assign(1, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	eventually(t, f.isLive, "the version is live")
	head := &wire.RequestHead{
		RequestId: "r", Attempt: "r/1", Service: "kakiwake", Version: "v1", Incarnation: uint64(f.heartbeater.Record().Incarnation),
	}
	release, refusal, _ := f.proxy.admit(head)
	require.Equal(t, wire.Refusal_REFUSAL_NONE, refusal)
	f.assign(2, weights.Digest{})
	eventually(t, func() bool { return len(f.heartbeater.Record().Copies) == 0 }, "the version drains")
	f.assign(3, f.manifest.Digest())
	f.setSwarm(t, nil, "self")
	time.Sleep(100 * time.Millisecond)
	require.False(t, f.isLive(), "the version is still draining")
	release()
	eventually(t, func() bool {
		f.setSwarm(t, nil, "self")
		orders := f.engine.Orders()
		return f.isLive() && len(orders) == 3 && orders[2].Kind == provider.OrderLoad
	}, "the version is unloaded, loaded again and live")
	current, err := f.loader.options.Engine.State(t.Context())
	require.NoError(t, err)
	require.Len(t, current.Loaded, 1)
}
