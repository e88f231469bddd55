package balance

import "math/rand/v2"

// SlotShares prefers near endpoints, then those of which the smallest part of
// the granted slots is in use.
type SlotShares struct{}

var _ Policy = SlotShares{}

// Name implements Policy.
func (SlotShares) Name() string { return "slot-shares" }

// Choose compares all candidates, beginning at a random one.
func (SlotShares) Choose(candidates []Candidate, random *rand.Rand) int {
	start := random.IntN(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if prefer(candidates[at], candidates[best]) {
			best = at
		}
	}
	return best
}

// prefer compares proximity, then the used part of the slots by cross
// multiplication.
func prefer(a, b Candidate) bool {
	if a.Proximity != b.Proximity {
		return a.Proximity < b.Proximity
	}
	return a.InFlight*b.Slots < b.InFlight*a.Slots
}
