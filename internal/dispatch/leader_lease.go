package dispatch

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// leaderLease limits the time during which the leader may grant leases to
// workers. It starts when the last read-index round that confirmed the
// leadership began: a successor can only have been elected after that, and it
// waits for the same length before it considers the leases of an unreachable
// worker expired.
//
// Elapsed time is the longest that any of the clocks shows, so that the lease
// also expires while the VM is suspended.
type leaderLease struct {
	clock  clock.Clock
	length time.Duration

	mu        sync.Mutex
	renewedAt clock.Reading
	valid     bool
}

// renewLease restarts the lease at the beginning of a successful read-index round.
func (l *leaderLease) renewLease(roundStart clock.Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt, l.valid = roundStart, true
}

// remaining returns the time until the lease expires. It is 0 or negative if the
// lease has expired or was never renewed.
func (l *leaderLease) remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid {
		return 0
	}
	return l.length - l.clock.Read().MaxElapsedSince(l.renewedAt)
}
