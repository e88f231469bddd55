package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// linkBurstTime limits unused budget to what refills in this time.
const linkBurstTime = time.Second

// LinkBudget is a token bucket, in bytes, for this entry's traffic over the shared link
// between regions. Every byte of the traffic counts. A request that has started is not
// stopped when the budget is used up, so the budget can become negative. It is safe for
// concurrent use.
type LinkBudget struct {
	refillRate float64      // bytes per second
	totalBytes atomic.Int64 // transferred

	mu             sync.Mutex
	availableBytes float64 // negative when overdrawn
	refilledAt     time.Time
}

// NewLinkBudget returns a full budget that refills at the given rate.
func NewLinkBudget(bytesPerSecond float64, now time.Time) *LinkBudget {
	return &LinkBudget{refillRate: bytesPerSecond, availableBytes: bytesPerSecond * linkBurstTime.Seconds(), refilledAt: now}
}

// Spend deducts bytes that were transferred over the link.
func (l *LinkBudget) Spend(bytes int) {
	l.totalBytes.Add(int64(bytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.availableBytes -= float64(bytes)
}

// TotalBytes returns the total of the bytes spent.
func (l *LinkBudget) TotalBytes() int64 {
	return l.totalBytes.Load()
}

// Available refills the budget and reports whether another request may use the link.
func (l *LinkBudget) Available(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.refilledAt); passed > 0 {
		l.availableBytes = min(l.availableBytes+l.refillRate*passed.Seconds(), l.refillRate*linkBurstTime.Seconds())
		l.refilledAt = now
	}
	return l.availableBytes > 0
}
