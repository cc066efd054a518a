package state

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// eraShift is the position of the era in the revisions of an eraSource.
const eraShift = 48

// eraSource is a key-value service that comes back from copies. The key "configuration" has an Order, a large value and is
// never deleted.
type eraSource struct {
	t *rapid.T
	// histories holds the items of each era, the last one is the current.
	histories [][]Item
	order     uint64
	// reusesOrders is set if the writer continues from the Order in the copy, so that another value has the same one.
	reusesOrders bool
	writes       int
	// configurations holds the value of each version of the configuration.
	configurations map[Version][]byte
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
	s.writes++
	s.write(largeItem(s.t, s.order, 0, s.writes))
	written := s.current()[len(s.current())-1]
	s.configurations[written.Version] = written.Value
}

// restore starts another era with the first items of the current one.
func (s *eraSource) restore(items int) {
	restored := append([]Item(nil), s.current()[:items]...)
	s.histories = append(s.histories, restored)
	if s.reusesOrders {
		s.order = 0
	}
	for i := range restored {
		restored[i].Version.Major = s.era()<<eraShift | uint64(i+1)
		if restored[i].Version.Order != 0 {
			s.configurations[restored[i].Version] = restored[i].Value
			s.order = max(s.order, restored[i].Version.Order)
		}
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
	rapid.Check(t, func(t *rapid.T) { checkMirrorsOverEras(t, false) })
}

// TestMirrorsConvergeWithLateTransfers is TestMirrorsConvergeOverEras with transfers that are late, so that the receiver has
// moved on, with receivers that take only whole values, and with a writer that gives an Order again after a copy.
func TestMirrorsConvergeWithLateTransfers(t *testing.T) {
	var counts transferCounts
	rapid.Check(t, func(t *rapid.T) { counts.add(checkMirrorsOverEras(t, true)) })
	t.Logf("%+v", counts)
	require.Positive(t, counts.deltas)
	require.Positive(t, counts.whole)
}

// transferCounts counts how the configuration was transferred. unresolved are transfers whose deltas did not apply.
type transferCounts struct{ deltas, whole, unresolved int }

func (c *transferCounts) add(other transferCounts) {
	c.deltas += other.deltas
	c.whole += other.whole
	c.unresolved += other.unresolved
}

func checkMirrorsOverEras(t *rapid.T, withLateTransfers bool) (counts transferCounts) {
	src, instance := &eraSource{t: t, histories: make([][]Item, 1), configurations: make(map[Version][]byte)}, uint64(0)
	action, steps := rapid.IntRange(0, 11), rapid.IntRange(1, 120)
	if withLateTransfers {
		// Earlier ones are drawn more often.
		action, steps = rapid.SampledFrom([]int{13, 12, 3, 8, 5, 7, 13, 12, 3, 8, 5, 7, 0, 2, 4, 11}), rapid.IntRange(50, 200)
		src.reusesOrders = rapid.Bool().Draw(t, "reuses orders")
	}
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
	merge := func(r, from *replica, transfer *Transfer, shouldDefer DeferFunc) {
		if err := r.Resolve(transfer); err != nil {
			counts.unresolved++
		} else {
			r.cursors[from.Mirror] = transfer.Next
		}
		_, deferred := r.MergeTransfer(transfer, shouldDefer)
		r.deferred = append(r.deferred, deferred...)
	}
	send := func(from *replica, cursor Cursor, limit int, receiver Receiver) Transfer {
		transfer := from.Transfer(cursor, limit, receiver)
		for _, item := range transfer.Items {
			switch {
			case transfer.Deltas[item.Key] != nil:
				counts.deltas++
			case item.Key == "configuration":
				counts.whole++
			}
		}
		return transfer
	}
	pull := func(r, from *replica, limit int, shouldDefer DeferFunc) {
		transfer := send(from, r.cursors[from.Mirror], limit, r.Receiver())
		merge(r, from, &transfer, shouldDefer)
	}
	for range steps.Draw(t, "steps") {
		i := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
		r, key := replicas[i], fmt.Sprintf("server/%d", rapid.IntRange(0, 4).Draw(t, "key"))
		deferSome := func(Item) bool { return rapid.Bool().Draw(t, "defer") }
		switch action.Draw(t, "action") {
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
		case 12:
			if from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]; from != r && r.transfer == nil {
				cursor, limit, receiver := r.cursors[from.Mirror], rapid.IntRange(0, 3).Draw(t, "limit"), r.Receiver()
				if rapid.IntRange(0, 3).Draw(t, "takes whole values") == 0 {
					receiver.Values = nil
				}
				// The transfer is made in one step and merged in a later one.
				r.transfer = func() {
					transfer := send(from, cursor, limit, receiver)
					r.transfer = func() {
						// Another transfer from the same mirror may have been merged meanwhile.
						if r.cursors[from.Mirror] == cursor {
							merge(r, from, &transfer, deferSome)
						}
						r.transfer = nil
					}
				}
			}
		case 13:
			if r.transfer != nil {
				r.transfer()
			}
		}
		for i, r := range replicas {
			orders[i] = requireOrdered(t, src, r.Mirror, i, orders[i])
		}
	}
	requireEraConvergence(t, src, replicas, pull)
	return counts
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
	if !bytes.Equal(src.configurations[held.Version], held.Value) {
		t.Fatalf("replica %d holds another value of the configuration than was written at %v", replica, held.Version)
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
