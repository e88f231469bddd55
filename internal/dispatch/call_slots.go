package dispatch

import (
	"context"
	"math"

	"golang.org/x/sync/semaphore"
)

// CallLimits bounds the calls to workers in flight, and with them the connections. 0 means
// no limit.
type CallLimits struct {
	Holds  int // long polls; each occupies a connection all the time
	Orders int // starts and stops
}

// callSlots hands out the slots of one kind of call in the order of request. A call takes
// its slot before it computes what it sends: time spent waiting must not count as the
// worker's silence or use up a lease.
type callSlots struct {
	limit int64
	slots *semaphore.Weighted
}

func newCallSlots(limit int) *callSlots {
	s := &callSlots{limit: int64(limit)}
	if limit <= 0 {
		s.limit = math.MaxInt64
	}
	s.slots = semaphore.NewWeighted(s.limit)
	return s
}

// acquire waits for a slot. It returns false if ctx ended first.
func (s *callSlots) acquire(ctx context.Context) bool { return s.slots.Acquire(ctx, 1) == nil }

func (s *callSlots) release() { s.slots.Release(1) }
