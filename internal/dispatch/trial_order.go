package dispatch

import "slices"

// oldestInterval: of so many units that get a trial, one is the oldest.
const oldestInterval = 4

// gatheringFirst returns the units in their order, but for the gathering ones, which come first:
// others would take their workers before they can start.
func (tw *trialWorkers) gatheringFirst(units []*unit) []*unit {
	slices.SortStableFunc(units, func(a, b *unit) int {
		switch {
		case tw.gathering[a] == tw.gathering[b]:
			return 0
		case tw.gathering[a]:
			return -1
		default:
			return 1
		}
	})
	return units
}

// withOldest returns the units in their order, with the unit whose job is the oldest of those left
// as each oldestInterval-th: late jobs would never have their trial while others arrive.
func withOldest(units []*unit) []*unit {
	byAge := slices.Clone(units)
	slices.SortStableFunc(byAge, func(a, b *unit) int { return a.job.accepted.Compare(b.job.accepted) })
	ordered := make([]*unit, 0, len(units))
	taken := make(map[*unit]bool, len(units))
	next := func(from []*unit) []*unit {
		for len(from) > 0 && taken[from[0]] {
			from = from[1:]
		}
		if len(from) > 0 {
			taken[from[0]] = true
			ordered = append(ordered, from[0])
		}
		return from
	}
	for count := len(units); len(ordered) < count; {
		if len(ordered)%oldestInterval == oldestInterval-1 {
			byAge = next(byAge)
		} else {
			units = next(units)
		}
	}
	return ordered
}
