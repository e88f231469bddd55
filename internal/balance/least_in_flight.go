package balance

import "math/rand/v2"

// LeastInFlight takes the less busy of two random candidates.
type LeastInFlight struct{}

var _ Policy = LeastInFlight{}

// Name implements Policy.
func (LeastInFlight) Name() string { return "least-in-flight" }

// Choose compares two random candidates by requests in flight.
func (LeastInFlight) Choose(candidates []Candidate, random *rand.Rand) int {
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}
