package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestApplyRejectsOlderVersions(t *testing.T) {
	s := NewStore(1)
	newer := Item{Key: "a", Version: Version{Major: 2}, Value: []byte("new")}
	require.Len(t, s.Apply([]Item{newer}, OriginLocal), 1)
	require.Empty(t, s.Apply([]Item{{Key: "a", Version: Version{Major: 1, Minor: 9}, Value: []byte("old")}}, OriginLocal))
	require.Empty(t, s.Apply([]Item{newer}, OriginLocal), "applying the same version again changes nothing")
	item, ok := s.Get("a")
	require.True(t, ok)
	require.Equal(t, "new", string(item.Value))
}

func TestTombstonePreventsOldValueFromReturning(t *testing.T) {
	s := NewStore(1)
	s.Apply([]Item{{Key: "a", Version: Version{Major: 1}, Value: []byte("v")}}, OriginLocal)
	s.Apply([]Item{{Key: "a", Version: Version{Major: 2}, Deleted: true}}, OriginLocal)
	s.Apply([]Item{{Key: "a", Version: Version{Major: 1}, Value: []byte("v")}}, OriginLocal)
	_, ok := s.Get("a")
	require.False(t, ok)
	require.Len(t, s.Since(Cursor{}, 0).Items, 1, "readers receive the tombstone")
}

func TestCursorOfAnotherInstanceReadsEverything(t *testing.T) {
	s := NewStore(2)
	s.Apply([]Item{{Key: "a", Version: Version{Major: 1}}}, OriginLocal)
	require.Len(t, s.Since(Cursor{Instance: 1, Sequence: 100}, 0).Items, 1)
	require.Empty(t, s.Since(Cursor{Instance: 2, Sequence: 1}, 0).Items)
}

// Stores that pull from each other at random, with restarts that lose all items,
// must converge to the newest version of each key and never return to an older one.
func TestStoresConvergeAndNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 4
		stores := make([]*Store, count)
		cursors := make([][count]Cursor, count)
		instance := uint64(0)
		restart := func(i int) {
			instance++
			stores[i] = NewStore(instance)
			cursors[i] = [count]Cursor{}
		}
		for i := range stores {
			restart(i)
		}
		newest := make(map[string]Version)
		pull := func(to, from, limit int) {
			before := versions(stores[to])
			batch := stores[from].Since(cursors[to][from], limit)
			cursors[to][from] = batch.Next
			stores[to].Apply(batch.Items, OriginLocal)
			for key, version := range versions(stores[to]) {
				if version.Compare(before[key]) < 0 {
					t.Fatalf("key %s went back from %v to %v", key, before[key], version)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			target := rapid.IntRange(0, count-1).Draw(t, "at")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				if target != 0 { // store 0 never restarts, so that no item is lost in all stores
					restart(target)
				}
			case 1, 2, 3:
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				version := Version{Major: newest[key].Major + 1, Minor: rapid.Uint64Range(0, 3).Draw(t, "minor")}
				newest[key] = version
				item := Item{Key: key, Version: version, Deleted: rapid.Bool().Draw(t, "deleted")}
				stores[0].Apply([]Item{item}, OriginLocal)
				stores[target].Apply([]Item{item}, OriginLocal)
			default:
				pull(target, rapid.IntRange(0, count-1).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "limit"))
			}
		}
		for i := 1; i < count; i++ {
			for range len(newest) + 1 {
				pull(i, 0, 1)
			}
			if got := versions(stores[i]); len(got) != len(newest) {
				t.Fatalf("store %d holds %d keys, want %d", i, len(got), len(newest))
			}
			for key, version := range versions(stores[i]) {
				if version != newest[key] {
					t.Fatalf("store %d holds %s at %v, want %v", i, key, version, newest[key])
				}
			}
		}
	})
}

func versions(s *Store) map[string]Version {
	out := make(map[string]Version)
	for _, item := range s.Since(Cursor{}, 0).Items {
		out[item.Key] = item.Version
	}
	return out
}

// newFilledStore returns a store with the given number of keys. A fleet of 12,000 servers and
// 2,200 nodes, with a record and an assignment each, and 2,000 rows has about 30,000 keys.
func newFilledStore(keys int) *Store {
	s := NewStore(1)
	value := make([]byte, 250)
	items := make([]Item, 0, keys)
	for i := range keys {
		items = append(items, Item{Key: fmt.Sprintf("member/box-%06d", i), Version: Version{Major: 1}, Value: value})
	}
	s.Apply(items, OriginLocal)
	return s
}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			s := newFilledStore(keys)
			value := make([]byte, 250)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Apply([]Item{{Key: "member/box-000007", Version: Version{Major: uint64(i) + 2}, Value: value}}, OriginLocal)
			}
		})
	}
}

func BenchmarkReadOneChange(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			s := newFilledStore(keys)
			cursor := s.Since(Cursor{}, 0).Next
			cursor.Sequence--
			b.ReportAllocs()
			for b.Loop() {
				s.Since(cursor, 0)
			}
		})
	}
}

func BenchmarkReadEverything(b *testing.B) {
	for _, keys := range []int{1_000, 30_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			s := newFilledStore(keys)
			b.ReportAllocs()
			for b.Loop() {
				s.Since(Cursor{}, 0)
			}
		})
	}
}
