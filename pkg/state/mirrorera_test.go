package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// eraShift is the position of the era in the revisions of an eraSource.
const eraShift = 48

// eraSource is a key-value service that comes back from copies. The key "configuration" has an Order and is never deleted.
type eraSource struct {
	// histories holds the items of each era, the last one is the current.
	histories [][]Item
	order     uint64
}

func (s *eraSource) era() uint64 { return uint64(len(s.histories) - 1) }

func (s *eraSource) current() []Item { return s.histories[s.era()] }

func (s *eraSource) revision() uint64 { return s.era()<<eraShift | uint64(len(s.current())) }

func (s *eraSource) write(item Item) {
	s.histories[s.era()] = append(s.current(), item)
	s.histories[s.era()][len(s.current())-1].Version.Major = s.revision()
}

func (s *eraSource) configure() {
	s.order++
	s.write(Item{Key: "configuration", Version: Version{Order: s.order}})
}

// restore starts another era with the first items of the current one.
func (s *eraSource) restore(items int) {
	restored := append([]Item(nil), s.current()[:items]...)
	s.histories = append(s.histories, restored)
	for i := range restored {
		restored[i].Version.Major = s.era()<<eraShift | uint64(i+1)
	}
}

// at returns the items at a revision.
func (s *eraSource) at(revision uint64) map[string]Item {
	items := make(map[string]Item)
	for _, item := range s.histories[revision>>eraShift][:revision&(1<<eraShift-1)] {
		if item.Deleted {
			delete(items, item.Key)
		} else {
			items[item.Key] = item
		}
	}
	return items
}

// read reads the source for a replica, as a reader does: changes only within one era. It returns the function that merges
// the response, which does nothing if the replica knows a later era by then.
func (s *eraSource) read(r *replica, shouldDefer DeferFunc) (merge func()) {
	at, after := s.revision(), r.after
	isDropped := func() bool { return at>>eraShift < r.Status().Received>>eraShift }
	if after == 0 || after>>eraShift != s.era() {
		var items []Item
		for _, item := range s.at(at) {
			items = append(items, item)
		}
		return func() {
			if !isDropped() {
				_, deferred := r.MergeSnapshot(items, at, shouldDefer)
				r.deferred, r.after = append(r.deferred, deferred...), max(r.after, at)
			}
		}
	}
	changes := append([]Item(nil), s.current()[after&(1<<eraShift-1):]...)
	return func() {
		if !isDropped() {
			_, deferred := r.MergeChanges(changes, after, at, shouldDefer)
			r.deferred, r.after = append(r.deferred, deferred...), max(r.after, at)
		}
	}
}

// TestMirrorsConvergeOverEras checks, after each step, that a mirror that is complete up to a revision of any era holds
// nothing that was deleted by then, and that no mirror goes back to an item of a lower Order. At the end, mirrors that
// have pulled from each other hold the highest Order that any of them knew, and the servers that the source has.
func TestMirrorsConvergeOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src, instance := &eraSource{histories: make([][]Item, 1)}, uint64(0)
		start := func() *replica {
			instance++
			m := NewMirror(instance, isServerKey)
			m.maxTombstones = 2
			return &replica{Mirror: m, cursors: make(map[*Mirror]Cursor)}
		}
		replicas := make([]*replica, rapid.IntRange(2, 5).Draw(t, "replicas"))
		orders := make([]uint64, len(replicas))
		for i := range replicas {
			replicas[i] = start()
		}
		pull := func(r, from *replica, limit int, shouldDefer DeferFunc) {
			transfer := from.Transfer(r.cursors[from.Mirror], limit, r.Receiver())
			_, deferred := r.MergeTransfer(&transfer, shouldDefer)
			r.deferred, r.cursors[from.Mirror] = append(r.deferred, deferred...), transfer.Next
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			r, key := replicas[i], fmt.Sprintf("server/%d", rapid.IntRange(0, 4).Draw(t, "key"))
			deferSome := func(Item) bool { return rapid.Bool().Draw(t, "defer") }
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0, 1:
				src.write(Item{Key: key})
			case 2:
				if _, present := src.at(src.revision())[key]; present {
					src.write(Item{Key: key, Deleted: true})
				}
			case 3:
				src.configure()
			case 4:
				src.restore(rapid.IntRange(0, len(src.current())).Draw(t, "copied"))
			case 5, 6:
				r.late = src.read(r, deferSome)
			case 7:
				if r.late != nil {
					r.late()
					r.late = nil
				}
			case 8, 9, 10:
				if from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]; from != r {
					pull(r, from, rapid.IntRange(0, 3).Draw(t, "limit"), deferSome)
				}
			case 11:
				if rapid.Bool().Draw(t, "restart") {
					replicas[i], orders[i] = start(), 0
				} else {
					r.Merge(r.deferred)
					r.deferred = nil
				}
			}
			for i, r := range replicas {
				orders[i] = requireOrdered(t, src, r.Mirror, i, orders[i])
			}
		}
		requireEraConvergence(t, src, replicas, pull)
	})
}

