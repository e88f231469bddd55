package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is one endpoint with a free slot, as a Policy sees it.
type Candidate struct {
	ID          string
	Proximity   Proximity
	Slots       int           // that this entry may use at once
	InFlight    int           // requests of this entry
	Latency     time.Duration // smoothed time to answer; 0: none measured
	FailureRate float64       // smoothed share of requests that failed, 0 to 1
}

// Policy chooses among candidates. It is not safe for concurrent use.
type Policy interface {
	// Name identifies the policy in settings and measurements.
	Name() string
	// Choose returns the index of the chosen candidate. There is at least one.
	Choose(candidates []Candidate, random *rand.Rand) int
}
