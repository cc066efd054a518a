package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeItem returns an item of the key "configuration" with a large value. Values of different contents differ in one element.
func largeItem(t require.TestingT, order, revision uint64, content int) Item {
	value := largeTestValue(100)
	value.Elements[50].Key = fmt.Sprintf("key of content %d", content)
	return Item{Key: "configuration", Version: Version{Major: revision, Order: order}, Value: encoded(t, value)}
}

// mirrorWith returns a mirror that has held items one after the other.
func mirrorWith(instance uint64, items ...Item) *Mirror {
	m := NewMirror(instance, isServerKey)
	for _, item := range items {
		m.MergeChanges([]Item{item}, m.Status().Complete, item.Version.Major, nil)
	}
	return m
}

// sentBytes returns the bytes of the values and deltas in a transfer.
func sentBytes(transfer *Transfer) (sent int) {
	for _, item := range transfer.Items {
		sent += len(item.Value)
	}
	for _, deltas := range transfer.Deltas {
		for _, delta := range deltas {
			sent += len(delta.Program)
		}
	}
	return sent
}

// Guards against sending a large value whole to a mirror that holds an earlier one.
func TestLargeValueIsSentAsDeltas(t *testing.T) {
	first, second, third := largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2), largeItem(t, 3, 3, 3)
	reader := mirrorWith(1, first, second, third)
	for name, receiver := range map[string]*Mirror{
		"one behind": mirrorWith(2, first, second), "two behind": mirrorWith(3, first), "has it at another revision": mirrorWith(4, largeItem(t, 3, 2, 3)),
	} {
		transfer := reader.Transfer(Cursor{}, 0, receiver.Receiver())
		require.Len(t, transfer.Items, 1, name)
		require.Nil(t, transfer.Items[0].Value, name)
		require.Less(t, sentBytes(&transfer), 100, name)
		require.NoError(t, receiver.Resolve(&transfer), name)
		applied, _ := receiver.MergeTransfer(&transfer, nil)
		require.Equal(t, []Item{third}, applied, name)
		require.EqualValues(t, 3, receiver.Status().Complete, name)
	}
}

// Guards against a chain that ends at the first mirror that received deltas.
func TestReceivedDeltasAreSentOn(t *testing.T) {
	first, second, third := largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2), largeItem(t, 3, 3, 3)
	reader, relay, last := mirrorWith(1, first, second, third), mirrorWith(2, first), mirrorWith(3, first)
	pullMirror(relay, reader, Cursor{})
	require.Equal(t, reader.chains["configuration"].deltas, relay.chains["configuration"].deltas)
	transfer := relay.Transfer(Cursor{}, 0, last.Receiver())
	require.Len(t, transfer.Deltas["configuration"], 2)
	last.MergeTransfer(&transfer, nil)
	held, _ := last.Lookup("configuration")
	require.Equal(t, third, held)
}

func TestLargeValueIsSentWholeWithoutItsBase(t *testing.T) {
	first, second := largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2)
	empty, behind, copied := NewMirror(1, isServerKey), mirrorWith(2, first), mirrorWith(3, largeItem(t, 1, 1, 7))
	for name, pair := range map[string][2]*Mirror{
		"receiver has nothing":                           {mirrorWith(4, first, second), empty},
		"sender has just started":                        {mirrorWith(5, second), behind},
		"receiver has another value with the same order": {mirrorWith(6, first, second), copied},
	} {
		transfer := pair[0].Transfer(Cursor{}, 0, pair[1].Receiver())
		require.Empty(t, transfer.Deltas, name)
		require.Equal(t, []Item{second}, transfer.Items, name)
	}
	whole := mirrorWith(7, first, second).Transfer(Cursor{}, 0, Receiver{Complete: 1})
	require.Equal(t, []Item{second}, whole.Items, "a receiver of an earlier version sends no digests")
}

func TestSmallAndDeletedValuesAreSentWhole(t *testing.T) {
	small := Item{Key: "configuration", Version: Version{Major: 2, Order: 2}, Value: encoded(t, largeTestValue(5))}
	m := mirrorWith(1, largeItem(t, 1, 1, 1), small)
	require.Empty(t, m.Receiver().Values)
	m = mirrorWith(2, Item{Key: "server/a", Version: Version{Major: 1}, Value: largeItem(t, 0, 0, 1).Value})
	require.Len(t, m.Receiver().Values, 1)
	m.Merge([]Item{tombstone("server/a", 2)})
	require.Empty(t, m.Receiver().Values)
}

// Guards against a chain that is full of copies after a store came back from a copy several times.
func TestSameValueAtAnotherRevisionAddsNoDelta(t *testing.T) {
	reader, receiver := mirrorWith(1, largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2)), mirrorWith(2, largeItem(t, 1, 1, 1))
	for revision := uint64(3); revision < 6; revision++ {
		reader.MergeChanges([]Item{largeItem(t, 2, revision, 2)}, revision-1, revision, nil)
		pullMirror(receiver, reader, Cursor{})
	}
	for _, m := range []*Mirror{reader, receiver} {
		require.EqualValues(t, 5, m.Status().Complete)
		require.Len(t, m.chains["configuration"].deltas, 1)
	}
}

