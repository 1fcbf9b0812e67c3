package route

import "sync"

// The retry budget is a token bucket; a retry costs one token.
const (
	// tokensPerRequest is earned by each request.
	tokensPerRequest = 0.1
	// initialTokens lets an entry with few requests retry.
	initialTokens = 10
	maxTokens     = 100
)

// Budget limits retries to a fraction of the requests, so that a failing service does not get a multiple of its load.
type Budget struct {
	mu          sync.Mutex
	initialized bool
	tokens      float64
}

// Earn adds the tokens of one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.tokens = initialTokens
	}
}
