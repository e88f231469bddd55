package dispatch

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// authority is the leader's right to give orders. It counts from the beginning
// of the last read-index round that confirmed the leadership: a successor can
// only have been elected after that, and waits the same length before it takes
// an unreachable worker's leases for lapsed.
//
// The longest of the clocks counts, so that a suspended VM does not take old
// authority for fresh.
type authority struct {
	clock  clock.Clock
	length time.Duration

	mu        sync.Mutex
	confirmed clock.Reading
	valid     bool
}

// confirm extends the authority from the time at which a round began.
func (a *authority) confirm(began clock.Reading) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed, a.valid = began, true
}

// left returns for how long orders may still be in force; 0 or less: not at all.
func (a *authority) left() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.valid {
		return 0
	}
	return a.length - a.clock.Read().MaxElapsedSince(a.confirmed)
}
