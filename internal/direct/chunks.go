package direct

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/cinderslip/cinderslip/internal/wire"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// chunkLinkShare is the part of the box's link that pieces may take; the rest is
	// for the answers of the backend server beside it, which take less than 5% of it.
	chunkLinkShare = 0.85
	// maxConcurrentChunks is how many pieces are sent at once: one after the other comes sooner,
	// and two leave no gap between them.
	maxConcurrentChunks = 2
	// chunkFrameSize is the size of the frames in which a piece is sent, in bytes. One
	// holds up an answer on the link for a few milliseconds.
	chunkFrameSize = 4 << 10
	// bytesPerMbit converts rates.
	bytesPerMbit = 1e6 / 8
)

// ChunkServer gives other agents the pieces that this one holds, at a pace that
// leaves room on the link. It implements the drpc service Chunks.
type ChunkServer struct {
	wire.DRPCChunksUnimplementedServer

	store   *weights.MemoryStore
	limiter *rate.Limiter
	slots   chan struct{}
	// isIdle reports whether the backend server has nothing to answer, so that the
	// whole link is free.
	isIdle func() bool
}

// NewChunkServer returns a server for what a store holds, on a link of a rate in
// Mbit/s.
func NewChunkServer(store *weights.MemoryStore, linkMbps float64, isIdle func() bool) *ChunkServer {
	return &ChunkServer{
		store: store, isIdle: isIdle, slots: make(chan struct{}, maxConcurrentChunks),
		limiter: rate.NewLimiter(rate.Limit(chunkLinkShare*linkMbps*bytesPerMbit), chunkFrameSize),
	}
}

// Holdings tells which pieces of a version are held.
func (s *ChunkServer) Holdings(_ context.Context, request *wire.HoldingsRequest) (*wire.HoldingsResponse, error) {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return nil, err
	}
	return &wire.HoldingsResponse{Held: s.store.Held(digest)}, nil
}

// Fetch sends one piece in frames.
func (s *ChunkServer) Fetch(request *wire.FetchRequest, stream wire.DRPCChunks_FetchStream) error {
	digest, err := weights.DigestFromBytes(request.Manifest)
	if err != nil {
		return err
	}
	ctx := stream.Context()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return ctx.Err()
	}
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
