package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// advisors spreads the calls to the policy service over the entries, since the
// service answers each VM's calls in turn.
type advisors struct {
	mu   sync.Mutex
	byID map[string]*advisor
	own  advisor // this VM, which asks itself while no entry is known
}

type advisor struct {
	address   string
	lastSeen  time.Time
	busyUntil time.Time // when the calls sent so far should be answered
	failed    time.Time // last failed call
}

const (
	advisorExpiry = 10 * time.Second // without a word from the entry
	advisorRest   = 2 * time.Second  // after a failed call
	// longCall is the cost from which a call would delay others noticeably: a
	// tenth of the shortest objective that users set.
	longCall = 150 * time.Millisecond
	// urgentPart is the inverse of the share of entries kept for short urgent calls.
	urgentPart = 4
)

// advicePatience is how long a call of a unit's band may wait until the policy
// service begins with it. Worse bands wait here instead, so that they stand in
// nobody's way.
var advicePatience = [...]time.Duration{
	bandUrgent:   time.Second,
	bandOnTime:   300 * time.Millisecond,
	bandLate:     50 * time.Millisecond,
	bandHopeless: 0,
}

func newAdvisors() *advisors { return &advisors{byID: make(map[string]*advisor)} }

func (a *advisors) joined(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[address] == nil {
		a.byID[address] = &advisor{address: address}
	}
	a.byID[address].lastSeen = now
}

// pick returns the entry whose calls are answered first and books the cost on
// it. It returns false if the call would wait there for longer than its band may.
// The address is empty if no entry is known: then this VM asks itself.
func (a *advisors) pick(now time.Time, cost time.Duration, b band) (address string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *advisor
	for _, one := range a.forCall(now, cost, b) {
		if best == nil || one.before(best, now) {
			best = one
		}
	}
	if best == nil {
		best = &a.own
	}
	begins := later(best.busyUntil, now)
	if begins.Sub(now) > advicePatience[b] {
		return "", false
	}
	best.busyUntil = begins.Add(cost)
	return best.address, true
}

// forCall returns the entries that may make the call. Some are kept for short
// urgent calls, which would wait behind the others otherwise.
func (a *advisors) forCall(now time.Time, cost time.Duration, b band) []*advisor {
	var all []*advisor
	for address, one := range a.byID {
		if now.Sub(one.lastSeen) > advisorExpiry {
			delete(a.byID, address)
			continue
		}
		all = append(all, one)
	}
	if b == bandUrgent && cost < longCall {
		return all
	}
	slices.SortFunc(all, func(a, b *advisor) int { return cmp.Compare(a.address, b.address) })
	return all[len(all)/urgentPart:]
}

// before orders by recent failure, then by the end of the queue, then by
// address.
func (o *advisor) before(other *advisor, now time.Time) bool {
	resting, otherResting := now.Sub(o.failed) < advisorRest, now.Sub(other.failed) < advisorRest
	if resting != otherResting {
		return otherResting
	}
	if free, otherFree := later(o.busyUntil, now), later(other.busyUntil, now); !free.Equal(otherFree) {
		return free.Before(otherFree)
	}
	return o.address < other.address
}

func (a *advisors) callFailed(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if one := a.byID[address]; one != nil {
		one.failed, one.busyUntil = now, now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
