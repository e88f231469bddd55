package balance

import "math/rand/v2"

// RoundRobin takes the candidates in turn, by id.
type RoundRobin struct {
	last string
}

var _ Policy = (*RoundRobin)(nil)

// Name implements Policy.
func (p *RoundRobin) Name() string { return "round-robin" }

// Choose returns the candidate whose id follows the last chosen one's.
func (p *RoundRobin) Choose(candidates []Candidate, _ *rand.Rand) int {
	lowest, next := 0, -1
	for i, c := range candidates {
		if c.ID < candidates[lowest].ID {
			lowest = i
		}
		if c.ID > p.last && (next < 0 || c.ID < candidates[next].ID) {
			next = i
		}
	}
	if next < 0 {
		next = lowest
	}
	p.last = candidates[next].ID
	return next
}
