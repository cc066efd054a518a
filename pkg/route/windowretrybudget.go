package route

import (
	"sync"
	"time"
)

// windowBuckets is in how many parts a window's counts are kept.
const windowBuckets = 10

// WindowRetryBudget bounds the retries within a sliding window: to a ratio of the
// requests in it, and an extra that does not depend on them. It is safe for
// concurrent use.
type WindowRetryBudget struct {
	ratio      float64
	bucketTime time.Duration

	mu       sync.Mutex
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// started is the time of the first call, from which parts are counted; at is
	// the number of the newest part.
	started time.Time
	at      int64
}

// NewWindowRetryBudget returns a budget of ratio retries per request in a window.
func NewWindowRetryBudget(ratio float64, window time.Duration) *WindowRetryBudget {
	return &WindowRetryBudget{ratio: ratio, bucketTime: window / windowBuckets}
}

// advance empties the parts that have passed. The lock must be held.
func (b *WindowRetryBudget) advance(now time.Time) int {
	if b.started.IsZero() {
		b.started = now
	}
	at := int64(now.Sub(b.started) / b.bucketTime)
	for steps := 0; b.at < at && steps < windowBuckets; steps++ {
		b.at++
		b.requests[b.at%windowBuckets], b.retries[b.at%windowBuckets] = 0, 0
	}
	b.at = max(b.at, at)
	return int(b.at % windowBuckets)
}

// RecordRequest notes a request.
func (b *WindowRetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// AllowRetry takes one retry; false means that the budget, with the extra that is
// given, is spent.
func (b *WindowRetryBudget) AllowRetry(extra float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(requests)+extra {
		return false
	}
	b.retries[at]++
	return true
}
