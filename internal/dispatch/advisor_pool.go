package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// advisorPool balances the calls to the policy service over the entries, as the
// service processes the calls of each VM one after another.
type advisorPool struct {
	mu                sync.Mutex
	advisorsByAddress map[string]*advisor
	localAdvisor      advisor // this VM, used while no entry is known
}

// advisor is an entry that can call the policy service.
type advisor struct {
	address   string
	lastSeen  time.Time
	busyUntil time.Time // when the calls sent so far are expected to be answered
	failedAt  time.Time // last failed call
}

const (
	advisorExpiry  = 10 * time.Second // since the entry was last seen
	advisorBackoff = 2 * time.Second  // after a failed call
	// longCallCost is the cost from which a call delays others noticeably: a tenth
	// of the shortest objective that users set.
	longCallCost = 150 * time.Millisecond
	// urgentReserveDivisor is the inverse of the share of entries that are reserved
	// for short urgent calls.
	urgentReserveDivisor = 4
)

// maxAdviceWait is how long a call may be expected to queue at the policy service,
// by the band of its unit. Calls that would wait longer are postponed here, so
// that those of worse bands don't block those of better ones.
var maxAdviceWait = [...]time.Duration{
	bandUrgent:  time.Second,
	bandOnTime:  300 * time.Millisecond,
	bandLate:    50 * time.Millisecond,
	bandExpired: 0,
}

func newAdvisorPool() *advisorPool { return &advisorPool{advisorsByAddress: make(map[string]*advisor)} }

// recordAlive records that the entry at the address is alive, and adds it if it is
// not known.
func (a *advisorPool) recordAlive(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advisorsByAddress[address] == nil {
		a.advisorsByAddress[address] = &advisor{address: address}
	}
	a.advisorsByAddress[address].lastSeen = now
}

// available reports whether a call of the cost would wait no longer than maxAdviceWait.
func (a *advisorPool) available(now time.Time, cost time.Duration, b band) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.soonest(now, cost, b).waitAt(now) <= maxAdviceWait[b]
}

// pick returns the address of the entry that is expected to answer first and when it is
// expected to, and adds the cost of the call to its queue. It returns false if the call
// would wait there longer than maxAdviceWait. The address is empty if no entry is known
// and this VM has to make the call.
func (a *advisorPool) pick(now time.Time, cost time.Duration, b band) (address string, answer time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	best := a.soonest(now, cost, b)
	if best.waitAt(now) > maxAdviceWait[b] {
		return "", time.Time{}, false
	}
	best.busyUntil = latestOf(best.busyUntil, now).Add(cost)
	return best.address, best.busyUntil, true
}

// soonest returns the entry that is expected to answer first, or this VM if none may make
// the call. The caller holds the lock.
func (a *advisorPool) soonest(now time.Time, cost time.Duration, b band) *advisor {
	var best *advisor
	for _, adv := range a.eligible(now, cost, b) {
		if best == nil || adv.preferredTo(best, now) {
			best = adv
		}
	}
	if best == nil {
		return &a.localAdvisor
	}
	return best
}

// waitAt returns how long a call made now is expected to queue.
func (o *advisor) waitAt(now time.Time) time.Duration { return latestOf(o.busyUntil, now).Sub(now) }

// eligible returns the entries that may make the call, and drops expired ones. A
// share of the entries is reserved for short urgent calls, so that these don't
// queue behind others.
func (a *advisorPool) eligible(now time.Time, cost time.Duration, b band) []*advisor {
	var all []*advisor
	for address, adv := range a.advisorsByAddress {
		if now.Sub(adv.lastSeen) > advisorExpiry {
			delete(a.advisorsByAddress, address)
			continue
		}
		all = append(all, adv)
	}
	if b == bandUrgent && cost < longCallCost {
		return all
	}
	slices.SortFunc(all, func(a, b *advisor) int { return cmp.Compare(a.address, b.address) })
	return all[len(all)/urgentReserveDivisor:]
}

// preferredTo orders entries: those without a recent failure first, then by the
// time when their queue is empty, then by address.
func (o *advisor) preferredTo(other *advisor, now time.Time) bool {
	backingOff, otherBackingOff := now.Sub(o.failedAt) < advisorBackoff, now.Sub(other.failedAt) < advisorBackoff
	if backingOff != otherBackingOff {
		return otherBackingOff
	}
	if free, otherFree := latestOf(o.busyUntil, now), latestOf(other.busyUntil, now); !free.Equal(otherFree) {
		return free.Before(otherFree)
	}
	return o.address < other.address
}

// recordFailure records a failed call and clears the entry's expected queue.
func (a *advisorPool) recordFailure(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if adv := a.advisorsByAddress[address]; adv != nil {
		adv.failedAt, adv.busyUntil = now, now
	}
}

// latestOf returns the later of two times.
func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
