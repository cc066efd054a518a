package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which keys are divided to compare stores.
const Buckets = 256

// Digests holds one digest per bucket, of the keys and versions in it. The digests do
// not depend on the order in which items were applied.
type Digests [Buckets]uint64

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func digestOf(item Item) uint64 {
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], item.Version.Major)
	binary.LittleEndian.PutUint64(version[8:], item.Version.Minor)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(item.Key)
	_, _ = digest.Write(version[:])
	if item.Version.Order != 0 {
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, item.Version.Order))
	}
	return digest.Sum64()
}

// Digests returns the digests of the items in the store.
func (s *Store) Digests() Digests {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digests
}

// Differing returns the items in the buckets that differ from those of another store.
// It adds complete buckets until there are at least limit items, and sets more if it
// omitted a bucket. It visits every key, unless no bucket differs.
func (s *Store) Differing(other Digests, limit int) (items []Item, more bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.digests == other {
		return nil, false
	}
	var counts [Buckets]int
	for key := range s.nodes {
		counts[bucketOf(key)]++
	}
	var selected [Buckets]bool
	total := 0
	for bucket, count := range counts {
		switch {
		case s.digests[bucket] == other[bucket]:
		case total >= limit:
			more = true
		default:
			selected[bucket] = true
			total += count
		}
	}
	items = make([]Item, 0, total)
	for key, n := range s.nodes {
		if selected[bucketOf(key)] {
			items = append(items, n.item)
		}
	}
	return items, more
}
