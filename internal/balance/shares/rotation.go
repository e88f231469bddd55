package shares

import (
	"sort"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// rotationPeriod is how long an entry keeps its slots of a service that has fewer slots
// than entries that need one. Then other entries get their turn.
const rotationPeriod = 2 * time.Second

// holdState records whether an entry holds slots of a service, and since when.
type holdState struct {
	holds bool
	since clock.Reading
}

// updateHoldState records whether the entry holds slots of the service. The time changes
// only with the state.
func (e *entry) updateHoldState(service string, holds bool, now clock.Reading) {
	last, ok := e.holdStates[service]
	if ok && last.holds == holds {
		return
	}
	e.holdStates[service] = holdState{holds: holds, since: now}
}

// rotationRank returns the entry's rank when there are too few slots. Lower ranks get
// slots first: entries with demand that have held slots for less than a rotation period
// (0), that hold none (1), that have held slots for longer (2), and entries without
// demand (3).
func (e *entry) rotationRank(service string, now clock.Reading) int {
	state := e.holdStates[service]
	switch {
	case e.demand[service] == 0:
		return 3
	case state.holds && now.MinElapsedSince(state.since) < rotationPeriod:
		return 0
	case !state.holds:
		return 1
	default:
		return 2
	}
}

// sortForRotation sorts entries by rank, and within ranks 1 to 3 by the time of the last
// change of their hold state. The entries must be sorted by session, which decides among
// equal ones. The order decides who gets the slots that can't be divided equally.
func sortForRotation(entries []*entry, service string, now clock.Reading) []*entry {
	ordered := append([]*entry(nil), entries...)
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i].rotationRank(service, now), ordered[j].rotationRank(service, now)
		if a != b {
			return a < b
		}
		sinceA, sinceB := ordered[i].holdStates[service].since, ordered[j].holdStates[service].since
		return a != 0 && sinceA.Monotonic < sinceB.Monotonic
	})
	return ordered
}
