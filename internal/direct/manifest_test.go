package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	testManifestChunks = 6
	manifestChunkSize  = 1 << 10
)

// testManifest returns a manifest with the given number of chunks. The digest of the chunk at wrong, if it is not negative, is not
// that of its content.
func testManifest(t *testing.T, model string, version, chunks, chunkSize, wrong int) *weights.Manifest {
	t.Helper()
	digests := make([]weights.Digest, 0, chunks)
	for index := range chunks {
		digests = append(digests, weights.HashSHA256.Sum(testChunk(index)))
	}
	if wrong >= 0 {
		digests[wrong][0] ^= 1
	}
	manifest, err := weights.FromDigests(model, strconv.Itoa(version), weights.HashSHA256, int64(chunkSize), digests)
	require.NoError(t, err)
	return manifest
}

func testChunk(index int) []byte {
	data := make([]byte, manifestChunkSize)
	data[0] = byte(index)
	return data
}

// manifestLoader returns a loader whose origin sends the given manifests, one for each call and the last one for all later ones.
// A nil manifest is an error.
func manifestLoader(sent ...*weights.Manifest) (l *Loader, calls *int) {
	calls = new(int)
	queue := make(chan *weights.Manifest, len(sent))
	for _, manifest := range sent {
		queue <- manifest
	}
	clock := clockwork.NewRealClock()
	last := sent[len(sent)-1]
	results := make(chan struct{}, 1)
	results <- struct{}{}
	return &Loader{
		options: LoaderOptions{Clock: clock, Log: zerolog.Nop(), Metrics: NewMetrics(), Peers: daemon.NewPeerPool(), Origin: provider.ChunkOrigin{
			Manifest: func(context.Context, member.Address, provider.ChunkedVersion) (*weights.Manifest, error) {
				<-results
				defer func() { results <- struct{}{} }()
				*calls++
				manifest := last
				if len(queue) > 0 {
					manifest = <-queue
				}
				if manifest == nil {
					return nil, provider.ErrUnavailable
				}
				return manifest, nil
			},
		}},
		store: weights.NewMemoryStore(1 << 20), manifests: make(map[publishedVersion]*heldManifest),
	}, calls
}

func manifestTarget() *target {
	return &target{model: "m", engine: &fleet.Engine{Chunks: 6, ChunkSize: manifestChunkSize}}
}

// Guards against one wrong digit of one digest: nothing but the chunk itself shows it, and agents handed such a manifest on.
func TestManifestCountsOnceTheOriginHasSentItTwice(t *testing.T) {
	right, wrong := testManifest(t, "m", 2, 6, manifestChunkSize, -1), testManifest(t, "m", 2, 6, manifestChunkSize, 3)
	for name, sent := range map[string][]*weights.Manifest{
		"first is wrong":  {wrong, right},
		"second is wrong": {right, wrong, right},
		"first is lost":   {nil, right},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := manifestLoader(sent...)
			manifest, err := l.manifest(t.Context(), manifestTarget(), 2)
			require.NoError(t, err)
			require.Equal(t, right.Digest(), manifest.Digest())
		})
	}
}

func TestManifestReadsCountAcrossCalls(t *testing.T) {
	right := testManifest(t, "m", 2, 6, manifestChunkSize, -1)
	l, calls := manifestLoader(right, nil, nil, nil, right)
	_, err := l.manifest(t.Context(), manifestTarget(), 2)
	require.Error(t, err)
	*calls = 0
	manifest, err := l.manifest(t.Context(), manifestTarget(), 2)
	require.NoError(t, err)
	require.Equal(t, right.Digest(), manifest.Digest())
}

