package raft

// HasReady reports whether there is work for the driver.
func (c *Core) HasReady() bool {
	return len(c.messages) > 0 ||
		len(c.afterSync) > 0 ||
		len(c.confirmed) > 0 ||
		c.snapshot != nil ||
		c.ownVoteDue ||
		c.log.stable < c.log.last() ||
		len(c.log.applicable()) > 0 ||
		c.hardState().needsSync(c.saved)
}

// Ready returns the work that has come up. Advance must follow.
func (c *Core) Ready() Ready {
	state := c.hardState()
	ready := Ready{
		Messages:          c.messages,
		Snapshot:          c.snapshot,
		Entries:           c.log.unstable(),
		HardState:         state,
		MessagesAfterSync: c.afterSync,
		CommittedEntries:  c.log.applicable(),
		ReadStates:        c.confirmed,
	}
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil || state.needsSync(c.saved)
	c.messages = nil
	c.afterSync = nil
	c.confirmed = nil
	c.snapshot = nil
	c.current = &ready
	return ready
}

// Advance tells the core that the last Ready has been carried out.
func (c *Core) Advance() {
	ready := c.current
	c.current = nil
	if ready.MustSync {
		c.saved = ready.HardState
	}
	if n := len(ready.Entries); n > 0 {
		c.log.stable = ready.Entries[n-1].GetIndex()
	}
	if n := len(ready.CommittedEntries); n > 0 {
		c.log.handed = ready.CommittedEntries[n-1].GetIndex()
	}
	if c.ownVoteDue {
		c.ownVoteDue = false
		c.countVote(c.id, true)
	}
	if c.role == Leader && len(ready.Entries) > 0 {
		c.acknowledgeOwn()
	}
}
