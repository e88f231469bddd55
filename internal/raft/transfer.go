package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// TransferLeadership begins to hand leadership to the voter that is most up to
// date. Proposals are refused until the transfer succeeds or an election timeout
// has passed. Errors: ErrNotLeader; ErrInvalidChange if no other voter answers.
func (c *Core) TransferLeadership() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return nil
	}
	best := c.bestVoter()
	if best == 0 {
		return ErrInvalidChange
	}
	c.transferee = best
	c.transferAge = 0
	c.continueTransfer(best)
	return nil
}

// continueTransfer lets the transferee campaign once it holds all entries.
func (c *Core) continueTransfer(id uint64) {
	if c.transferee != id || c.transferee == 0 {
		return
	}
	if c.progress[id].match == c.log.last() {
		c.send(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_TIMEOUT_NOW, To: id})
	}
}

func (c *Core) tickTransfer() {
	if c.transferee == 0 {
		return
	}
	c.transferAge++
	if c.transferAge >= c.options.ElectionTicks {
		c.transferee = 0
	}
}
