package route

import "sync"

// Budget lets retries be a part of the requests and no more, so that a failing
// failure domain does not double the load on what is left.
type Budget struct {
	ratio float64
	limit float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget of ratio retries per request that saves up at most
// limit retries.
func NewBudget(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, limit: limit, tokens: limit}
}

// Request notes a first try.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Retry takes one retry; false means that the budget is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
