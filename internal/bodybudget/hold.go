package bodybudget

import (
	"container/list"
	"time"
)

// minProgressBytes is the number of arriving bytes that counts as progress: a client that sends
// single bytes makes none.
const minProgressBytes = 512

// hold is what one request holds of a portion.
type hold struct {
	portion   *Portion
	address   string // of the client, without its port
	interrupt func() // ends a read in progress; must not block

	// Guarded by the budget's lock.
	bytes      int64
	unmarked   int64 // taken since progressed was set
	progressed time.Time
	element    *list.Element // in the portion's arriving; nil: the request can't be ended
	ended      bool
}

func (p *Portion) newHold(address string, interrupt func()) *hold {
	return &hold{portion: p, address: address, interrupt: interrupt}
}

// add adds bytes that have arrived. The caller holds the lock.
func (h *hold) add(n int64, now time.Time) {
	p := h.portion
	if h.bytes == 0 {
		h.progressed = now
		h.element = p.arriving.PushBack(h)
	}
	h.bytes += n
	p.used += n
	p.byAddress[h.address] += n
	if h.unmarked += n; h.unmarked >= minProgressBytes && h.element != nil {
		h.unmarked, h.progressed = 0, now
		p.arriving.MoveToBack(h.element)
	}
}

// force adds bytes whether there is room or not.
func (h *hold) force(n int64) {
	b := h.portion.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.add(n, time.Now())
}

// end ends the request. The caller holds the lock.
func (h *hold) end() {
	h.ended = true
	h.unlist()
	h.portion.budget.ending += h.bytes
	h.portion.count(reasonStalled)
	h.interrupt()
}

// arrived records that the request has arrived completely and is not ended any more. It returns false
// if it was ended before.
func (h *hold) arrived() bool {
	b := h.portion.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.unlist()
	return !h.ended
}

// unlist removes the hold from the requests that may be ended. The caller holds the lock.
func (h *hold) unlist() {
	if h.element != nil {
		h.portion.arriving.Remove(h.element)
		h.element = nil
	}
}

// release gives back all bytes. The hold may be used again unless it was ended.
func (h *hold) release() {
	b := h.portion.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.unlist()
	if h.bytes == 0 {
		return
	}
	if h.ended {
		b.ending -= h.bytes
	}
	p := h.portion
	p.used -= h.bytes
	if p.byAddress[h.address] -= h.bytes; p.byAddress[h.address] == 0 {
		delete(p.byAddress, h.address)
	}
	h.bytes, h.unmarked = 0, 0
	b.signalFreed()
}

// wasEnded reports whether the request was ended for another one.
func (h *hold) wasEnded() bool {
	b := h.portion.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.ended
}
