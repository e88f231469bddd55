package balance

import (
	"math/rand/v2"
	"time"
)

// feedbackFloor keeps a little traffic on endpoints that were found bad, so
// that their recovery is noticed.
const feedbackFloor = 0.02

// feedbackUnmeasured is the latency assumed of an endpoint without feedback.
const feedbackUnmeasured = 10 * time.Millisecond

// FeedbackWeighted draws a candidate at random, weighted by the quality observed in
// earlier requests: short latency and few failures.
type FeedbackWeighted struct{}

var _ Policy = FeedbackWeighted{}

// Name implements Policy.
func (FeedbackWeighted) Name() string { return "feedback-weighted" }

// Choose draws one candidate by weight.
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

func weight(c Candidate) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = feedbackUnmeasured
	}
	success := 1 - c.FailureRate
	return max(feedbackFloor, success*success) / latency.Seconds()
}
