package lease

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// Holder tracks the lease of a process that may act only while the lease is valid.
// It is safe for concurrent use.
type Holder struct {
	clock clock.Clock

	mu     sync.Mutex
	sentAt clock.Reading // when the latest granted renewal was sent
	length time.Duration // from sentAt; 0 without a lease
}

// NewHolder returns a holder without a lease.
func NewHolder(c clock.Clock) *Holder {
	return &Holder{clock: c}
}

// SendTime returns the current reading. Call it just before sending a renewal, and
// pass the result to Extend once the renewal is granted.
func (h *Holder) SendTime() clock.Reading {
	return h.clock.Read()
}

// Extend sets the lease to run for length from sentAt, when its renewal was sent.
// It does nothing if a renewal that was sent later has already extended it.
func (h *Holder) Extend(sentAt clock.Reading, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sentAt.Monotonic < h.sentAt.Monotonic {
		return
	}
	h.sentAt, h.length = sentAt, length
}

// Invalidate ends the lease at once, without telling the granter.
func (h *Holder) Invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.length = 0
}

// Remaining returns the time until the lease expires, or zero if it has expired.
func (h *Holder) Remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.length-h.clock.Read().MaxElapsedSince(h.sentAt))
}

// Valid reports whether the holder has a lease that has not expired.
func (h *Holder) Valid() bool {
	return h.Remaining() > 0
}
