package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Mirror holds the items of one source that numbers all its changes in a single sequence of revisions, such as a
// key-value service. The major version of an item is the revision at which it was written. Mirrors read the source or
// each other, in any order, and a mirror that has just started may read one that is far behind.
//
// A source may come back from a copy, and start another history that continues from there. Revisions of the later
// history must be higher than all of the earlier one. What the earlier one held beyond the copy is known to mirrors
// alone. An item with an Order is therefore kept until its writer writes a newer one, at whatever revision.
//
// Some keys are removable: a writer may delete them, and the source keeps no trace of a deleted key. A mirror therefore
// knows more than its items:
//
//   - Complete is the revision up to which it has every change. A removable key that the mirror does not hold was not in
//     the source at that revision. An item of such a key at that revision or an earlier one is outdated, whoever sends
//     it, and is not taken.
//   - Floor is the revision up to which it may lack tombstones, because it read a snapshot of the source or has discarded
//     them. A mirror that is complete up to the floor needs only the changes after that. Any other one also needs the
//     list of the keys that are present: it deletes what it holds and the list lacks.
//
// A Mirror is safe for concurrent use.
//
// # Usage
//
//	mirror := state.NewMirror(instance, func(key string) bool { return strings.HasPrefix(key, "server/") })
//	applied, _ := mirror.MergeSnapshot(items, revision, nil)       // read from the source
//	applied, _ = mirror.MergeChanges(items, after, revision, nil)  // watched at the source
//	transfer := mirror.Transfer(cursor, 256, other.Receiver()) // sent to another mirror
//	applied, _ = other.MergeTransfer(&transfer, nil)
type Mirror struct {
	isRemovable func(key string) bool

	mu       sync.Mutex
	store    *Store
	complete uint64
	floor    uint64
	// deferred are the deletions that are applied later, by key.
	deferred map[string]deferredDeletion
	// tombstones is the number of removable keys that are held as deleted, and maxTombstones its bound.
	tombstones    int
	maxTombstones int
	// outdated is the number of outdated items that were not taken.
	outdated uint64
	// orders holds the Order of each item that has one, by key.
	orders map[string]uint64
	// chains holds the deltas between the values that were held of each key whose value is large. unresolved holds the
	// keys whose last received deltas did not apply.
	chains     map[string]*valueChain
	unresolved map[string]bool
}

// deferredDeletion is the newest deletion of a key that a mirror has received and not applied.
type deferredDeletion struct {
	revision uint64
	// complete is the revision up to which the mirror had applied every change before the deletion.
	complete uint64
}

// defaultMaxTombstones bounds the number of tombstones. The older half is discarded beyond it.
const defaultMaxTombstones = 4096

// NewMirror returns an empty mirror. Each start must use another instance. isRemovable reports whether a key may be
// deleted at the source; a key that may not is kept until a newer version of it arrives.
func NewMirror(instance uint64, isRemovable func(key string) bool) *Mirror {
	return &Mirror{
		isRemovable: isRemovable, store: NewStore(instance), deferred: make(map[string]deferredDeletion), maxTombstones: defaultMaxTombstones,
		orders: make(map[string]uint64), chains: make(map[string]*valueChain), unresolved: make(map[string]bool),
	}
}

// DeferFunc reports whether the deletion of an item that the mirror holds is deferred.
type DeferFunc func(deletion Item) bool

// MirrorStatus is the state of a mirror apart from its items.
type MirrorStatus struct {
	// Complete is the revision up to which the mirror has every change. It does not pass a deferred deletion.
	Complete uint64
	// Received is the revision up to which the mirror has every change or a deferred deletion.
	Received uint64
	// Floor is the revision up to which the mirror may lack tombstones.
	Floor uint64
	// Deferred is the number of deferred deletions, Tombstones the number of removable keys that are held as deleted.
	Deferred, Tombstones int
	// Outdated is the number of outdated items that were not taken.
	Outdated uint64
	// Ordered increases whenever an item with a higher Order is applied. Mirrors that hold the same Orders have the
	// same value.
	Ordered uint64
}

