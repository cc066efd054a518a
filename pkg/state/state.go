// Package state keeps replicated items whose versions only ever go up.
//
// An item is a key, a version and an opaque value. Whoever may write a key
// gives its versions a total order, so that merging is taking the newest: it
// does not matter by which path, how often or in which order an item arrives.
// An item that was deleted stays as a tombstone, because a peer that was away
// could otherwise bring the old value back.
//
// Every store numbers its own changes. A reader keeps a cursor into that
// numbering and asks for what changed after it; each key stands once in the
// numbering, at its latest change, so the answer never holds a key twice and
// nothing has to be trimmed. The number of a store is of use only together with
// its instance, which is drawn anew at each start.
//
// Two stores that should hold the same compare digests, one for each bucket of
// keys, and exchange only the buckets that differ; so a reader that has changed
// its source need not read everything again.
//
// # Usage
//
//	store := state.NewStore(instance)
//	store.Apply([]state.Item{{Key: "row/a", Version: state.Version{Major: 7}, Value: v}}, state.OriginLocal)
//	batch := store.Since(state.Cursor{}, 0)        // everything
//	changed := store.Changed()                    // closed at the next change
//	batch = store.Since(batch.Next, 0)            // only what is newer
package state

import (
	"cmp"
	"strings"
	"sync"
)

// Version orders the writes of one key. Major is compared first.
type Version struct {
	Major uint64
	Minor uint64
}

// Compare returns -1, 0 or +1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Major, other.Major); order != 0 {
		return order
	}
	return cmp.Compare(v.Minor, other.Minor)
}

// Item is one version of one key. Value must not be changed once applied.
type Item struct {
	Key     string
	Version Version
	Deleted bool
	Value   []byte
}

// Cursor is a place in the numbering of one instance of a store. The zero
// Cursor stands before everything.
type Cursor struct {
	Instance uint64
	Sequence uint64
}

// Batch is what changed after a cursor, oldest change first.
type Batch struct {
	Items []Item
	Next  Cursor
}

type node struct {
	item       Item
	sequence   uint64
	local      bool
	prev, next *node
}

// Store holds the newest version of each key. It is safe for concurrent use.
type Store struct {
	instance uint64

	mu       sync.RWMutex
	nodes    map[string]*node
	tail     *node
	sequence uint64
	changed  chan struct{}
	digests  [Buckets]uint64
}

// NewStore returns an empty store. The instance must differ between any two
// starts, or a reader's cursor from the earlier one could skip changes.
func NewStore(instance uint64) *Store {
	return &Store{
		instance: instance,
		nodes:    make(map[string]*node),
		changed:  make(chan struct{}),
	}
}

// Origin is by which way items came to a store.
type Origin bool

// The origins of items.
const (
	// OriginLocal marks items that this process wrote, or that came up to it
	// from below in an overlay.
	OriginLocal Origin = true
	// OriginRemote marks items that came from a store which hands them to all
	// others too.
	OriginRemote Origin = false
)

// Apply merges items and returns those that were newer than what was held.
func (s *Store) Apply(items []Item, origin Origin) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []Item
	for _, item := range items {
		if s.put(item, origin) {
			fresh = append(fresh, item)
		}
	}
	if len(fresh) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return fresh
}

func (s *Store) put(item Item, origin Origin) bool {
	held, ok := s.nodes[item.Key]
	if ok && item.Version.Compare(held.item.Version) <= 0 {
		return false
	}
	if ok {
		s.unlink(held)
		s.digests[bucketOf(item.Key)] ^= digestOf(held.item)
	} else {
		held = &node{}
		s.nodes[item.Key] = held
	}
	s.sequence++
	held.item = item
	held.sequence = s.sequence
	held.local = bool(origin)
	s.digests[bucketOf(item.Key)] ^= digestOf(item)
	s.append(held)
	return true
}

func (s *Store) unlink(n *node) {
	if n.prev != nil {
		n.prev.next = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		s.tail = n.prev
	}
	n.prev, n.next = nil, nil
}

func (s *Store) append(n *node) {
	n.prev = s.tail
	if s.tail != nil {
		s.tail.next = n
	}
	s.tail = n
}

// Since returns what changed after the cursor, oldest first and at most limit
// items; a limit of 0 means all. A cursor of another instance counts as the zero
// cursor. The cost is proportional to what changed.
func (s *Store) Since(cursor Cursor, limit int) Batch { return s.since(cursor, limit, false) }

// SinceLocal is Since for items of OriginLocal only.
func (s *Store) SinceLocal(cursor Cursor, limit int) Batch { return s.since(cursor, limit, true) }

// Tail returns the cursor after everything.
func (s *Store) Tail() Cursor {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Cursor{Instance: s.instance, Sequence: s.sequence}
}

func (s *Store) since(cursor Cursor, limit int, localOnly bool) Batch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	after := uint64(0)
	if cursor.Instance == s.instance {
		after = cursor.Sequence
	}
	first, count := s.firstAfter(after)
	batch := Batch{Next: Cursor{Instance: s.instance, Sequence: s.sequence}}
	if count == 0 {
		return batch
	}
	if limit > 0 && count > limit {
		count = limit
	}
	batch.Items = make([]Item, 0, count)
	for n := first; n != nil && len(batch.Items) < count; n = n.next {
		batch.Next.Sequence = n.sequence
		if n.local || !localOnly {
			batch.Items = append(batch.Items, n.item)
		}
	}
	return batch
}

// firstAfter walks back from the newest change.
func (s *Store) firstAfter(after uint64) (first *node, count int) {
	for n := s.tail; n != nil && n.sequence > after; n = n.prev {
		first = n
		count++
	}
	return first, count
}

// Changed returns a channel that is closed at the next change. Take it before
// reading, so that no change falls between the two.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Purge drops a key, tombstone and all. It is for keys whose writer is gone for good: a peer
// that still holds the item brings it back.
func (s *Store) Purge(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.nodes[key]
	if !ok {
		return
	}
	s.unlink(held)
	s.digests[bucketOf(key)] ^= digestOf(held.item)
	delete(s.nodes, key)
}

// Get returns the item of a key; ok is false if there is none or it is deleted.
func (s *Store) Get(key string) (item Item, ok bool) {
	item, ok = s.Lookup(key)
	return item, ok && !item.Deleted
}

// Lookup returns the item of a key, a tombstone included.
func (s *Store) Lookup(key string) (item Item, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n, ok := s.nodes[key]
	if !ok {
		return Item{}, false
	}
	return n.item, true
}

// Prefix returns the items whose key starts with prefix, deleted ones left out,
// in no order. It visits every key.
func (s *Store) Prefix(prefix string) []Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var items []Item
	for key, n := range s.nodes {
		if !n.item.Deleted && strings.HasPrefix(key, prefix) {
			items = append(items, n.item)
		}
	}
	return items
}

// Len returns the number of keys, tombstones included.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.nodes)
}
