package lease

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// Granter tracks the leases that a leader granted. A new leader creates a new
// Granter, which treats every lease of an earlier leader as renewed at the moment
// of the new leader's election. It is safe for concurrent use.
type Granter struct {
	clock      clock.Clock
	length     time.Duration
	expiryWait time.Duration // length plus the drift allowance
	electedAt  clock.Reading

	mu        sync.Mutex
	renewedAt map[string]clock.Reading // by holder: its last renewal granted here
	expiring  map[string]bool          // holders between BeginExpiry and EndExpiry
}

// NewGranter returns the Granter of a leader that was elected just now. Leases
// last length. A holder's clock may run slower than the granter's by up to the
// fraction maxClockDrift.
func NewGranter(c clock.Clock, length time.Duration, maxClockDrift float64) *Granter {
	return &Granter{
		clock:      c,
		length:     length,
		expiryWait: length + time.Duration(float64(length)*maxClockDrift),
		electedAt:  c.Read(),
		renewedAt:  make(map[string]clock.Reading),
		expiring:   make(map[string]bool),
	}
}

// Length returns how long each lease lasts.
func (g *Granter) Length() time.Duration {
	return g.length
}

// GrantRenewal restarts the holder's lease and must be called before the renewal is
// answered. Between BeginExpiry and EndExpiry it returns false, and the renewal
// must not be answered as granted. The caller must have confirmed that it still
// leads, by a read-index round that began after the renewal was received.
func (g *Granter) GrantRenewal(holder string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expiring[holder] {
		return false
	}
	g.renewedAt[holder] = g.clock.Read()
	return true
}

// Expired reports whether the holder's lease has certainly expired, also by the
// holder's own clock. A holder without a renewal at this Granter counts as renewed
// at the leader's election.
func (g *Granter) Expired(holder string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired(holder)
}

func (g *Granter) expired(holder string) bool {
	return g.remaining(holder) == 0
}

func (g *Granter) remaining(holder string) time.Duration {
	lastRenewal, ok := g.renewedAt[holder]
	if !ok {
		lastRenewal = g.electedAt
	}
	return max(0, g.expiryWait-g.clock.Read().MinElapsedSince(lastRenewal))
}

// Remaining returns the least time until Expired can report true for the holder,
// or zero if it already does.
func (g *Granter) Remaining(holder string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.remaining(holder)
}

// BeginExpiry makes GrantRenewal refuse the holder until EndExpiry, so that the
// expiry can be proposed. It returns false and changes nothing if the lease has
// not expired or an expiry of the holder has already begun.
func (g *Granter) BeginExpiry(holder string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expiring[holder] || !g.expired(holder) {
		return false
	}
	g.expiring[holder] = true
	return true
}

// EndExpiry makes GrantRenewal accept the holder again. It may be called only once
// the proposed expiry is applied or certain never to be applied.
func (g *Granter) EndExpiry(holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.expiring, holder)
}

// RemoveHolder drops all records of the holder, also an expiry that has begun.
// From then on it counts as last renewed at the leader's election.
func (g *Granter) RemoveHolder(holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.renewedAt, holder)
	delete(g.expiring, holder)
}

// PredecessorLeasesExpired reports whether every lease granted by an earlier leader
// has certainly expired, unless it was renewed at this Granter.
func (g *Granter) PredecessorLeasesExpired() bool {
	return g.clock.Read().MinElapsedSince(g.electedAt) >= g.expiryWait
}
