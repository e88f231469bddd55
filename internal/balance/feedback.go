package balance

import (
	"math/rand/v2"
	"time"
)

// minSuccessWeight is the least weight of an endpoint's success rate. It keeps a little
// traffic on failing endpoints, so that their recovery is noticed.
const minSuccessWeight = 0.02

// defaultLatency is assumed for endpoints whose latency has not been measured.
const defaultLatency = 10 * time.Millisecond

// FeedbackWeighted chooses a random candidate. Weights favor a short latency and a low
// failure rate in earlier requests.
type FeedbackWeighted struct{}

var _ Policy = FeedbackWeighted{}

// Name implements Policy.
func (FeedbackWeighted) Name() string { return "feedback-weighted" }

// Choose returns a weighted random candidate.
func (FeedbackWeighted) Choose(candidates []Candidate, random *rand.Rand) int {
	var total float64
	weights := make([]float64, len(candidates))
	for i, c := range candidates {
		weights[i] = weight(c)
		total += weights[i]
	}
	drawn := random.Float64() * total
	for i, w := range weights {
		if drawn -= w; drawn < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// weight returns the squared success rate divided by the latency in seconds.
func weight(c Candidate) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = defaultLatency
	}
	success := 1 - c.FailureRate
	return max(minSuccessWeight, success*success) / latency.Seconds()
}
