package dispatch

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// leaderLease is the leader's right to give orders. It counts from the beginning
// of the last read-index round that confirmed the leadership: a successor can
// only have been elected after that, and waits the same length before it takes
// an unreachable worker's leases for lapsed.
//
// The longest of the clocks counts, so that a suspended VM does not take old
// authority for fresh.
type leaderLease struct {
	clock  clock.Clock
	length time.Duration

	mu        sync.Mutex
	renewedAt clock.Reading
	valid     bool
}

// renewLease extends the authority from the time at which a round began.
func (a *leaderLease) renewLease(began clock.Reading) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewedAt, a.valid = began, true
}

// timeLeft returns for how long orders may still be in force; 0 or less: not at all.
func (a *leaderLease) timeLeft() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.valid {
		return 0
	}
	return a.length - a.clock.Read().Longest(a.renewedAt)
}
