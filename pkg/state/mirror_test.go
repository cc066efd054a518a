package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func isServerKey(key string) bool { return strings.HasPrefix(key, "server/") }

func live(key string, revision uint64) Item {
	return Item{Key: key, Version: Version{Major: revision}, Value: []byte(fmt.Sprint(revision))}
}

func tombstone(key string, revision uint64) Item {
	return Item{Key: key, Version: Version{Major: revision}, Deleted: true}
}

// keysOf returns the removable keys that a mirror holds, in order.
func keysOf(m *Mirror) map[string]uint64 {
	keys := make(map[string]uint64)
	for _, item := range m.Prefix("server/") {
		keys[item.Key] = item.Version.Major
	}
	return keys
}

// pullMirror transfers everything from one mirror to another.
func pullMirror(to, from *Mirror, cursor Cursor) Cursor {
	transfer := from.Transfer(cursor, 0, to.Receiver())
	to.MergeTransfer(&transfer, nil)
	return transfer.Next
}

func TestMirrorDeletesWhatACompleteMirrorLacks(t *testing.T) {
	survivor, started := NewMirror(1, isServerKey), NewMirror(2, isServerKey)
	survivor.Merge([]Item{live("server/a", 3), live("server/b", 4), live("configuration", 2)})
	started.MergeSnapshot([]Item{live("server/b", 4)}, 9, nil)
	pullMirror(survivor, started, Cursor{})
	require.Equal(t, map[string]uint64{"server/b": 4}, keysOf(survivor))
	require.EqualValues(t, 9, survivor.Status().Complete)
	_, kept := survivor.Lookup("configuration")
	require.True(t, kept, "a key that is not removable is kept")
}

func TestMirrorDoesNotTakeOutdatedItems(t *testing.T) {
	started := NewMirror(1, isServerKey)
	started.MergeSnapshot([]Item{live("server/b", 4)}, 9, nil)
	applied := started.Merge([]Item{live("server/a", 3), live("server/b", 3), live("server/c", 10), live("configuration", 2)})
	require.Equal(t, []Item{live("server/c", 10), live("configuration", 2)}, applied)
}

func TestMirrorSendsPresentKeysOnlyBelowItsFloor(t *testing.T) {
	reader := NewMirror(1, isServerKey)
	reader.MergeSnapshot([]Item{live("server/a", 3), live("server/b", 4)}, 5, nil)
	reader.MergeChanges([]Item{tombstone("server/a", 7)}, 5, 7, nil)
	for complete, want := range map[uint64]bool{0: true, 4: true, 5: false, 6: false, 7: false} {
		transfer := reader.Transfer(Cursor{}, 0, Receiver{Complete: complete})
		require.Equal(t, want, transfer.HasPresent, "receiver complete up to %d", complete)
		require.EqualValues(t, 7, transfer.Complete)
	}
	first := reader.Transfer(Cursor{}, 1, Receiver{})
	require.False(t, first.HasPresent, "more batches follow")
	require.Zero(t, first.Complete)
}

// Guards against sending everything to a mirror that has it from another one, at each first transfer between two mirrors.
func TestMirrorSendsOnlyWhatACompleteMirrorLacks(t *testing.T) {
	first, second, reader := NewMirror(1, isServerKey), NewMirror(2, isServerKey), NewMirror(3, isServerKey)
	var items []Item
	for revision := uint64(1); revision <= 300; revision++ {
		items = append(items, live(fmt.Sprintf("server/%d", revision), revision))
	}
	for _, m := range []*Mirror{first, second} {
		m.MergeSnapshot(items, 300, nil)
	}
	pullMirror(reader, first, Cursor{})
	for _, m := range []*Mirror{first, second} {
		m.MergeChanges([]Item{tombstone("server/7", 301), live("server/301", 302)}, 300, 302, nil)
	}
	transfer := second.Transfer(Cursor{}, 256, reader.Receiver())
	require.Equal(t, []Item{tombstone("server/7", 301), live("server/301", 302)}, transfer.Items)
	require.EqualValues(t, 302, transfer.Complete)
	reader.MergeTransfer(&transfer, nil)
	require.Equal(t, keysOf(second), keysOf(reader))
	require.Empty(t, second.Transfer(transfer.Next, 256, reader.Receiver()).Items)
}

func TestMirrorIsIncompleteWhileADeletionIsDeferred(t *testing.T) {
	reader, follower := NewMirror(1, isServerKey), NewMirror(2, isServerKey)
	reader.MergeSnapshot([]Item{live("server/a", 3)}, 5, nil)
	cursor := pullMirror(follower, reader, Cursor{})
	_, deferred := reader.MergeChanges([]Item{tombstone("server/a", 7), live("server/b", 9)}, 5, 9, func(Item) bool { return true })
	require.Equal(t, []Item{tombstone("server/a", 7)}, deferred)
	require.EqualValues(t, 5, reader.Status().Complete)
	cursor = pullMirror(follower, reader, cursor)
	require.Equal(t, map[string]uint64{"server/a": 3, "server/b": 9}, keysOf(follower))
	reader.Merge(deferred)
	require.EqualValues(t, 9, reader.Status().Complete)
	pullMirror(follower, reader, cursor)
	require.Equal(t, map[string]uint64{"server/b": 9}, keysOf(follower))
	require.EqualValues(t, 9, follower.Status().Complete)
}

