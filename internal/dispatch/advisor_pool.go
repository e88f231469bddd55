package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// advisorPool spreads the calls to the policy service over the entries, since the
// service answers each VM's calls in turn.
type advisorPool struct {
	mu                sync.Mutex
	advisorsByAddress map[string]*advisor
	localAdvisor      advisor // this VM, which asks itself while no entry is known
}

type advisor struct {
	address   string
	lastSeen  time.Time
	busyUntil time.Time // when the calls sent so far should be answered
	failedAt  time.Time // last failed call
}

const (
	advisorExpiry  = 10 * time.Second // without a word from the entry
	advisorBackoff = 2 * time.Second  // after a failed call
	// longCallCost is the cost from which a call would delay others noticeably: a
	// tenth of the shortest objective that users set.
	longCallCost = 150 * time.Millisecond
	// urgentReserveDivisor is the inverse of the share of entries kept for short urgent calls.
	urgentReserveDivisor = 4
)

// maxAdviceWait is how long a call of a unit's band may wait until the policy
// service begins with it. Worse bands wait here instead, so that they stand in
// nobody's way.
var maxAdviceWait = [...]time.Duration{
	bandUrgent:  time.Second,
	bandOnTime:  300 * time.Millisecond,
	bandLate:    50 * time.Millisecond,
	bandExpired: 0,
}

func newAdvisorPool() *advisorPool { return &advisorPool{advisorsByAddress: make(map[string]*advisor)} }

func (a *advisorPool) joined(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advisorsByAddress[address] == nil {
		a.advisorsByAddress[address] = &advisor{address: address}
	}
	a.advisorsByAddress[address].lastSeen = now
}

// pick returns the entry whose calls are answered first and books the cost on
// it. It returns false if the call would wait there for longer than its band may.
// The address is empty if no entry is known: then this VM asks itself.
func (a *advisorPool) pick(now time.Time, cost time.Duration, b band) (address string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *advisor
	for _, one := range a.eligible(now, cost, b) {
		if best == nil || one.preferredTo(best, now) {
			best = one
		}
	}
	if best == nil {
		best = &a.localAdvisor
	}
	begins := latestOf(best.busyUntil, now)
	if begins.Sub(now) > maxAdviceWait[b] {
		return "", false
	}
	best.busyUntil = begins.Add(cost)
	return best.address, true
}

// eligible returns the entries that may make the call. Some are kept for short
// urgent calls, which would wait behind the others otherwise.
func (a *advisorPool) eligible(now time.Time, cost time.Duration, b band) []*advisor {
	var all []*advisor
	for address, one := range a.advisorsByAddress {
		if now.Sub(one.lastSeen) > advisorExpiry {
			delete(a.advisorsByAddress, address)
			continue
		}
		all = append(all, one)
	}
	if b == bandUrgent && cost < longCallCost {
		return all
	}
	slices.SortFunc(all, func(a, b *advisor) int { return cmp.Compare(a.address, b.address) })
	return all[len(all)/urgentReserveDivisor:]
}

// preferredTo orders by recent failure, then by the end of the queue, then by
// address.
func (o *advisor) preferredTo(other *advisor, now time.Time) bool {
	resting, otherResting := now.Sub(o.failedAt) < advisorBackoff, now.Sub(other.failedAt) < advisorBackoff
	if resting != otherResting {
		return otherResting
	}
	if free, otherFree := latestOf(o.busyUntil, now), latestOf(other.busyUntil, now); !free.Equal(otherFree) {
		return free.Before(otherFree)
	}
	return o.address < other.address
}

func (a *advisorPool) recordFailure(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if one := a.advisorsByAddress[address]; one != nil {
		one.failedAt, one.busyUntil = now, now
	}
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
