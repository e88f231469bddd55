package shares

import "sort"

// claim is what one entry needs of a divided amount, and what it gets.
type claim struct {
	need int32
	got  int32
}

// fill divides the amount by max-min fairness: small needs are met whole, and
// the larger ones share the rest equally. What can't be divided equally goes
// to the first ones. It returns what is left.
func fill(amount int32, claims []*claim) int32 {
	byNeed := append([]*claim(nil), claims...)
	sort.SliceStable(byNeed, func(i, j int) bool { return byNeed[i].need < byNeed[j].need })
	var share int32
	for i, c := range byNeed {
		// Once a need is not met whole, the later ones are as large and get as
		// much: the share must not grow by what is left over.
		if i == 0 || byNeed[i-1].need == 0 {
			share = amount / int32(len(byNeed)-i)
		}
		given := min(c.need, share)
		c.got += given
		c.need -= given
		amount -= given
	}
	for _, c := range claims {
		if amount > 0 && c.need > 0 {
			c.got++
			c.need--
			amount--
		}
	}
	return amount
}