func TestReceiverThatMovedOnStartsWithTheDeltaOfItsValue(t *testing.T) {
	first, second, third := largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2), largeItem(t, 3, 3, 3)
	reader := mirrorWith(1, first, second, third)
	for name, meanwhile := range map[string]Item{"to one between": second, "to the last one": largeItem(t, 2, 2, 3)} {
		receiver := mirrorWith(2, first)
		transfer := reader.Transfer(Cursor{}, 0, receiver.Receiver())
		receiver.Merge([]Item{meanwhile})
		require.NoError(t, receiver.Resolve(&transfer), name)
		applied, _ := receiver.MergeTransfer(&transfer, nil)
		require.Equal(t, []Item{third}, applied, name)
	}
}

func TestDeltasOfAnEarlierItemChangeNothing(t *testing.T) {
	first, second := largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2)
	reader, receiver := mirrorWith(1, first, second), mirrorWith(2, first)
	transfer := reader.Transfer(Cursor{}, 0, receiver.Receiver())
	later := largeItem(t, 5, 5, 5)
	receiver.Merge([]Item{later})
	require.NoError(t, receiver.Resolve(&transfer))
	applied, _ := receiver.MergeTransfer(&transfer, nil)
	require.Empty(t, applied)
	require.EqualValues(t, 2, receiver.Status().Complete)
	held, _ := receiver.Lookup("configuration")
	require.Equal(t, later, held)
	require.Contains(t, receiver.Receiver().Values, "configuration")
}

// Guards against a transfer that counts as complete although its deltas did not apply, and against requesting them again.
func TestValueWhoseDeltasDoNotApplyIsRequestedWhole(t *testing.T) {
	first, second := largeItem(t, 1, 1, 1), largeItem(t, 2, 3, 2)
	reader, receiver := mirrorWith(1, first, live("server/a", 2), second), mirrorWith(2, first)
	transfer := reader.Transfer(Cursor{}, 0, receiver.Receiver())
	require.NotEmpty(t, transfer.Deltas)
	receiver.Merge([]Item{largeItem(t, 1, 2, 7)})
	unmerged := transfer
	require.ErrorIs(t, receiver.Resolve(&transfer), errOtherBase)
	applied, _ := receiver.MergeTransfer(&transfer, nil)
	require.Equal(t, []Item{live("server/a", 2)}, applied, "other items are taken")
	require.EqualValues(t, 1, receiver.Status().Complete)
	applied, _ = receiver.MergeTransfer(&unmerged, nil)
	require.Empty(t, applied, "MergeTransfer resolves too")
	require.EqualValues(t, 1, receiver.Status().Complete)
	require.Empty(t, receiver.Receiver().Values)
	transfer = reader.Transfer(Cursor{}, 0, receiver.Receiver())
	require.Empty(t, transfer.Deltas)
	receiver.MergeTransfer(&transfer, nil)
	held, _ := receiver.Lookup("configuration")
	require.Equal(t, second, held)
	require.EqualValues(t, 3, receiver.Status().Complete)
	require.Contains(t, receiver.Receiver().Values, "configuration", "the next one is sent as a delta again")
}

func TestTransferWithoutDeltasOrWithTooManyIsNotResolved(t *testing.T) {
	first, second := largeItem(t, 1, 1, 1), largeItem(t, 2, 2, 2)
	identity := Delta{Base: DigestValue(first.Value), Result: DigestValue(first.Value), Program: appendCopy(nil, 0, len(first.Value))}
	for _, deltas := range [][]Delta{{}, make([]Delta, maxChainDeltas+1), {identity, {Base: identity.Base, Result: 7}}} {
		receiver := mirrorWith(1, first)
		transfer := Transfer{
			Batch: Batch{Items: []Item{{Key: second.Key, Version: second.Version}}}, Deltas: map[string][]Delta{second.Key: deltas}, Complete: 2,
		}
		require.ErrorIs(t, receiver.Resolve(&transfer), errDamagedDelta)
		require.Empty(t, transfer.Items)
		require.Zero(t, transfer.Complete)
	}
}

func TestChainIsBounded(t *testing.T) {
	m := mirrorWith(1)
	for i := range 3 * maxChainDeltas {
		m.Merge([]Item{largeItem(t, uint64(i+1), uint64(i+1), i)})
		require.LessOrEqual(t, len(m.chains["configuration"].deltas), maxChainDeltas)
	}
	require.Len(t, m.chains["configuration"].deltas, maxChainDeltas)

	value := largeTestValue(100)
	for i := range 2 * maxChainDeltas {
		for j := range 20 {
			value.Elements[(20*i+j)%100].Key = fmt.Sprintf("%032x", i)
		}
		raw := encoded(t, value)
		m.Merge([]Item{{Key: "configuration", Version: Version{Major: 100, Order: uint64(100 + i)}, Value: raw}})
		size := 0
		for _, delta := range m.chains["configuration"].deltas {
			size += len(delta.Program)
		}
		require.LessOrEqual(t, size, len(raw)/maxChainShare)
	}
	require.NotEmpty(t, m.chains["configuration"].deltas)
}