func TestTombstonesAreBounded(t *testing.T) {
	reader, late := NewMirror(1, isServerKey), NewMirror(2, isServerKey)
	reader.MergeSnapshot([]Item{live("server/0", 1)}, 1, nil)
	cursor := pullMirror(late, reader, Cursor{})
	revision := uint64(1)
	for i := range 3 * defaultMaxTombstones {
		key := fmt.Sprintf("server/%d", i)
		reader.MergeChanges([]Item{live(key, revision+1), tombstone(key, revision+2)}, revision, revision+2, nil)
		revision += 2
		require.LessOrEqual(t, reader.Status().Tombstones, defaultMaxTombstones)
	}
	pullMirror(late, reader, cursor)
	require.Empty(t, keysOf(late))
	require.Equal(t, revision, late.Status().Complete)
}

// source is a key-value service with a single sequence of revisions.
type source struct {
	history   []Item
	compacted uint64
}

func (s *source) revision() uint64 { return uint64(len(s.history)) }

// at returns the items at a revision.
func (s *source) at(revision uint64) map[string]Item {
	items := make(map[string]Item)
	for _, item := range s.history[:revision] {
		if item.Deleted {
			delete(items, item.Key)
		} else {
			items[item.Key] = item
		}
	}
	return items
}

// replica is a mirror under test with what it has read and not merged yet.
type replica struct {
	*Mirror
	// after is the revision after which the next changes are read.
	after uint64
	// late merges a response of the source that has been read and not merged yet.
	late func()
	// transfer goes on with a transfer from another mirror that is under way.
	transfer func()
	// deferred are the deletions to apply later.
	deferred []Item
	cursors  map[*Mirror]Cursor
}

// TestCompleteMirrorHoldsNothingOutdated checks, after each step, that a mirror that is complete up to a revision holds
// every item of the source at that revision, or a newer version of it, and no item that was deleted by then.
func TestCompleteMirrorHoldsNothingOutdated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &source{}
		instance := uint64(0)
		start := func() *replica {
			instance++
			m := NewMirror(instance, isServerKey)
			m.maxTombstones = 2
			return &replica{Mirror: m, cursors: make(map[*Mirror]Cursor)}
		}
		replicas := make([]*replica, rapid.IntRange(2, 5).Draw(t, "replicas"))
		for i := range replicas {
			replicas[i] = start()
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			r := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")]
			key := fmt.Sprintf("server/%d", rapid.IntRange(0, 4).Draw(t, "key"))
			deferSome := func(Item) bool { return rapid.Bool().Draw(t, "defer") }
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0, 1:
				src.history = append(src.history, live(key, src.revision()+1))
			case 2, 3:
				if _, present := src.at(src.revision())[key]; present {
					src.history = append(src.history, tombstone(key, src.revision()+1))
				}
			case 4:
				src.compacted = src.revision()
			case 5, 6:
				r.late = readSource(t, src, r, deferSome)
			case 7:
				if r.late != nil {
					r.late()
					r.late = nil
				}
			case 8, 9, 10:
				from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]
				if from != r {
					transfer := from.Transfer(r.cursors[from.Mirror], rapid.IntRange(0, 3).Draw(t, "limit"), r.Receiver())
					_, deferred := r.MergeTransfer(&transfer, deferSome)
					r.deferred = append(r.deferred, deferred...)
					r.cursors[from.Mirror] = transfer.Next
				}
			case 11:
				if rapid.Bool().Draw(t, "restart") {
					*r = *start()
				} else {
					r.Merge(r.deferred)
					r.deferred = nil
				}
			}
			for i, r := range replicas {
				requireComplete(t, src, r.Mirror, i)
			}
		}
		requireConvergence(t, src, replicas)
	})
}

