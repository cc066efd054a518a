// Package state stores replicated items whose versions only increase.
//
// An item consists of a key, a version and an opaque value. The writers of a key
// ensure a total order of its versions, and a store keeps the newest one. Neither
// the path of an item, nor the order of items, nor duplicates affect the result. A
// deleted item remains as a tombstone, because a peer that was disconnected could
// otherwise bring the old value back.
//
// Every store numbers its own changes. A reader keeps a cursor, which is a position
// in this sequence, and requests the changes after it. Each key appears only at its
// latest change, so a batch never contains a key twice and the sequence needs no
// trimming. Sequence numbers are valid only together with the instance of the store,
// which is chosen at each start.
//
// A Mirror adds what a store of a single source needs: up to which revision it has every change, and so which items
// are outdated. Mirrors send each other a large value as the Delta from an earlier one.
//
// Two stores that should have the same items compare digests, one for each bucket of
// keys, and exchange only the buckets that differ. A reader that switches to another
// source therefore need not read everything again.
//
// # Usage
//
//	store := state.NewStore(instance)
//	store.Apply([]state.Item{{Key: "row/a", Version: state.Version{Major: 7}, Value: v}}, state.OriginLocal)
//	batch := store.Since(state.Cursor{}, 0)       // all items
//	changed := store.Changed()                    // closed at the next change
//	batch = store.Since(batch.Next, 0)            // only later changes
package state

import (
	"cmp"
	"strings"
	"sync"
)

// Version orders the writes of one key. Order is compared first, then Major.
type Version struct {
	Major uint64
	Minor uint64
	// Order is a number of the writer that increases with the content of the item, or 0 if there is none. It is
	// independent of the positions of a source, which may come back from a copy that is older than the item.
	Order uint64
}

// Compare returns -1, 0 or +1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Order, other.Order), cmp.Compare(v.Major, other.Major), cmp.Compare(v.Minor, other.Minor))
}

// Item is one version of one key. Value must not be modified after Store.Apply.
type Item struct {
	Key     string
	Version Version
	Deleted bool
	Value   []byte
}

// Cursor is a position in the changes of one instance of a store. The zero Cursor
// is before the first change.
type Cursor struct {
	Instance uint64
	Sequence uint64
}

// Batch holds the changes after a cursor, oldest first. Next is the cursor for the
// following batch. More is set if a limit was reached, so that more changes may follow.
type Batch struct {
	Items []Item
	Next  Cursor
	More  bool
}

// batchLimits bounds a batch; 0 means no bound. An item that is larger than the bytes is alone in its batch.
type batchLimits struct{ items, bytes int }

// itemOverhead is the size of an item without its key and its value, about as much as its version takes.
const itemOverhead = 24

func (i *Item) size() int { return len(i.Key) + len(i.Value) + itemOverhead }

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

// NewStore returns an empty store. Each start must use another instance, or a
// reader's cursor from an earlier start could skip changes.
func NewStore(instance uint64) *Store {
	return &Store{
		instance: instance,
		nodes:    make(map[string]*node),
		changed:  make(chan struct{}),
	}
}

// Origin states how a store received items.
type Origin bool

// The origins of items.
const (
	// OriginLocal marks items that this process wrote, or received from a
	// process below it in the overlay.
	OriginLocal Origin = true
	// OriginRemote marks items from a store that distributes them to all other
	// stores as well.
	OriginRemote Origin = false
)

// Apply merges items into the store and returns those that were newer than the stored versions.
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
	n, ok := s.nodes[item.Key]
	if ok && item.Version.Compare(n.item.Version) <= 0 {
		return false
	}
	if ok {
		s.unlink(n)
		s.digests[bucketOf(item.Key)] ^= digestOf(n.item)
	} else {
		n = &node{}
		s.nodes[item.Key] = n
	}
	s.sequence++
	n.item = item
	n.sequence = s.sequence
	n.local = bool(origin)
	s.digests[bucketOf(item.Key)] ^= digestOf(item)
	s.append(n)
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

// Since returns the changes after the cursor, oldest first and at most limit items;
// a limit of 0 means all. A cursor of another instance counts as the zero Cursor. The
// cost is proportional to the number of changes after the cursor.
func (s *Store) Since(cursor Cursor, limit int) Batch {
	return s.since(cursor, batchLimits{items: limit}, func(*node) bool { return true })
}

// SinceLocal is like Since, but returns only items with OriginLocal.
func (s *Store) SinceLocal(cursor Cursor, limit int) Batch {
	return s.since(cursor, batchLimits{items: limit}, func(n *node) bool { return n.local })
}

// Tail returns the cursor after the latest change.
func (s *Store) Tail() Cursor {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Cursor{Instance: s.instance, Sequence: s.sequence}
}

func (s *Store) since(cursor Cursor, limits batchLimits, isSelected func(*node) bool) Batch {
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
	if limits.items > 0 && count > limits.items {
		count = limits.items
	}
	bytes := 0
	for n := first; n != nil; n = n.next {
		isWanted := isSelected(n)
		if isWanted {
			bytes += n.item.size()
		}
		if isWanted && (len(batch.Items) == count || limits.bytes > 0 && bytes > limits.bytes && len(batch.Items) > 0) {
			batch.More = true
			break
		}
		batch.Next.Sequence = n.sequence
		if isWanted {
			batch.Items = append(batch.Items, n.item)
		}
	}
	return batch
}

// firstAfter returns the first node with a sequence number greater than after, and the number of
// such nodes. It searches backwards from the latest change.
func (s *Store) firstAfter(after uint64) (first *node, count int) {
	for n := s.tail; n != nil && n.sequence > after; n = n.prev {
		first = n
		count++
	}
	return first, count
}

// Changed returns a channel that is closed at the next change. Call it before
// reading the store, so that no change in between is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Purge removes a key, including its tombstone. Use it only for keys whose writer no longer exists:
// a peer that still has the item can bring it back.
func (s *Store) Purge(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[key]
	if !ok {
		return
	}
	s.unlink(n)
	s.digests[bucketOf(key)] ^= digestOf(n.item)
	delete(s.nodes, key)
}

// Get returns the item of a key. ok is false if there is none or it is deleted.
func (s *Store) Get(key string) (item Item, ok bool) {
	item, ok = s.Lookup(key)
	return item, ok && !item.Deleted
}

// Lookup returns the item of a key, even if it is a tombstone.
func (s *Store) Lookup(key string) (item Item, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n, ok := s.nodes[key]
	if !ok {
		return Item{}, false
	}
	return n.item, true
}

// Prefix returns the items whose key starts with prefix, except deleted ones, in no
// particular order. It visits every key.
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

// digestsAfter returns the digests of at most limit items with a major version above another one. It visits every key.
func (s *Store) digestsAfter(major uint64, limit int) (digests []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, n := range s.nodes {
		if n.item.Version.Major > major && len(digests) < limit {
			digests = append(digests, digestOf(n.item))
		}
	}
	return digests
}

// tombstones returns the items of the deleted keys. It visits every key.
func (s *Store) tombstones() (deleted []Item) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, n := range s.nodes {
		if n.item.Deleted {
			deleted = append(deleted, n.item)
		}
	}
	return deleted
}

// Len returns the number of keys, including tombstones.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.nodes)
}
