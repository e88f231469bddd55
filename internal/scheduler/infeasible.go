package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

// infeasibleAmounts remembers amounts that fit on no worker, until room is gained.
type infeasibleAmounts struct {
	epoch   uint64
	amounts []resources.Amount
}

// maxInfeasibleAmounts bounds the amounts remembered.
const maxInfeasibleAmounts = 32

// isInfeasible reports whether an amount is at least as large as one that
// fits on no worker.
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
