package balance

import (
	"sync"
	"time"
)

// Result is what became of a request, for the choice of later ones.
type Result struct {
	Latency      time.Duration // until the answer was complete
	Failed       bool          // the endpoint was unreachable, broke off, or answered that it is unavailable
	Inconclusive bool          // nothing was sent; says nothing about the endpoint
}

// Slot is the right to have one request in flight at an endpoint. It must be
// released once.
type Slot struct {
	ID            string
	Address       string
	FailureDomain string // failure domain
	Proximity     Proximity

	pool *Pool
	once sync.Once
	of   *backend
}

// Release gives the slot back.
func (s *Slot) Release(now time.Time, result Result) {
	s.once.Do(func() { s.pool.release(s.of, now, result) })
}
