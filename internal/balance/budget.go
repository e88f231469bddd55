package balance

import "sync"

const (
	tokensPerRequest = 0.1 // retries earned by each request
	maxRetryTokens   = 10  // most retries that can be saved up
)

// RetryBudget is a token bucket that limits retries to a fraction of the requests, so
// that retries can't amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64 // one retry costs one token
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens}
}

// Deposit adds the tokens that one request earns.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxRetryTokens)
}

// Withdraw takes the token for one retry. It returns false if less than one token is
// left.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
