package route

import (
	"sync"
	"time"
)

// windowParts is in how many parts a window's counts are kept.
const windowParts = 10

// WindowBudget bounds the retries within a sliding window: to a ratio of the
// requests in it, and an extra that does not depend on them. It is safe for
// concurrent use.
type WindowBudget struct {
	ratio float64
	part  time.Duration

	mu       sync.Mutex
	requests [windowParts]int
	retries  [windowParts]int
	// started is the time of the first call, from which parts are counted; at is
	// the number of the newest part.
	started time.Time
	at      int64
}

// NewWindowBudget returns a budget of ratio retries per request in a window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, part: window / windowParts}
}

// advance empties the parts that have passed. The lock must be held.
func (b *WindowBudget) advance(now time.Time) int {
	if b.started.IsZero() {
		b.started = now
	}
	at := int64(now.Sub(b.started) / b.part)
	for steps := 0; b.at < at && steps < windowParts; steps++ {
		b.at++
		b.requests[b.at%windowParts], b.retries[b.at%windowParts] = 0, 0
	}
	b.at = max(b.at, at)
	return int(b.at % windowParts)
}

// Request notes a request.
func (b *WindowBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// Retry takes one retry; false means that the budget, with the extra that is
// given, is spent.
func (b *WindowBudget) Retry(extra float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	requests, retries := 0, 0
	for i := range windowParts {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(requests)+extra {
		return false
	}
	b.retries[at]++
	return true
}
