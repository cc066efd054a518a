package route

import "sync"

// RetryBudget lets retries be a part of the requests and no more, so that a failing
// failure domain does not double the load on what is left.
type RetryBudget struct {
	ratio float64
	limit float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per request that saves up at most
// limit retries.
func NewRetryBudget(ratio, limit float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, limit: limit, tokens: limit}
}

// RecordRequest notes a first try.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// AllowRetry takes one retry; false means that the budget is spent.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
