package state

import (
	"fmt"
	"slices"
)

const (
	// largeValue is the size in bytes from which the value of an item is transferred as deltas.
	largeValue = 4 << 10
	// maxChainDeltas bounds the deltas of a chain.
	maxChainDeltas = 16
	// maxChainShare is the divisor of the size of a value that gives the largest size of the deltas of its chain.
	maxChainShare = 2
)

// valueChain holds the deltas between the successive large values that a mirror has held of one key.
type valueChain struct {
	// digest is that of the value that is held.
	digest ValueDigest
	// size is the length of the value in bytes.
	size int
	// deltas are the latest ones, oldest first. Each applies to the result of the one before, and the last one yields the
	// value that is held.
	deltas []Delta
}

// since returns the deltas from a value to the one that is held. ok is false if the chain does not have them.
func (c *valueChain) since(base ValueDigest) (deltas []Delta, ok bool) {
	if base == c.digest {
		return []Delta{{Base: base, Result: base, Program: appendCopy(nil, 0, c.size)}}, true
	}
	for i := len(c.deltas) - 1; i >= 0; i-- {
		if c.deltas[i].Base == base {
			return slices.Clone(c.deltas[i:]), true
		}
	}
	return nil, false
}

// next returns the chain of a mirror that holds another value after that of the chain. received are the deltas as which
// the value was received, if it was.
func (c *valueChain) next(held, value []byte, received []Delta) *valueChain {
	next := &valueChain{digest: DigestValue(value), size: len(value)}
	if next.digest == c.digest {
		return c
	}
	added, ok := deltasFrom(received, c.digest)
	if !ok {
		var delta Delta
		if delta, ok = Diff(held, value); !ok {
			return next
		}
		added = []Delta{delta}
	}
	next.deltas = append(slices.Clone(c.deltas), added...)
	size := 0
	for i := len(next.deltas) - 1; i >= 0; i-- {
		size += len(next.deltas[i].Program)
		if len(next.deltas)-i > maxChainDeltas || size > len(value)/maxChainShare {
			next.deltas = slices.Clone(next.deltas[i+1:])
			break
		}
	}
	return next
}

// deltasFrom returns the part of a sequence of deltas that applies to a value. ok is false if there is none.
func deltasFrom(deltas []Delta, base ValueDigest) (rest []Delta, ok bool) {
	i := slices.IndexFunc(deltas, func(d Delta) bool { return d.Base == base })
	if i < 0 {
		return nil, false
	}
	return deltas[i:], true
}

// applyDeltas returns the value that a sequence of deltas yields. It starts from the first one that applies to base; if
// base is the result already, it returns that.
func applyDeltas(base []byte, deltas []Delta) (value []byte, err error) {
	if len(deltas) == 0 || len(deltas) > maxChainDeltas {
		return nil, fmt.Errorf("%w: a sequence of %d", errDamagedDelta, len(deltas))
	}
	digest := DigestValue(base)
	if digest == deltas[len(deltas)-1].Result {
		return base, nil
	}
	rest, ok := deltasFrom(deltas, digest)
	if !ok {
		return nil, fmt.Errorf("applying deltas from %016x to %016x: %w: %016x",
			uint64(deltas[0].Base), uint64(deltas[len(deltas)-1].Result), errOtherBase, uint64(digest))
	}
	value = base
	for i := range rest {
		if value, err = rest[i].Apply(value); err != nil {
			return nil, err
		}
	}
	return value, nil
}

// observeValue updates the chain of a key after an item was applied in place of the held one, and takes the deltas as
// which it was received, if it was. The lock must be held.
func (m *Mirror) observeValue(held, item Item, received []Delta) {
	delete(m.unresolved, item.Key)
	if item.Deleted || len(item.Value) < largeValue {
		delete(m.chains, item.Key)
		return
	}
	chain, ok := m.chains[item.Key]
	if !ok {
		chain = &valueChain{digest: DigestValue(item.Value), size: len(item.Value)}
	}
	m.chains[item.Key] = chain.next(held.Value, item.Value, received)
}

// replaceByDeltas replaces the values in a transfer that the receiver can derive from those that it holds. The lock must
// be held.
func (m *Mirror) replaceByDeltas(transfer *Transfer, receiver *Receiver) {
	for i := range transfer.Items {
		item := &transfer.Items[i]
		base, isLarge := receiver.Values[item.Key]
		chain, hasChain := m.chains[item.Key]
		if !isLarge || !hasChain {
			continue
		}
		if deltas, ok := chain.since(base); ok {
			if transfer.Deltas == nil {
				transfer.Deltas = make(map[string][]Delta)
			}
			transfer.Deltas[item.Key], item.Value = deltas, nil
		}
	}
}

// Resolve sets the values of the items of a transfer that were sent as deltas. It removes an item whose deltas do not
// apply to the value that the mirror holds, and returns an error that states why. The transfer then makes the mirror
// complete up to nothing, and must be requested anew from the cursor of before; Receiver leaves out the value, so that it
// is sent whole. Items that are not newer than the held ones are left as they are, as MergeTransfer takes none of them.
func (m *Mirror) Resolve(transfer *Transfer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resolve(transfer)
}

// resolve is Resolve with the lock held.
func (m *Mirror) resolve(transfer *Transfer) (err error) {
	if len(transfer.Deltas) == 0 {
		return nil
	}
	resolved := make([]Item, 0, len(transfer.Items))
	for _, item := range transfer.Items {
		deltas, isDelta := transfer.Deltas[item.Key]
		held, ok := m.store.Lookup(item.Key)
		if !isDelta || item.Value != nil || ok && item.Version.Compare(held.Version) <= 0 {
			resolved = append(resolved, item)
			continue
		}
		value, itemErr := applyDeltas(held.Value, deltas)
		if itemErr != nil {
			err = fmt.Errorf("resolving item %q of version %v: %w", item.Key, item.Version, itemErr)
			m.unresolved[item.Key] = true
			continue
		}
		item.Value = value
		resolved = append(resolved, item)
	}
	transfer.Items = resolved
	if err != nil {
		transfer.Complete, transfer.HasPresent, transfer.Present = 0, false, nil
	}
	return err
}
