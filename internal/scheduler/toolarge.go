package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

// tooLarge remembers amounts that fit on no worker, until room is gained.
type tooLarge struct {
	growth  uint64
	amounts []resources.Amount
}

// maxTooLarge bounds the amounts remembered.
const maxTooLarge = 32

// isTooLarge reports whether an amount is at least as large as one that
// fits on no worker.
func (c *Cell) isTooLarge(amount resources.Amount) bool {
	if c.large.growth != c.growth {
		return false
	}
	for _, known := range c.large.amounts {
		if known.FitsIn(amount) {
			return true
		}
	}
	return false
}

func (c *Cell) noteTooLarge(amount resources.Amount) {
	if c.large.growth != c.growth {
		c.large.growth = c.growth
		c.large.amounts = c.large.amounts[:0]
	}
	if len(c.large.amounts) < maxTooLarge {
		c.large.amounts = append(c.large.amounts, amount)
	}
}
