package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any contents of two stores, repeated comparison of digests and transfer of the
// differing buckets must terminate, and the one store must then hold all items of the
// other.
func TestRepairTerminatesWithEqualStores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := NewStore(1), NewStore(2)
		for i := range rapid.IntRange(0, 300).Draw(t, "keys") {
			item := Item{Key: fmt.Sprint(i), Version: Version{Major: rapid.Uint64Range(1, 3).Draw(t, "version")}}
			if rapid.Bool().Draw(t, "both") {
				to.Apply([]Item{item}, OriginRemote)
				item.Version.Major += rapid.Uint64Range(0, 1).Draw(t, "newer")
			}
			from.Apply([]Item{item}, OriginLocal)
		}
		limit := rapid.IntRange(1, 50).Draw(t, "limit")
		for rounds := 0; ; rounds++ {
			require.LessOrEqual(t, rounds, Buckets)
			items, more := from.Differing(to.Digests(), limit)
			to.Apply(items, OriginRemote)
			if !more {
				break
			}
		}
		require.Equal(t, from.Digests(), to.Digests())
		require.Equal(t, versions(from), versions(to))
	})
}

func BenchmarkRepairOneBucket(b *testing.B) {
	s := newFilledStore(30_000)
	other := s.Digests()
	other[7]++
	b.ReportAllocs()
	for b.Loop() {
		s.Differing(other, 4096)
	}
}
