package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// TransferLeadership starts a leadership transfer to the most up-to-date voter.
// Proposals are refused until the transfer succeeds or the election timeout has
// passed. It has no effect while a transfer is in progress. Errors: ErrNotLeader;
// ErrInvalidChange if no other voter responds.
func (c *Core) TransferLeadership() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return nil
	}
	best := c.mostUpToDateVoter()
	if best == 0 {
		return ErrInvalidChange
	}
	c.transferee = best
	c.transferTicks = 0
	c.continueTransfer(best)
	return nil
}

// continueTransfer asks the member to campaign if it is the transferee and has
// all entries.
func (c *Core) continueTransfer(id uint64) {
	if c.transferee != id || c.transferee == 0 {
		return
	}
	if c.progress[id].match == c.log.last() {
		c.send(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_TIMEOUT_NOW, To: id})
	}
}

// tickTransfer aborts a leadership transfer after the election timeout.
func (c *Core) tickTransfer() {
	if c.transferee == 0 {
		return
	}
	c.transferTicks++
	if c.transferTicks >= c.options.ElectionTicks {
		c.transferee = 0
	}
}
