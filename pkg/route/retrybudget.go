package route

import "sync"

// RetryBudget limits retries to a ratio of the requests, so that the failure of a failure domain does not double the
// load on the others. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	limit float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per request. It accumulates at most limit retries, and starts with
// them.
func NewRetryBudget(ratio, limit float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, limit: limit, tokens: limit}
}

// RecordRequest credits the budget for the first attempt of a request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// AllowRetry takes one retry from the budget. It returns false if the budget is spent.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
