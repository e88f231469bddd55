package admission

import "math"

// Resources that Amounts hold.
const (
	cpu    = iota // cores
	memory        // MB
	accelerators
	resourceCount
)

// Amounts holds one amount for each resource: cores, MB and accelerators, or these multiplied by
// seconds for work.
type Amounts [resourceCount]float64

// AmountsOf returns amounts from thousandths of a core, MB and accelerators.
func AmountsOf(cpuMillis, memoryMB, acceleratorCount int64) Amounts {
	return Amounts{float64(cpuMillis) / 1000, float64(memoryMB), float64(acceleratorCount)}
}

// Plus returns the sum.
func (a Amounts) Plus(b Amounts) Amounts {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

// Times returns the amounts multiplied by the factor.
func (a Amounts) Times(factor float64) Amounts {
	for i := range a {
		a[i] *= factor
	}
	return a
}

// fitTolerance keeps rounding from hiding a fit.
const fitTolerance = 1e-6

// fitCount returns how many times a fits into b, at most so many times.
func (a Amounts) fitCount(b Amounts, most int) int {
	count := float64(most)
	for i := range a {
		if a[i] > 0 {
			count = min(count, math.Floor(b[i]/a[i]+fitTolerance))
		}
	}
	return int(max(0, count))
}

// dominantShare returns the largest share of the capacity that a is of any resource.
func (a Amounts) dominantShare(capacity Amounts) float64 {
	share := 0.0
	for i := range a {
		if a[i] > 0 && capacity[i] > 0 {
			share = max(share, a[i]/capacity[i])
		}
	}
	return share
}

// Utilization returns the share of the capacity that is in use, of the resource of which most is.
func Utilization(used, capacity Amounts) float64 { return used.dominantShare(capacity) }
