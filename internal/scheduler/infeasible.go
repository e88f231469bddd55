package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

// infeasibleAmounts caches amounts that fit on no worker. It is valid until
// capacity is added or freed.
type infeasibleAmounts struct {
	epoch   uint64
	amounts []resources.Amount
}

// maxInfeasibleAmounts bounds the cached amounts.
const maxInfeasibleAmounts = 32

// isInfeasible reports whether the amount is at least as large as one that is
// known to fit on no worker. It may return false for an infeasible amount.
func (c *Cell) isInfeasible(amount resources.Amount) bool {
	if c.infeasible.epoch != c.capacityEpoch {
		return false
	}
	for _, known := range c.infeasible.amounts {
		if known.FitsIn(amount) {
			return true
		}
	}
	return false
}

func (c *Cell) markInfeasible(amount resources.Amount) {
	if c.infeasible.epoch != c.capacityEpoch {
		c.infeasible.epoch = c.capacityEpoch
		c.infeasible.amounts = c.infeasible.amounts[:0]
	}
	if len(c.infeasible.amounts) < maxInfeasibleAmounts {
		c.infeasible.amounts = append(c.infeasible.amounts, amount)
	}
}
