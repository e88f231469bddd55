package admission

import (
	"math"
	"time"
)

const (
	// spreadWidth is the width of the spread of retry times, as a fraction of the time.
	spreadWidth = 0.5
	// goldenRatio makes consecutive values fall far from each other and evenly in the long run.
	goldenRatio = 0.6180339887498949
)

// spread returns the time, varied from one number to the next, so that callers who are refused
// together don't come back together. The mean stays the time.
func spread(wait time.Duration, number int) time.Duration {
	_, fraction := math.Modf(float64(number) * goldenRatio)
	return time.Duration(float64(wait) * (1 + spreadWidth*(fraction-0.5)))
}