// Receiver is what a mirror has, as far as a transfer to it depends on that.
type Receiver struct {
	// Complete is the revision up to which it has every change.
	Complete uint64
	// Orders holds the Order of each item that has one, by key.
	Orders map[string]uint64
	// Held are digests of items that it holds and that are newer than Complete, as it receives them from another
	// mirror or received them in a transfer that was interrupted.
	Held []uint64
	// Values holds the digests of the large values from which it can derive others, by key.
	Values map[string]ValueDigest
}

// maxHeldDigests bounds the digests in a Receiver.
const maxHeldDigests = 4096

// Receiver returns what the mirror has, for a request for a transfer.
func (m *Mirror) Receiver() Receiver {
	m.mu.Lock()
	defer m.mu.Unlock()
	complete := m.completeExceptDeferred()
	receiver := Receiver{Complete: complete, Orders: maps.Clone(m.orders), Held: m.store.digestsAfter(complete, maxHeldDigests)}
	for key, chain := range m.chains {
		if !m.unresolved[key] {
			if receiver.Values == nil {
				receiver.Values = make(map[string]ValueDigest)
			}
			receiver.Values[key] = chain.digest
		}
	}
	return receiver
}

// lacks returns a function that reports whether the receiver may lack an item.
func (r *Receiver) lacks() func(item *Item) bool {
	held := make(map[uint64]bool, len(r.Held))
	for _, digest := range r.Held {
		held[digest] = true
	}
	return func(item *Item) bool {
		if item.Version.Major <= r.Complete && item.Version.Order <= r.Orders[item.Key] {
			return false
		}
		return len(held) == 0 || !held[digestOf(*item)]
	}
}

// Status returns the state of the mirror.
func (m *Mirror) Status() MirrorStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MirrorStatus{
		Complete: m.completeExceptDeferred(), Received: m.complete, Floor: m.floor,
		Deferred: len(m.deferred), Tombstones: m.tombstones, Outdated: m.outdated, Ordered: m.ordered(),
	}
}

// maxOrderWeight bounds the weight of a key in ordered. Orders below 2^44 do not overflow.
const maxOrderWeight = 1 << 16

// ordered returns the sum of all orders, each with a weight by its key, so that different orders hardly ever have the
// same sum. The lock must be held.
func (m *Mirror) ordered() (sum uint64) {
	for key, order := range m.orders {
		sum += order * (1 + xxhash.Sum64String(key)%maxOrderWeight)
	}
	return sum
}

// completeExceptDeferred returns the revision up to which every change is applied. The lock must be held.
func (m *Mirror) completeExceptDeferred() uint64 {
	complete := m.complete
	for _, d := range m.deferred {
		complete = min(complete, d.complete)
	}
	return complete
}

// Lookup returns the item of a key, even if it is a tombstone.
func (m *Mirror) Lookup(key string) (item Item, ok bool) { return m.store.Lookup(key) }

// DeferredRevision returns the revision of the latest deferred deletion of a key, or 0 if there is none.
func (m *Mirror) DeferredRevision(key string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deferred[key].revision
}

// Prefix returns the items whose key starts with prefix, except deleted ones.
func (m *Mirror) Prefix(prefix string) []Item { return m.store.Prefix(prefix) }

// Merge merges items of unknown origin and returns those that were applied.
func (m *Mirror) Merge(items []Item) (applied []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.merge(items)
}

// MergeSnapshot merges all items of the source, which were read at a revision or later, and deletes the removable keys
// that they lack. A deletion for which shouldDefer returns true is not applied but returned; the caller applies it with
// Merge. shouldDefer may be nil.
func (m *Mirror) MergeSnapshot(items []Item, revision uint64, shouldDefer DeferFunc) (applied, deferred []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(items))
	for i := range items {
		present[items[i].Key] = true
	}
	items, deferred = m.deferDeletions(append(slices.Clone(items), m.missing(present, revision)...), shouldDefer)
	applied = m.mergeFromSource(items, revision)
	if revision > m.complete {
		m.complete, m.floor = revision, max(m.floor, revision)
	}
	m.discardTombstones()
	return applied, deferred
}