// Guards against a manifest whose chunk never fits being kept for good.
func TestDroppedManifestIsReadAgain(t *testing.T) {
	right, wrong := testManifest(t, "m", 2, 6, manifestChunkSize, -1), testManifest(t, "m", 2, 6, manifestChunkSize, 3)
	l, _ := manifestLoader(wrong, wrong, right)
	key := publishedVersion{"m", 2}
	manifest, err := l.manifest(t.Context(), manifestTarget(), 2)
	require.NoError(t, err)
	require.Equal(t, wrong.Digest(), manifest.Digest())
	require.NoError(t, l.store.Put(manifest, 0, testChunk(0)))
	f := &chunkFetcher{loader: l, desired: manifestTarget(), version: 2, manifest: manifest, mismatches: make(map[int]map[weights.Digest]int)}
	spoilt := testChunk(0)
	spoilt[5] = 1
	result := fetchResult{task: weights.FetchTask{Chunk: 3}, data: spoilt}
	require.NoError(t, f.noteMismatch(result), "one spoilt chunk says nothing of the manifest")
	result.data = testChunk(3)
	require.NoError(t, f.noteMismatch(result))
	require.ErrorIs(t, f.noteMismatch(result), errDoubted)

	l.doubtManifest(key, manifest, errDoubted)
	require.True(t, l.isDoubted(wrong.Digest()), "other agents are told")
	response, err := l.Published(t.Context(), &wire.PublishedRequest{Model: "m", Version: 2})
	require.NoError(t, err)
	require.Empty(t, response.Content)
	_, err = l.checkPeerManifest(manifestTarget(), 2, wrong.Raw())
	require.ErrorIs(t, err, errDoubted)

	manifest, err = l.manifest(t.Context(), manifestTarget(), 2)
	require.NoError(t, err)
	require.Equal(t, right.Digest(), manifest.Digest())
	require.Equal(t, 1, l.store.Held(right.Digest()).Count(6), "chunks that both have in common are kept")
}

// Guards against a right manifest being refused for good because the origin has sent a wrong chunk twice.
func TestDroppedManifestThatTheOriginSendsAgainIsUsed(t *testing.T) {
	right := testManifest(t, "m", 2, 6, manifestChunkSize, -1)
	l, _ := manifestLoader(right)
	key := publishedVersion{"m", 2}
	limit := l.mismatchLimit(key)
	for range 3 {
		manifest, err := l.manifest(t.Context(), manifestTarget(), 2)
		require.NoError(t, err)
		l.doubtManifest(key, manifest, errDoubted)
		require.Greater(t, l.mismatchLimit(key), limit, "the manifest is read less and less often")
		limit = l.mismatchLimit(key)
	}
	_, err := l.manifest(t.Context(), manifestTarget(), 2)
	require.NoError(t, err)
	require.False(t, l.isDoubted(right.Digest()))
}

// olderAgent is an agent of a build that hands on any manifest.
type olderAgent struct {
	wire.DRPCFleetUnimplementedServer

	content []byte
}

func (a *olderAgent) Published(context.Context, *wire.PublishedRequest) (*wire.ManifestResponse, error) {
	return &wire.ManifestResponse{Content: a.content}, nil
}

// Guards against a manifest that an agent of another build hands on without a check being used.
func TestManifestFromAnotherBuildIsCheckedWhole(t *testing.T) {
	right := testManifest(t, "m", 2, 6, manifestChunkSize, -1)
	noChunks, err := json.Marshal(&weights.Manifest{Model: "m", Version: "2", Hash: weights.HashSHA256, Files: []weights.File{{Path: "m"}}})
	require.NoError(t, err)
	contents := map[string][]byte{
		"no chunks":       noChunks,
		"half the chunks": testManifest(t, "m", 2, 3, manifestChunkSize, -1).Raw(),
		"more chunks":     testManifest(t, "m", 2, 7, manifestChunkSize, -1).Raw(),
		"chunk size":      testManifest(t, "m", 2, 6, manifestChunkSize+1, -1).Raw(),
		"version":         testManifest(t, "m", 3, 6, manifestChunkSize, -1).Raw(),
		"model":           testManifest(t, "n", 2, 6, manifestChunkSize, -1).Raw(),
		"long":            append(bytes.Repeat([]byte(" "), manifestHeadBytes+manifestChunkBytes*testManifestChunks), right.Raw()...),
		"cut":             right.Raw()[:len(right.Raw())/2],
		"other hash":      []byte(`{"model":"m","version":"2","files":[{"path":"m","size":1024}],"chunks":[{"size":1024}]}`),
	}
	for name, content := range contents {
		t.Run(name, func(t *testing.T) {
			l, _ := manifestLoader(right)
			_, err := l.requestManifest(t.Context(), manifestTarget(), 2, startOlderAgent(t, content))
			require.Error(t, err)
			require.False(t, errors.Is(err, errNoPeer))
		})
	}
	l, _ := manifestLoader(right)
	manifest, err := l.requestManifest(t.Context(), manifestTarget(), 2, startOlderAgent(t, right.Raw()))
	require.NoError(t, err)
	require.Equal(t, right.Digest(), manifest.Digest())
}

// startOlderAgent starts an olderAgent and returns its address.
func startOlderAgent(t *testing.T, content []byte) member.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterFleet(mux, &olderAgent{content: content}))
	server := daemon.NewPeerServer(listener, mux, zerolog.Nop())
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return member.Address(listener.Addr().String())
}
