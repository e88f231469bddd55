package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate describes an endpoint with a free slot to a Policy.
type Candidate struct {
	ID          string
	Proximity   Proximity
	Slots       int           // slots granted to this entry
	InFlight    int           // requests of this entry in flight
	Latency     time.Duration // moving average until the response is complete; 0: not measured
	FailureRate float64       // moving average, 0 to 1
}

// Policy chooses an endpoint among candidates. It need not be safe for concurrent use.
type Policy interface {
	// Name returns the name of the policy in settings and metrics.
	Name() string
	// Choose returns the index of the chosen candidate. The list is not empty.
	Choose(candidates []Candidate, random *rand.Rand) int
}
