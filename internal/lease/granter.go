package lease

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// Granter is the leader's account of the leases it answered for. A new leader
// makes a new Granter: whatever its predecessor answered counts as answered at
// the moment of its own election. It is safe for concurrent use.
type Granter struct {
	clock      clock.Clock
	length     time.Duration
	expiryWait time.Duration // length and the drift allowance
	electedAt  clock.Reading

	mu        sync.Mutex
	renewedAt map[string]clock.Reading
	expiring  map[string]bool
}

// NewGranter returns the account of a leader elected at this moment. Leases
// last length; a holder's clock may run slower than ours by the share drift.
func NewGranter(c clock.Clock, length time.Duration, drift float64) *Granter {
	return &Granter{
		clock:      c,
		length:     length,
		expiryWait: length + time.Duration(float64(length)*drift),
		electedAt:  c.Read(),
		renewedAt:  make(map[string]clock.Reading),
		expiring:   make(map[string]bool),
	}
}

// Length returns how long each lease lasts.
func (g *Granter) Length() time.Duration {
	return g.length
}

// GrantRenewal records that a renewal is about to be answered. It returns false if
// the holder's expiry is being decided: then no answer may be sent. The caller
// must have confirmed by a read-index round begun after the renewal's receipt
// that it still leads.
func (g *Granter) GrantRenewal(holder string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expiring[holder] {
		return false
	}
	g.renewedAt[holder] = g.clock.Read()
	return true
}

// Expired reports whether the holder's last lease has run out for certain.
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

// Remaining returns how long it takes at least until the holder's lease has run out
// for certain; zero when it has.
func (g *Granter) Remaining(holder string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.remaining(holder)
}

// BeginExpiry bars further answers to the holder, if its lease has run out,
// and reports whether it did. EndExpiry lifts the bar.
func (g *Granter) BeginExpiry(holder string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expiring[holder] || !g.expired(holder) {
		return false
	}
	g.expiring[holder] = true
	return true
}

// EndExpiry lifts the bar once the proposed expiry's fate is known: applied,
// or never to be applied.
func (g *Granter) EndExpiry(holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.expiring, holder)
}

// RemoveHolder drops a holder that is no longer of interest.
func (g *Granter) RemoveHolder(holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.renewedAt, holder)
	delete(g.expiring, holder)
}

// PredecessorLeasesExpired reports whether every lease that an earlier leader answered for has
// run out or been renewed here.
func (g *Granter) PredecessorLeasesExpired() bool {
	return g.clock.Read().MinElapsedSince(g.electedAt) >= g.expiryWait
}
