package direct

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// chunkLinkShare is the share of the box's link that chunks may use. The rest is for the responses of
	// the backend server on the same box, which take less than 5% of the link.
	chunkLinkShare = 0.85
	// maxConcurrentChunks limits the number of chunks that are sent at once. Each chunk arrives sooner if
	// chunks are sent one after the other; a second one fills the gap between two chunks.
	maxConcurrentChunks = 2
	// chunkFrameSize is the maximum size of a frame of a chunk, in bytes. A frame of this size delays a
	// response on the same link by a few milliseconds.
	chunkFrameSize = 4 << 10
	// bytesPerMbit converts a rate in Mbit/s to bytes per second.
	bytesPerMbit = 1e6 / 8
)

// ChunkServer serves the chunks that this agent holds to other agents, at a rate that leaves
// part of the link to requests. It implements the drpc service Chunks.
type ChunkServer struct {
	wire.DRPCChunksUnimplementedServer

	store   *weights.MemoryStore
	limiter *rate.Limiter
	slots   *chunkSlots
	// isIdle reports whether the backend server has no requests. Chunks are then sent without a rate limit.
	isIdle func() bool
	// isDoubted reports whether this agent has dropped a manifest because its chunks do not match it.
	isDoubted func(manifest weights.Digest) bool
	// isDeferred reports whether chunks of other manifests go first.
	isDeferred func(manifest weights.Digest) bool
}

// NewChunkServer returns a server for the chunks in a store. linkMbps is the rate of the box's link, in
// Mbit/s.
func NewChunkServer(
	store *weights.MemoryStore, linkMbps float64, isIdle func() bool,
	isDoubted, isDeferred func(manifest weights.Digest) bool,
) *ChunkServer {
	return &ChunkServer{
		store: store, isIdle: isIdle, isDoubted: isDoubted, isDeferred: isDeferred, slots: newChunkSlots(maxConcurrentChunks),
		limiter: rate.NewLimiter(rate.Limit(chunkLinkShare*linkMbps*bytesPerMbit), chunkFrameSize),
	}
}

// Holdings returns the set of chunks that this agent holds of the version with the requested manifest digest.
func (s *ChunkServer) Holdings(_ context.Context, request *wire.HoldingsRequest) (*wire.HoldingsResponse, error) {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return nil, err
	}
	return &wire.HoldingsResponse{Held: s.store.Held(digest), Doubted: s.isDoubted(digest)}, nil
}

// Fetch streams one chunk in frames of at most chunkFrameSize bytes.
func (s *ChunkServer) Fetch(request *wire.FetchRequest, stream wire.DRPCChunks_FetchStream) error {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return err
	}
	ctx := stream.Context()
	if err := s.slots.acquire(ctx, s.isDeferred(digest)); err != nil {
		return err
	}
	defer s.slots.release()
	data, err := s.store.Get(digest, int(request.Chunk))
	if err != nil {
		return err
	}
	for len(data) > 0 {
		size := min(len(data), chunkFrameSize)
		if !s.isIdle() {
			if err := s.limiter.WaitN(ctx, size); err != nil {
				return err
			}
		}
		if err := stream.Send(&wire.FetchResponse{Data: data[:size]}); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}
