package shares

import "sort"

// allocation holds what one entry still needs of a divided amount, and what it was
// granted.
type allocation struct {
	need    int32
	granted int32
}

// divideMaxMin divides the amount by max-min fairness: small needs are met in full, and
// the larger ones share the rest equally. A remainder that can't be divided equally goes
// to the first allocations of the list. It returns what is left.
func divideMaxMin(amount int32, allocations []*allocation) int32 {
	byNeed := append([]*allocation(nil), allocations...)
	sort.SliceStable(byNeed, func(i, j int) bool { return byNeed[i].need < byNeed[j].need })
	var share int32
	for i, a := range byNeed {
		// Once a need is not met in full, the later ones are at least as large and
		// get the same share, which must not grow by the remainder.
		if i == 0 || byNeed[i-1].need == 0 {
			share = amount / int32(len(byNeed)-i)
		}
		given := min(a.need, share)
		a.granted += given
		a.need -= given
		amount -= given
	}
	for _, a := range allocations {
		if amount > 0 && a.need > 0 {
			a.granted++
			a.need--
			amount--
		}
	}
	return amount
}