// MergeChanges merges every change of the source after one revision up to another one. For deferred deletions see
// MergeSnapshot.
func (m *Mirror) MergeChanges(items []Item, after, revision uint64, shouldDefer DeferFunc) (applied, deferred []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items, deferred = m.deferDeletions(items, shouldDefer)
	applied = m.mergeFromSource(items, revision)
	if after <= m.complete {
		m.complete = max(m.complete, revision)
	}
	m.discardTombstones()
	return applied, deferred
}

// Transfer is what one mirror sends to another: the changes after a cursor and what they amount to.
type Transfer struct {
	Batch
	// Deltas holds, by key, the deltas from a large value of the receiver that are sent in place of the value of an item.
	Deltas map[string][]Delta
	// Complete is the revision up to which the receiver of this transfer and those before it has every change, 0 if
	// more are to come.
	Complete uint64
	// Floor is the floor of the sender.
	Floor uint64
	// Present lists the removable keys that the sender holds, if HasPresent is set.
	Present    []string
	HasPresent bool
}

// maxTransferBytes bounds the size of the items in a transfer with a limit, so that each transfer that arrives is
// progress on a narrow link, where all changes take seconds. An item that is larger is alone in its transfer.
const maxTransferBytes = 32 << 10

// Transfer returns the changes after a cursor, at most limit items and maxTransferBytes, for a receiver; all of them for
// a limit of 0. It omits the changes up to the revision up to which that is complete, and what it holds, even if the
// cursor precedes them: the receiver may have them from another mirror. It includes items with a higher Order than the
// receiver has, at whatever revision. A large value is replaced by deltas if the mirror has held the one that the receiver
// holds.
func (m *Mirror) Transfer(cursor Cursor, limit int, receiver Receiver) Transfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	limits := batchLimits{items: limit}
	if limit > 0 {
		limits.bytes = maxTransferBytes
	}
	lacks := receiver.lacks()
	transfer := Transfer{Floor: m.floor, Batch: m.store.since(cursor, limits, func(n *node) bool { return lacks(&n.item) })}
	m.replaceByDeltas(&transfer, &receiver)
	if transfer.More {
		return transfer
	}
	transfer.Complete = m.completeExceptDeferred()
	if receiver.Complete < m.floor && receiver.Complete < transfer.Complete {
		transfer.HasPresent = true
		for _, item := range m.store.Prefix("") {
			if m.isRemovable(item.Key) {
				transfer.Present = append(transfer.Present, item.Key)
			}
		}
	}
	return transfer
}

// MergeTransfer merges what another mirror sent. The transfers of one sender must be merged in order. For deferred
// deletions see MergeSnapshot; tombstones of the sender are applied at once. Items whose deltas do not apply are not
// merged, see Resolve.
func (m *Mirror) MergeTransfer(transfer *Transfer, shouldDefer DeferFunc) (applied, deferred []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.resolve(transfer)
	applied = m.apply(m.withoutOutdated(transfer.Items), transfer.Deltas)
	complete := m.completeExceptDeferred()
	switch {
	case transfer.Complete <= complete:
	case complete >= transfer.Floor:
		m.complete = max(m.complete, transfer.Complete)
	case transfer.HasPresent:
		present := make(map[string]bool, len(transfer.Present))
		for _, key := range transfer.Present {
			present[key] = true
		}
		var deletions []Item
		deletions, deferred = m.deferDeletions(m.missing(present, transfer.Complete), shouldDefer)
		applied = append(applied, m.merge(deletions)...)
		m.complete, m.floor = max(m.complete, transfer.Complete), max(m.floor, transfer.Floor)
	}
	m.discardTombstones()
	return applied, deferred
}

// merge applies items that are newer than the held ones, except outdated ones. The lock must be held.
func (m *Mirror) merge(items []Item) []Item {
	return m.apply(m.withoutOutdated(items), nil)
}

// withoutOutdated returns the items except outdated ones. The lock must be held.
func (m *Mirror) withoutOutdated(items []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), m.isOutdated)
}

