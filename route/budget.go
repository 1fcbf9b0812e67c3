package route

import "sync"

// Settings of the retry budget.
const (
	// budgetShare is how much of a retry each request earns.
	budgetShare = 0.1
	// budgetStart lets a quiet entry retry at all.
	budgetStart = 10
	// budgetMax bounds what can be saved up.
	budgetMax = 100
)

// Budget bounds retries to a share of the requests, so that a failing service is not sent many times its load.
type Budget struct {
	mu     sync.Mutex
	opened bool
	tokens float64
}

// Earn notes one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	b.tokens = min(budgetMax, b.tokens+budgetShare)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) open() {
	if !b.opened {
		b.opened = true
		b.tokens = budgetStart
	}
}
