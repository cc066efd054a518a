package weights

import (
	"fmt"
	"sync"

	"github.com/zeebo/blake3"
)

// MemoryStore holds verified chunks in memory, up to a limit in bytes. Chunks are stored by digest, so
// versions with common chunks store these once. It is safe for concurrent use.
type MemoryStore struct {
	limit int64

	mu        sync.RWMutex
	used      int64
	chunks    map[Digest][]byte
	manifests map[Digest]*Manifest
	// references counts how often the known manifests list a chunk.
	references map[Digest]int
}

// NewMemoryStore returns a store that holds at most limit bytes of chunks.
func NewMemoryStore(limit int64) *MemoryStore {
	return &MemoryStore{
		limit:      limit,
		chunks:     make(map[Digest][]byte),
		manifests:  make(map[Digest]*Manifest),
		references: make(map[Digest]int),
	}
}

// Add registers a version. Chunks already held for another version are available for it at once.
func (s *MemoryStore) Add(manifest *Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.manifests[manifest.Digest()]; known {
		return
	}
	s.manifests[manifest.Digest()] = manifest
	for _, chunk := range manifest.Chunks {
		s.references[chunk.Digest]++
	}
}

// Put stores a chunk after it has checked the digest. The store keeps data without copying it. Errors wrap
// ErrDigestMismatch or ErrStoreFull.
func (s *MemoryStore) Put(manifest *Manifest, index int, data []byte) error {
	want := manifest.Chunks[index]
	if int64(len(data)) != want.Size || manifest.Hash.Sum(data) != want.Digest {
		return fmt.Errorf("chunk %d of %s: %w", index, manifest.Digest().Short(), ErrDigestMismatch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.chunks[want.Digest]; held {
		return nil
	}
	if s.used+want.Size > s.limit {
		return fmt.Errorf("%d of %d bytes used: %w", s.used, s.limit, ErrStoreFull)
	}
	s.chunks[want.Digest] = data
	s.used += want.Size
	return nil
}

// Get returns a chunk, which callers must not modify. Errors wrap ErrChunkNotFound.
func (s *MemoryStore) Get(manifest Digest, index int) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	known, ok := s.manifests[manifest]
	if !ok || index < 0 || index >= len(known.Chunks) {
		return nil, fmt.Errorf("chunk %d of %s: %w", index, manifest.Short(), ErrChunkNotFound)
	}
	held, ok := s.chunks[known.Chunks[index].Digest]
	if !ok {
		return nil, fmt.Errorf("chunk %d of %s: %w", index, manifest.Short(), ErrChunkNotFound)
	}
	return held, nil
}

// Held returns the chunks of a version that the store holds; nil for an unknown version.
func (s *MemoryStore) Held(manifest Digest) Bits {
	s.mu.RLock()
	defer s.mu.RUnlock()
	known, ok := s.manifests[manifest]
	if !ok {
		return nil
	}
	bits := NewBits(len(known.Chunks))
	for i, chunk := range known.Chunks {
		if _, held := s.chunks[chunk.Digest]; held {
			bits.Set(i)
		}
	}
	return bits
}

// Manifest returns the manifest of a registered version.
func (s *MemoryStore) Manifest(digest Digest) (*Manifest, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	manifest, ok := s.manifests[digest]
	return manifest, ok
}

// Verify checks the digest of all content of a version. Errors wrap ErrChunkNotFound or ErrDigestMismatch.
func (s *MemoryStore) Verify(manifest *Manifest) error {
	hasher := blake3.New()
	for i := range manifest.Chunks {
		data, err := s.Get(manifest.Digest(), i)
		if err != nil {
			return err
		}
		_, _ = hasher.Write(data)
	}
	var sum Digest
	hasher.Sum(sum[:0])
	if sum != manifest.WholeDigest {
		return fmt.Errorf("content of manifest %s: %w", manifest.Digest().Short(), ErrDigestMismatch)
	}
	return nil
}

// Drop removes a version and the chunks that no other version uses.
func (s *MemoryStore) Drop(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	manifest, ok := s.manifests[digest]
	if !ok {
		return
	}
	delete(s.manifests, digest)
	for _, chunk := range manifest.Chunks {
		s.references[chunk.Digest]--
		if s.references[chunk.Digest] > 0 {
			continue
		}
		delete(s.references, chunk.Digest)
		if _, held := s.chunks[chunk.Digest]; held {
			delete(s.chunks, chunk.Digest)
			s.used -= chunk.Size
		}
	}
}

// Used returns the size of the held chunks in bytes.
func (s *MemoryStore) Used() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.used
}

// Bits is a set of chunk indexes, encoded with the lowest bit first.
type Bits []byte

const bitsPerByte = 8

// NewBits returns an empty set for n chunks.
func NewBits(n int) Bits { return make(Bits, (n+bitsPerByte-1)/bitsPerByte) }

// Set adds an index, which must be in range.
func (b Bits) Set(i int) { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// Has reports whether the index is in the set. An index out of range is not.
func (b Bits) Has(i int) bool {
	return i/bitsPerByte < len(b) && b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Count returns how many of the first n indexes are in the set.
func (b Bits) Count(n int) int {
	count := 0
	for i := range n {
		if b.Has(i) {
			count++
		}
	}
	return count
}
