package direct

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// recentResponseRetention is for how long at least it is kept that a request was answered, maxRecentResponses how many at most in that time.
	recentResponseRetention = 30 * time.Second
	maxRecentResponses      = 4096
)

// recentResponses knows the requests that were answered in the last while. What is asked often is on every server that ends,
// whatever ended it; it is no suspect where it has just been answered. The hash is of this process alone, so nobody can
// make a request that is taken for another one.
type recentResponses struct {
	seed maphash.Seed

	mu sync.Mutex
	// current and older are by when they were answered, since currentSince and before.
	current, previous map[uint64]struct{}
	currentSince      time.Time
}

func newRecentResponses() *recentResponses {
	return &recentResponses{seed: maphash.MakeSeed(), current: make(map[uint64]struct{})}
}

// add notes that a request was answered.
func (a *recentResponses) add(x *exchange, now time.Time) {
	key := a.hash(x)
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.currentSince) >= recentResponseRetention || len(a.current) >= maxRecentResponses {
		a.previous, a.current, a.currentSince = a.current, make(map[uint64]struct{}), now
	}
	a.current[key] = struct{}{}
}

// remove reports whether a request was answered lately, and forgets it: one that is not answered again has had its turn.
func (a *recentResponses) remove(x *exchange, now time.Time) bool {
	key := a.hash(x)
	a.mu.Lock()
	defer a.mu.Unlock()
	_, isNew := a.current[key]
	_, isOld := a.previous[key]
	delete(a.current, key)
	delete(a.previous, key)
	return (isNew || isOld) && now.Sub(a.currentSince) < recentResponseRetention
}

// hash is over the same as a request's content.
func (a *recentResponses) hash(x *exchange) uint64 {
	var hash maphash.Hash
	hash.SetSeed(a.seed)
	writeContent(&hash, x)
	return hash.Sum64()
}
