package balance

import "math/rand/v2"

// RoundRobin chooses the candidates in turn, ordered by id.
type RoundRobin struct {
	lastID string // of the last choice
}

var _ Policy = (*RoundRobin)(nil)

// Name implements Policy.
func (p *RoundRobin) Name() string { return "round-robin" }

// Choose returns the candidate with the next higher id after the last choice, or the
// lowest id if there is none.
func (p *RoundRobin) Choose(candidates []Candidate, _ *rand.Rand) int {
	lowest, next := 0, -1
	for i, c := range candidates {
		if c.ID < candidates[lowest].ID {
			lowest = i
		}
		if c.ID > p.lastID && (next < 0 || c.ID < candidates[next].ID) {
			next = i
		}
	}
	if next < 0 {
		next = lowest
	}
	p.lastID = candidates[next].ID
	return next
}
