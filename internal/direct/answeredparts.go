package direct

import (
	"sync"
	"time"

	"github.com/cinderslip/cinderslip/pkg/route"
)

const (
	// answeredPartRetention is the minimum time for which an answered part of prompts is kept. maxAnsweredParts limits
	// the number of parts that are kept in that time.
	answeredPartRetention = 30 * time.Second
	maxAnsweredParts      = 8192
)

// answeredParts holds the times at which requests with a part of prompts were last answered. Parts that many requests share are in
// flight at every server that exits, whatever the cause.
type answeredParts struct {
	mu sync.Mutex
	// current holds the parts that were answered since currentSince, previous those of the period before.
	current, previous map[route.AttributeID]time.Time
	currentSince      time.Time
}

func newAnsweredParts() *answeredParts {
	return &answeredParts{current: make(map[route.AttributeID]time.Time)}
}

// add records that a request with the parts was answered.
func (a *answeredParts) add(parts []route.AttributeID, now time.Time) {
	if len(parts) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.currentSince) >= answeredPartRetention || len(a.current) >= maxAnsweredParts {
		a.previous, a.current, a.currentSince = a.current, make(map[route.AttributeID]time.Time), now
	}
	for _, part := range parts {
		a.current[part] = now
	}
}

// lastAt returns when a request with a part was last answered. ok is false if none was within answeredPartRetention.
func (a *answeredParts) lastAt(part route.AttributeID, now time.Time) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, ok = a.current[part]; !ok {
		at, ok = a.previous[part]
	}
	return at, ok && now.Sub(at) < answeredPartRetention
}
