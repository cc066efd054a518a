package direct

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// recentResponseRetention is the minimum time for which an answered request is remembered.
	// maxRecentResponses limits the number of requests that are remembered in that time.
	recentResponseRetention = 30 * time.Second
	maxRecentResponses      = 4096
)

// recentResponses remembers the requests that were recently answered. A frequent request is in flight at every
// server that exits, whatever the cause, so a request that was just answered does not become suspect. The hash
// is seeded per process, so no caller can create a request that collides with another one.
type recentResponses struct {
	seed maphash.Seed

	mu sync.Mutex
	// current holds the hashes of the requests that were answered since currentSince, previous those of the
	// period before.
	current, previous map[uint64]struct{}
	currentSince      time.Time
}

func newRecentResponses() *recentResponses {
	return &recentResponses{seed: maphash.MakeSeed(), current: make(map[uint64]struct{})}
}

// add records that a request was answered.
func (r *recentResponses) add(x *exchange, now time.Time) {
	key := r.hash(x)
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.currentSince) >= recentResponseRetention || len(r.current) >= maxRecentResponses {
		r.previous, r.current, r.currentSince = r.current, make(map[uint64]struct{}), now
	}
	r.current[key] = struct{}{}
}

// remove reports whether a request was recently answered and removes it. Each recorded response exempts the
// request once only.
func (r *recentResponses) remove(x *exchange, now time.Time) bool {
	key := r.hash(x)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, inCurrent := r.current[key]
	_, inPrevious := r.previous[key]
	delete(r.current, key)
	delete(r.previous, key)
	return (inCurrent || inPrevious) && now.Sub(r.currentSince) < recentResponseRetention
}

// hash returns a hash of the same parts of a request as its content ID.
func (r *recentResponses) hash(x *exchange) uint64 {
	var hash maphash.Hash
	hash.SetSeed(r.seed)
	writeContent(&hash, x)
	return hash.Sum64()
}
