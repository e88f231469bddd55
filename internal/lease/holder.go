package lease

import (
	"sync"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// Holder is the side that may act only while its lease runs. It is safe for
// concurrent use.
type Holder struct {
	clock clock.Clock

	mu     sync.Mutex
	sentAt clock.Reading
	length time.Duration
}

// NewHolder returns a holder without a lease.
func NewHolder(c clock.Clock) *Holder {
	return &Holder{clock: c}
}

// SendTime returns the reading to hand to Extend when the renewal that is about
// to be sent is answered.
func (h *Holder) SendTime() clock.Reading {
	return h.clock.Read()
}

// Extend starts a lease of the given length at the moment its renewal was
// sent. An answer to an older renewal than the last one changes nothing.
func (h *Holder) Extend(sentAt clock.Reading, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sentAt.Monotonic < h.sentAt.Monotonic {
		return
	}
	h.sentAt, h.length = sentAt, length
}

// Invalidate ends the lease at once.
func (h *Holder) Invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.length = 0
}

// Remaining returns how long the lease still runs; zero when it has run out.
func (h *Holder) Remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.length-h.clock.Read().MaxElapsedSince(h.sentAt))
}

// Valid reports whether the lease runs.
func (h *Holder) Valid() bool {
	return h.Remaining() > 0
}
