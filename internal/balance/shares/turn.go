package shares

import (
	"sort"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// turnLength is how long an entry keeps its slots of a service that has fewer
// slots than entries that want one.
const turnLength = 2 * time.Second

// turn says since when an entry has held slots of a service, or has held none.
type turn struct {
	holds bool
	since clock.Reading
}

// noteTurn follows whether the entry holds slots of the service.
func (e *entry) noteTurn(service string, holds bool, now clock.Reading) {
	last, ok := e.turns[service]
	if ok && last.holds == holds {
		return
	}
	e.turns[service] = turn{holds: holds, since: now}
}

// rank orders entries when there are too few slots: wanting ones that hold
// slots for less than a turn, wanting ones without, wanting ones whose turn is
// over, and the others.
func (e *entry) rank(service string, now clock.Reading) int {
	t := e.turns[service]
	switch {
	case e.demand[service] == 0:
		return 3
	case t.holds && now.MinElapsedSince(t.since) < turnLength:
		return 0
	case !t.holds:
		return 1
	default:
		return 2
	}
}

// byTurn orders the entries, which are sorted by session, for the division of
// what can't be divided equally.
func byTurn(entries []*entry, service string, now clock.Reading) []*entry {
	ordered := append([]*entry(nil), entries...)
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i].rank(service, now), ordered[j].rank(service, now)
		if a != b {
			return a < b
		}
		waitsA, waitsB := ordered[i].turns[service].since, ordered[j].turns[service].since
		return a != 0 && waitsA.Monotonic < waitsB.Monotonic
	})
	return ordered
}
