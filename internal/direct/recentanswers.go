package direct

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// answeredFor is for how long at least it is kept that a request was answered, answeredKept how many at most in that time.
	answeredFor  = 30 * time.Second
	answeredKept = 4096
)

// answeredLately knows the requests that were answered in the last while. What is asked often is on every server that ends,
// whatever ended it; it is no suspect where it has just been answered. The hash is of this process alone, so nobody can
// make a request that is taken for another one.
type answeredLately struct {
	seed maphash.Seed

	mu sync.Mutex
	// newer and older are by when they were answered, since newerFrom and before.
	newer, older map[uint64]struct{}
	newerFrom    time.Time
}

func newAnsweredLately() *answeredLately {
	return &answeredLately{seed: maphash.MakeSeed(), newer: make(map[uint64]struct{})}
}

// note notes that a request was answered.
func (a *answeredLately) note(x *exchange, now time.Time) {
	key := a.hash(x)
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.newerFrom) >= answeredFor || len(a.newer) >= answeredKept {
		a.older, a.newer, a.newerFrom = a.newer, make(map[uint64]struct{}), now
	}
	a.newer[key] = struct{}{}
}

// take reports whether a request was answered lately, and forgets it: one that is not answered again has had its turn.
func (a *answeredLately) take(x *exchange, now time.Time) bool {
	key := a.hash(x)
	a.mu.Lock()
	defer a.mu.Unlock()
	_, isNew := a.newer[key]
	_, isOld := a.older[key]
	delete(a.newer, key)
	delete(a.older, key)
	return (isNew || isOld) && now.Sub(a.newerFrom) < answeredFor
}

// hash is over the same as a request's content.
func (a *answeredLately) hash(x *exchange) uint64 {
	var hash maphash.Hash
	hash.SetSeed(a.seed)
	writeContent(&hash, x)
	return hash.Sum64()
}
