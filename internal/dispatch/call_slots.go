package dispatch

import (
	"context"
	"math"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// CallLimits bounds the calls to workers in flight, and with them the connections. 0 means
// no limit.
type CallLimits struct {
	Holds  int // long polls; each occupies a connection all the time
	Orders int // starts and stops; stops take at most half, so that starts don't wait for them
	// LargeHolds replaces Holds in a large deployment.
	LargeHolds int
}

// callSlots hands out the slots of one kind of call in the order of request. A call takes
// its slot before it computes what it sends: time spent waiting must not count as the
// worker's silence or use up a lease.
type callSlots struct {
	limit   int64
	slots   *semaphore.Weighted
	planned atomic.Int64 // calls that were decided on and are not over
}

func newCallSlots(limit int) *callSlots {
	s := &callSlots{limit: int64(limit)}
	if limit <= 0 {
		s.limit = math.MaxInt64
	}
	s.slots = semaphore.NewWeighted(s.limit)
	return s
}

// newStopSlots returns the slots that a stop takes before one of the orders' slots, so that
// no more stops than that are in flight or ahead of a start.
//
// Load pattern: many runs to stop on workers that don't answer, each request sent again and
// again. Starts would queue behind all of them.
func newStopSlots(orders int) *callSlots {
	if orders <= 0 {
		return newCallSlots(0)
	}
	return newCallSlots(max(1, orders/stopShareDivisor))
}

// stopShareDivisor is the inverse of the share of the orders' slots that stops may take.
const stopShareDivisor = 2

// acquire waits for a slot. It returns false if ctx ended first.
func (s *callSlots) acquire(ctx context.Context) bool { return s.slots.Acquire(ctx, 1) == nil }

// plan counts a call from the decision to make it. The caller calls unplan when it is over.
func (s *callSlots) plan() { s.planned.Add(1) }

func (s *callSlots) unplan() { s.planned.Add(-1) }

// room returns how many calls may be planned now. If it is 0 or less, so many planned calls
// wait for a slot that others are better decided on later, with newer knowledge and in the
// order of their urgency. Those that wait keep the slots occupied until then.
func (s *callSlots) room() int64 { return s.roomWithin(1) }

// roomWithin returns how many calls may be planned now that may use no more than the share of the slots, of at most 1.
// Only calls that may use all of them may wait for one.
func (s *callSlots) roomWithin(share float64) int64 {
	if s.limit == math.MaxInt64 {
		return s.limit
	}
	if share >= 1 || s.limit < minSharedSlots {
		return s.limit + max(1, s.limit/backlogDivisor) - s.planned.Load()
	}
	return int64(share*float64(s.limit)) - s.planned.Load()
}

// minSharedSlots is the number of slots from which on they are shared: parts of fewer would be single calls.
const minSharedSlots = 8

// backlogDivisor is the inverse of the share of a full set of slots that may wait for one.
const backlogDivisor = 4

func (s *callSlots) release() { s.slots.Release(1) }