// readSource reads the source at once and returns the function that merges the response.
func readSource(t *rapid.T, src *source, r *replica, shouldDefer DeferFunc) (merge func()) {
	at, after := src.revision(), r.after
	if after < src.compacted || after == 0 {
		// The second page is read later than the first one.
		first, second := src.at(at), src.at(at)
		if key := fmt.Sprintf("server/%d", rapid.IntRange(0, 4).Draw(t, "written between pages")); rapid.Bool().Draw(t, "two pages") {
			src.history = append(src.history, live(key, src.revision()+1))
			second = src.at(src.revision())
		}
		var items []Item
		for key, item := range first {
			if key < "server/2" {
				items = append(items, item)
			}
		}
		for key, item := range second {
			if key >= "server/2" {
				items = append(items, item)
			}
		}
		return func() {
			_, deferred := r.MergeSnapshot(items, at, shouldDefer)
			r.deferred, r.after = append(r.deferred, deferred...), max(r.after, at)
		}
	}
	changes := append([]Item(nil), src.history[after:at]...)
	return func() {
		_, deferred := r.MergeChanges(changes, after, at, shouldDefer)
		r.deferred, r.after = append(r.deferred, deferred...), max(r.after, at)
	}
}

func requireComplete(t *rapid.T, src *source, m *Mirror, replica int) {
	complete := m.Status().Complete
	present := src.at(complete)
	for key, item := range present {
		held, ok := m.Lookup(key)
		if !ok || held.Version.Compare(item.Version) < 0 {
			// A later deletion may have been discarded with its tombstone.
			if _, later := src.at(m.complete)[key]; !later && !ok {
				continue
			}
			t.Fatalf("replica %d is complete up to %d and lacks %s of revision %d", replica, complete, key, item.Version.Major)
		}
	}
	for key, revision := range keysOf(m) {
		if _, ok := present[key]; !ok && revision <= complete {
			t.Fatalf("replica %d is complete up to %d and holds %s of revision %d, which was deleted by then", replica, complete, key, revision)
		}
	}
}

// requireConvergence checks that all mirrors hold what the source does once one has read it and the others have pulled
// from that one.
func requireConvergence(t *rapid.T, src *source, replicas []*replica) {
	reader, want := replicas[0], make(map[string]uint64)
	var items []Item
	for key, item := range src.at(src.revision()) {
		want[key] = item.Version.Major
		items = append(items, item)
	}
	reader.MergeSnapshot(items, src.revision(), nil)
	for i, r := range replicas {
		r.Merge(r.deferred)
		if r != reader {
			pullMirror(r.Mirror, reader.Mirror, r.cursors[reader.Mirror])
		}
		require.Equal(t, want, keysOf(r.Mirror), "replica %d", i)
	}
}

// largeItems returns items of a number of bytes each, at the revisions from 1 on.
func largeItems(count, bytes int) (items []Item) {
	for i := range count {
		items = append(items, Item{Key: fmt.Sprintf("server/%03d", i), Version: Version{Major: uint64(i + 1)}, Value: make([]byte, bytes)})
	}
	return items
}

func TestTransferIsBoundedInBytes(t *testing.T) {
	source, receiver := NewMirror(1, isServerKey), NewMirror(2, isServerKey)
	items := append(largeItems(100, 1000), Item{Key: "config", Version: Version{Major: 101}, Value: make([]byte, 10*maxTransferBytes)})
	source.MergeSnapshot(items, 101, nil)
	cursor, transfers, largest := Cursor{}, 0, 0
	for more := true; more; transfers++ {
		transfer := source.Transfer(cursor, 256, receiver.Receiver())
		bytes := 0
		for i := range transfer.Items {
			bytes += transfer.Items[i].size()
		}
		if bytes > maxTransferBytes {
			require.Len(t, transfer.Items, 1)
			largest++
		}
		require.Equal(t, transfer.More, transfer.Complete == 0)
		receiver.MergeTransfer(&transfer, nil)
		cursor, more = transfer.Next, transfer.More
	}
	require.Equal(t, 1, largest)
	require.LessOrEqual(t, transfers, 6)
	require.EqualValues(t, 101, receiver.Status().Complete)
	require.Len(t, receiver.Prefix(""), 101)
}

// Guards against sending everything again when a transfer is interrupted and goes on at another mirror.
func TestInterruptedTransferGoesOnAtAnotherMirror(t *testing.T) {
	first, second, receiver := NewMirror(1, isServerKey), NewMirror(2, isServerKey), NewMirror(3, isServerKey)
	items := largeItems(100, 1000)
	first.MergeSnapshot(items, 100, nil)
	slices.Reverse(items)
	second.MergeSnapshot(items, 100, nil)
	transfer := first.Transfer(Cursor{}, 256, receiver.Receiver())
	require.True(t, transfer.More)
	received := len(transfer.Items)
	receiver.MergeTransfer(&transfer, nil)
	sent := 0
	for cursor, more := (Cursor{}), true; more; {
		transfer := second.Transfer(cursor, 256, receiver.Receiver())
		sent += len(transfer.Items)
		receiver.MergeTransfer(&transfer, nil)
		cursor, more = transfer.Next, transfer.More
	}
	require.Equal(t, len(items)-received, sent)
	require.EqualValues(t, 100, receiver.Status().Complete)
	require.Len(t, receiver.Prefix(""), len(items))
}
