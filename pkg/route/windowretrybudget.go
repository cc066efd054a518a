package route

import (
	"sync"
	"time"
)

// windowBuckets is the number of intervals into which a window is divided.
const windowBuckets = 10

// WindowRetryBudget limits the retries in a sliding window to a ratio of the requests in it, plus an extra number that
// does not depend on the requests. It is safe for concurrent use.
type WindowRetryBudget struct {
	ratio      float64
	bucketTime time.Duration

	mu       sync.Mutex
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// started is the time of the first call. The buckets are numbered from it, and at is the number of the latest
	// bucket.
	started time.Time
	at      int64
}

// NewWindowRetryBudget returns a budget of ratio retries per request in each window.
func NewWindowRetryBudget(ratio float64, window time.Duration) *WindowRetryBudget {
	return &WindowRetryBudget{ratio: ratio, bucketTime: window / windowBuckets}
}

// advance clears the buckets that have left the window and returns the index of the current one. The lock must be held.
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

// RecordRequest counts a request.
func (b *WindowRetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// HasRetry reports whether AllowRetry would return true.
func (b *WindowRetryBudget) HasRetry(extra float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.hasRetry(extra)
}

// AllowRetry counts one retry. It returns false, without counting it, if the window has no retry left: the budget is
// ratio retries per request in the window plus extra.
func (b *WindowRetryBudget) AllowRetry(extra float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	if !b.hasRetry(extra) {
		return false
	}
	b.retries[at]++
	return true
}

// hasRetry reports whether the window has a retry left. The lock must be held.
func (b *WindowRetryBudget) hasRetry(extra float64) bool {
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return float64(retries+1) <= b.ratio*float64(requests)+extra
}
