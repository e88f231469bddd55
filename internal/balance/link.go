package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// linkBurst is how much of the budget may be saved up.
const linkBurst = time.Second

// Link is this entry's budget for the shared link between regions. It counts
// every byte that crosses; the budget may be overdrawn by requests that were
// begun before it ran out. It is safe for concurrent use.
type Link struct {
	rate    float64 // bytes a second
	crossed atomic.Int64

	mu     sync.Mutex
	tokens float64 // bytes
	last   time.Time
}

// NewLink returns a budget of the given bytes a second.
func NewLink(bytesPerSecond float64, now time.Time) *Link {
	return &Link{rate: bytesPerSecond, tokens: bytesPerSecond * linkBurst.Seconds(), last: now}
}

// Count notes bytes that crossed the link.
func (l *Link) Count(bytes int) {
	l.crossed.Add(int64(bytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens -= float64(bytes)
}

// Crossed returns the bytes counted so far.
func (l *Link) Crossed() int64 {
	return l.crossed.Load()
}

// Open reports whether the budget allows another request to cross.
func (l *Link) Open(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.last); passed > 0 {
		l.tokens = min(l.tokens+l.rate*passed.Seconds(), l.rate*linkBurst.Seconds())
		l.last = now
	}
	return l.tokens > 0
}
