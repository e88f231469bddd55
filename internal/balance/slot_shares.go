package balance

import "math/rand/v2"

// SlotShares prefers near endpoints, then those with the lowest utilization of the
// granted slots.
type SlotShares struct{}

var _ Policy = SlotShares{}

// Name implements Policy.
func (SlotShares) Name() string { return "slot-shares" }

// Choose returns the preferred candidate. It starts the comparison at a random one, so
// that ties are broken at random.
func (SlotShares) Choose(candidates []Candidate, random *rand.Rand) int {
	start := random.IntN(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if isPreferred(candidates[at], candidates[best]) {
			best = at
		}
	}
	return best
}

// isPreferred reports whether a is preferred over b: by proximity, then by slot
// utilization, which is compared by cross multiplication.
func isPreferred(a, b Candidate) bool {
	if a.Proximity != b.Proximity {
		return a.Proximity < b.Proximity
	}
	return a.InFlight*b.Slots < b.InFlight*a.Slots
}