// mergeFromSource applies items that were read from the source at a revision. None is outdated unless the mirror has
// become complete beyond that revision meanwhile. The lock must be held.
func (m *Mirror) mergeFromSource(items []Item, revision uint64) []Item {
	if revision < m.complete {
		return m.merge(items)
	}
	return m.apply(items, nil)
}

// apply applies items that are newer than the held ones. received holds the deltas as which they were received. The lock
// must be held.
func (m *Mirror) apply(items []Item, received map[string][]Delta) []Item {
	held := make(map[string]Item)
	for _, item := range items {
		if before, ok := m.store.Lookup(item.Key); ok {
			held[item.Key] = before
		}
	}
	applied := m.store.Apply(items, OriginLocal)
	for _, item := range applied {
		if d, ok := m.deferred[item.Key]; ok && item.Version.Major >= d.revision {
			delete(m.deferred, item.Key)
		}
		if item.Version.Order != 0 {
			m.orders[item.Key] = item.Version.Order
		}
		m.countTombstone(item, held[item.Key].Deleted)
		m.observeValue(held[item.Key], item, received[item.Key])
		held[item.Key] = item
	}
	return applied
}

// isOutdated reports whether an item can't be in the source at the revision up to which the mirror is complete, and
// counts it: if it were, the mirror would hold it already, unless a deletion of its key is deferred.
func (m *Mirror) isOutdated(item Item) bool {
	_, isDeferred := m.deferred[item.Key]
	if item.Version.Major > m.complete || !m.isRemovable(item.Key) || isDeferred {
		return false
	}
	if held, ok := m.store.Lookup(item.Key); !item.Deleted && (!ok || held.Version.Compare(item.Version) < 0) {
		m.outdated++
	}
	return true
}

// countTombstone updates the number of tombstones after an item was applied. The lock must be held.
func (m *Mirror) countTombstone(item Item, wasTombstone bool) {
	if !m.isRemovable(item.Key) {
		return
	}
	if wasTombstone {
		m.tombstones--
	}
	if item.Deleted {
		m.tombstones++
	}
}

// missing returns deletions, at a revision, of the removable keys that are held at that revision or an earlier one and
// are not present. The lock must be held.
func (m *Mirror) missing(present map[string]bool, revision uint64) (deletions []Item) {
	for _, item := range m.store.Prefix("") {
		if m.isRemovable(item.Key) && !present[item.Key] && item.Version.Major <= revision {
			deletions = append(deletions, Item{Key: item.Key, Version: Version{Major: revision}, Deleted: true})
		}
	}
	return deletions
}

// deferDeletions separates the deletions to defer from the other items. The lock must be held.
func (m *Mirror) deferDeletions(items []Item, shouldDefer DeferFunc) (immediate, deferred []Item) {
	if shouldDefer == nil {
		return items, nil
	}
	for _, item := range items {
		held, ok := m.store.Get(item.Key)
		if !item.Deleted || !ok || held.Version.Compare(item.Version) >= 0 || !shouldDefer(item) {
			immediate = append(immediate, item)
			continue
		}
		deferred = append(deferred, item)
		m.deferred[item.Key] = deferredDeletion{
			revision: max(m.deferred[item.Key].revision, item.Version.Major), complete: m.completeExceptDeferred(),
		}
	}
	return immediate, deferred
}

// discardTombstones discards the older half of the tombstones if there are too many, and raises the floor. The lock must
// be held.
func (m *Mirror) discardTombstones() {
	if m.tombstones <= m.maxTombstones {
		return
	}
	complete := m.completeExceptDeferred()
	tombstones := slices.DeleteFunc(m.store.tombstones(), func(item Item) bool {
		return !m.isRemovable(item.Key) || item.Version.Major > complete
	})
	slices.SortFunc(tombstones, func(a, b Item) int { return cmp.Compare(a.Version.Major, b.Version.Major) })
	for _, item := range tombstones[:len(tombstones)/2] {
		m.store.Purge(item.Key)
		m.floor = max(m.floor, item.Version.Major)
		m.tombstones--
	}
}
