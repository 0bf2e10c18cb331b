package routing

import "sync"

// budgetBurst is how many retries may run before any share has been earned.
const budgetBurst = 10

// Budget bounds retries to a share of fresh requests, so that a failing pool
// does not get a multiple of its load. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows its first few retries.
func NewBudget() *Budget { return &Budget{tokens: budgetBurst} }

// Earn notes one fresh request, which may add share of a retry.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, budgetBurst)
}

// Spend takes one retry; false means that the budget is used up.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
