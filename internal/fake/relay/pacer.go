package relay

import (
	"sync"
	"time"
)

// pacer spreads the data of one direction over time. The zero value is ready for use.
type pacer struct {
	mu   sync.Mutex
	free time.Time // when all data reserved so far has been sent
}

// reserve returns the time from now until the bytes have been sent, behind all others, at the rate in bytes per second; 0: no
// limit.
func (p *pacer) reserve(now time.Time, bytes int, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(int64(bytes) * int64(time.Second) / rate))
	return p.free.Sub(now)
}
