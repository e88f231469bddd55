package balance

import (
	"sync"
	"time"
)

// Result is the outcome of a request, recorded for the choice of later endpoints.
type Result struct {
	Latency      time.Duration // until the response was complete
	Failed       bool          // the endpoint was unreachable, closed the connection early, or responded that it is unavailable
	Inconclusive bool          // the outcome does not reflect on the endpoint, e.g. nothing was sent; not recorded
}

// Slot is the right to have one request in flight at an endpoint. It must be released;
// only the first release counts.
type Slot struct {
	ID            string // of the endpoint
	Address       string
	FailureDomain string
	Proximity     Proximity

	pool    *Pool
	once    sync.Once
	state   *endpointState
	suspect string // as in the Request
}

// Release frees the slot and records the result of the request.
func (s *Slot) Release(now time.Time, result Result) {
	s.once.Do(func() { s.pool.release(s.state, s.suspect, now, result) })
}
