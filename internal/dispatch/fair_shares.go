package dispatch

import (
	"cmp"
	"slices"
)

// shareClaim is what one workspace claims of a capacity.
type shareClaim struct {
	weight float64 // not negative
	demand float64 // the dominant share of what it uses and waits for
}

// fairShares divides the available fraction of a capacity among the claims by weight. What one
// claim does not use goes to the others. It returns the share that each claim would get if it used all of
// it, at most 1. If all claims can be met, each share is 1.
func fairShares(claims []shareClaim, available float64) []float64 {
	order := make([]int, len(claims))
	weightLeft, demand := 0.0, 0.0
	for i, claim := range claims {
		order[i] = i
		weightLeft += claim.weight
		demand += claim.demand
	}
	shares := make([]float64, len(claims))
	if demand <= available {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	// The claims that are met first are those with the lowest ratio of demand to weight.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].demand*claims[b].weight, claims[b].demand*claims[a].weight)
	})
	left, level := max(0, available), 0.0 // the share for a weight of 1
	for _, i := range order {
		if weightLeft <= 0 {
			break // only claims without weight are left
		}
		level = left / weightLeft
		if claims[i].demand > level*claims[i].weight {
			break
		}
		left -= claims[i].demand
		weightLeft -= claims[i].weight
	}
	for i, claim := range claims {
		shares[i] = min(1, level*claim.weight)
	}
	return shares
}

// dominantShare returns the largest fraction of any resource of the capacity that the amount is. A
// resource without capacity counts in full if any of it is used.
func dominantShare(amount, capacity resources) float64 {
	share := 0.0
	for _, pair := range [][2]int64{{amount.cpu, capacity.cpu}, {amount.memory, capacity.memory}, {amount.accelerators, capacity.accelerators}} {
		switch {
		case pair[0] <= 0:
		case pair[1] <= 0:
			share = max(share, 1)
		default:
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}