// requireOrdered checks a mirror and returns the Order of its configuration, which was at least another one before.
func requireOrdered(t *rapid.T, src *eraSource, m *Mirror, replica int, before uint64) uint64 {
	complete := m.Status().Complete
	present := src.at(complete)
	for key, revision := range keysOf(m) {
		if _, ok := present[key]; !ok && revision <= complete {
			t.Fatalf("replica %d is complete up to %x and holds %s of revision %x, which was deleted by then", replica, complete, key, revision)
		}
	}
	held, _ := m.Lookup("configuration")
	if order := present["configuration"].Version.Order; held.Version.Order < max(before, order) {
		t.Fatalf("replica %d holds order %d, after order %d and with every change up to %x, which has %d", replica, held.Version.Order, before, complete, order)
	}
	return held.Version.Order
}

func requireEraConvergence(t *rapid.T, src *eraSource, replicas []*replica, pull func(r, from *replica, limit int, shouldDefer DeferFunc)) {
	highest := src.at(src.revision())["configuration"].Version.Order
	want := make(map[string]uint64)
	for key, item := range src.at(src.revision()) {
		if isServerKey(key) {
			want[key] = item.Version.Major
		}
	}
	for _, r := range replicas {
		held, _ := r.Lookup("configuration")
		highest = max(highest, held.Version.Order)
	}
	reader := replicas[0]
	reader.after = 0
	src.read(reader, nil)()
	for _, r := range replicas {
		r.Merge(r.deferred)
	}
	for range 2 {
		for _, r := range replicas[1:] {
			pull(r, reader, 0, nil)
			pull(reader, r, 0, nil)
		}
	}
	for i, r := range replicas {
		held, _ := r.Lookup("configuration")
		require.Equal(t, highest, held.Version.Order, "replica %d", i)
		require.Equal(t, reader.Status().Ordered, r.Status().Ordered, "replica %d", i)
		require.Equal(t, want, keysOf(r.Mirror), "replica %d", i)
	}
}

// Guards against leaving out an item that a receiver lacks because the receiver, which knows only a copy, is complete
// beyond its revision.
func TestTransferHasItemsOfHigherOrder(t *testing.T) {
	survivor, started := NewMirror(1, isServerKey), NewMirror(2, isServerKey)
	survivor.Merge([]Item{{Key: "configuration", Version: Version{Major: 39, Order: 24}}})
	copied := Item{Key: "configuration", Version: Version{Major: 1<<eraShift | 28, Order: 18}}
	started.MergeSnapshot([]Item{copied}, 1<<eraShift|28, nil)
	require.Greater(t, survivor.Status().Ordered, started.Status().Ordered)
	pullMirror(started, survivor, Cursor{})
	held, _ := started.Lookup("configuration")
	require.EqualValues(t, 24, held.Version.Order)
	require.Equal(t, survivor.Status().Ordered, started.Status().Ordered)
	pullMirror(survivor, started, Cursor{})
	held, _ = survivor.Lookup("configuration")
	require.EqualValues(t, 24, held.Version.Order)
	require.Empty(t, survivor.Transfer(Cursor{}, 0, started.Receiver()).Items, "nothing is sent again")
}
