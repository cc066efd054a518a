package direct

import (
	"context"
	"slices"
	"sync"
)

// chunkSlots limits the number of chunks that are sent at once. Chunks of the version that servers need first do not wait
// for those of another one. It is safe for concurrent use.
type chunkSlots struct {
	mu   sync.Mutex
	free int
	// normal and deferred are the waiting requests, in the order of their arrival. A deferred one waits as long as any
	// normal one does.
	normal, deferred []chan struct{}
}

func newChunkSlots(slots int) *chunkSlots { return &chunkSlots{free: slots} }

// acquire waits for a slot. A deferred request gets one only if no other request waits.
func (s *chunkSlots) acquire(ctx context.Context, deferred bool) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	granted, queue := make(chan struct{}), &s.normal
	if deferred {
		queue = &s.deferred
	}
	*queue = append(*queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(*queue, granted); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	} else {
		s.grantNext()
	}
	return ctx.Err()
}

// release frees a slot.
func (s *chunkSlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

// grantNext passes a slot to the next request. The lock must be held.
func (s *chunkSlots) grantNext() {
	for _, queue := range []*[]chan struct{}{&s.normal, &s.deferred} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = slices.Delete(*queue, 0, 1)
			return
		}
	}
	s.free++
}
