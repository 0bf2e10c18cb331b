package routing

import "sync"

// budgetBurst is the number of retries allowed before any fresh request, and the
// maximum that can be saved up.
const budgetBurst = 10

// Budget limits retries to a share of fresh requests, so that a failing pool does
// not get a multiple of its load. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a Budget that allows budgetBurst retries.
func NewBudget() *Budget { return &Budget{tokens: budgetBurst} }

// Earn records a fresh request, which adds share retries to the budget.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, budgetBurst)
}

// Spend takes one retry from the budget and reports whether it was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
