package bodybudget

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// ErrRefused marks the error of reading a body that was ended for lack of memory or because it was
// too slow. The request had no effect.
var ErrRefused = errors.New("the request was not run")

// ErrTooLarge marks the error of a body over its limit.
var ErrTooLarge = errors.New("the body is too large")

// errFull and errEnded tell why a body is refused.
var (
	errFull  = errors.Mark(errors.New("too many requests are in progress; the request was not run"), ErrRefused)
	errEnded = errors.Mark(errors.New("the request made no progress while others waited; it was not run"), ErrRefused)
	errSlow  = errors.Mark(errors.New("the body arrives too slowly; the request was not run"), ErrRefused)
)

const (
	// minStall is the time without progress after which a request may be ended for another one. It is
	// above the time between two segments of one body on a wide-area link.
	minStall = 250 * time.Millisecond
	// endWait bounds the wait for the memory of requests that were ended; their handlers only have to return.
	endWait = 500 * time.Millisecond
)

// Budget is the memory of the requests in progress of one process. It is safe for concurrent use.
type Budget struct {
	total int64 // bytes
	log   eventLog

	mu       sync.Mutex
	portions []*Portion
	ending   int64         // bytes of holds that were ended and have not been given back yet
	freed    chan struct{} // closed when bytes are given back; nil: no request waits for them
}

// New returns a budget of total bytes.
func New(total int64, logger *slog.Logger, registry metrics.Registry) *Budget {
	b := &Budget{total: total, log: eventLog{logger: logger, counts: make(map[string]int64)}}
	metrics.GetOrRegisterGauge("bodybudget.total_bytes", registry).Update(total)
	return b
}

// take adds n bytes to the hold. If there is no room, it ends requests that have stalled, waits until
// these have given back their bytes, and returns an error marked with ErrRefused if there is no room even then.
func (b *Budget) take(h *hold, n int64) error {
	deadline := time.Now().Add(endWait)
	for {
		b.mu.Lock()
		wait, err := b.tryTake(h, n, time.Now())
		b.mu.Unlock()
		if err != nil || wait == nil {
			return err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-wait:
			timer.Stop()
		case <-timer.C:
			h.portion.count(reasonFull)
			return errFull
		}
	}
}

// tryTake adds n bytes to the hold, or returns a channel that is closed when bytes have been given
// back. The caller holds the lock.
func (b *Budget) tryTake(h *hold, n int64, now time.Time) (wait <-chan struct{}, err error) {
	if h.ended {
		return nil, errEnded
	}
	if h.portion.fits(n) {
		h.add(n, now)
		return nil, nil
	}
	for b.ending < n {
		victim := h.portion.victim(h, now)
		if victim == nil {
			break
		}
		victim.end()
	}
	if b.ending == 0 {
		h.portion.count(reasonFull)
		return nil, errFull
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, nil
}

// sharedUsed returns the bytes that portions hold beyond their reserved ones. The caller holds the lock.
func (b *Budget) sharedUsed() int64 {
	used := int64(0)
	for _, p := range b.portions {
		used += max(0, p.used-p.reserved)
	}
	return used
}

// shared returns the bytes that are reserved for no portion. The caller holds the lock.
func (b *Budget) shared() int64 {
	rest := b.total
	for _, p := range b.portions {
		rest -= p.reserved
	}
	return rest
}

// signalFreed wakes those that wait for bytes. The caller holds the lock.
func (b *Budget) signalFreed() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
