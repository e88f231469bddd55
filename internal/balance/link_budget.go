package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// linkBurst is how much of the budget may be saved up.
const linkBurst = time.Second

// LinkBudget is this entry's budget for the shared link between regions. It counts
// every byte that crosses; the budget may be overdrawn by requests that were
// begun before it ran out. It is safe for concurrent use.
type LinkBudget struct {
	rate    float64 // bytes a second
	crossed atomic.Int64

	mu     sync.Mutex
	tokens float64 // bytes
	last   time.Time
}

// NewLinkBudget returns a budget of the given bytes a second.
func NewLinkBudget(bytesPerSecond float64, now time.Time) *LinkBudget {
	return &LinkBudget{rate: bytesPerSecond, tokens: bytesPerSecond * linkBurst.Seconds(), last: now}
}

// Spend notes bytes that crossed the link.
func (l *LinkBudget) Spend(bytes int) {
	l.crossed.Add(int64(bytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens -= float64(bytes)
}

// TotalBytes returns the bytes counted so far.
func (l *LinkBudget) TotalBytes() int64 {
	return l.crossed.Load()
}

// Available reports whether the budget allows another request to cross.
func (l *LinkBudget) Available(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.last); passed > 0 {
		l.tokens = min(l.tokens+l.rate*passed.Seconds(), l.rate*linkBurst.Seconds())
		l.last = now
	}
	return l.tokens > 0
}
