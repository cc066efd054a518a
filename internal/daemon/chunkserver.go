package daemon

import (
	"context"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

// chunkFrameSize is the maximum size of the frames in which a chunk is sent, in bytes.
const chunkFrameSize = 128 << 10

// ChunkServer serves the chunks and manifests that this agent holds to other agents.
type ChunkServer struct {
	store   *weights.MemoryStore
	metrics *Metrics
	// slots limits the number of concurrent Fetch calls.
	slots chan struct{}
}

// maxConcurrentChunks is the maximum number of chunks that an agent sends concurrently.
const maxConcurrentChunks = 8

// NewChunkServer returns a server for the chunks and manifests in store.
func NewChunkServer(store *weights.MemoryStore, metrics *Metrics) *ChunkServer {
	return &ChunkServer{store: store, metrics: metrics, slots: make(chan struct{}, maxConcurrentChunks)}
}

// Holdings returns which chunks of a manifest this agent holds.
func (s *ChunkServer) Holdings(_ context.Context, request *wire.HoldingsRequest) (*wire.HoldingsResponse, error) {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return nil, err
	}
	return &wire.HoldingsResponse{Held: s.store.Held(digest)}, nil
}

// Manifest returns the content of a manifest, or an empty response if it is not held.
func (s *ChunkServer) Manifest(_ context.Context, request *wire.ManifestRequest) (*wire.ManifestResponse, error) {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return nil, err
	}
	manifest, ok := s.store.Manifest(digest)
	if !ok {
		return &wire.ManifestResponse{}, nil
	}
	return &wire.ManifestResponse{Content: manifest.Raw()}, nil
}

// Fetch sends one chunk in frames of up to chunkFrameSize bytes. It waits for a free slot first.
func (s *ChunkServer) Fetch(request *wire.FetchRequest, stream wire.DRPCChunks_FetchStream) error {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return err
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	data, err := s.store.Get(digest, int(request.Chunk))
	if err != nil {
		return err
	}
	for len(data) > 0 {
		size := min(len(data), chunkFrameSize)
		if err := stream.Send(&wire.FetchResponse{Data: data[:size]}); err != nil {
			return err
		}
		s.metrics.servedBytes.Add(float64(size))
		data = data[size:]
	}
	return nil
}
