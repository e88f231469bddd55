package balance

import "math/rand/v2"

// LeastInFlight chooses the one of two random candidates that has fewer requests in
// flight (power of two choices).
type LeastInFlight struct{}

var _ Policy = LeastInFlight{}

// Name implements Policy.
func (LeastInFlight) Name() string { return "least-in-flight" }

// Choose returns the less busy of two random candidates.
func (LeastInFlight) Choose(candidates []Candidate, random *rand.Rand) int {
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}
