package balance

import "sync"

const (
	retryShare   = 0.1 // retries allowed for each request
	retryReserve = 10  // retries that may be saved up
)

// RetryBudget bounds retries to a share of the requests, so that retries can't
// multiply an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget with its whole reserve.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryReserve}
}

// Deposit notes one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// Withdraw takes one retry, or returns false if the budget is spent.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
