package raft

// HasReady reports whether Ready has any work for the driver.
func (c *Core) HasReady() bool {
	return len(c.messages) > 0 ||
		len(c.afterSync) > 0 ||
		len(c.readStates) > 0 ||
		c.snapshot != nil ||
		c.ownVotePending ||
		c.log.stable < c.log.last() ||
		len(c.log.applicable()) > 0 ||
		c.hardState().needsSync(c.persisted) || c.mustStoreCommit()
}

// Ready returns the work that has accumulated since the last Ready. The driver
// must call Advance once the work is done.
func (c *Core) Ready() Ready {
	state := c.hardState()
	ready := Ready{
		Messages:          c.messages,
		Snapshot:          c.snapshot,
		Entries:           c.log.unstable(),
		HardState:         state,
		MessagesAfterSync: c.afterSync,
		CommittedEntries:  c.log.applicable(),
		ReadStates:        c.readStates,
	}
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil || state.needsSync(c.persisted) || c.mustStoreCommit()
	c.messages = nil
	c.afterSync = nil
	c.readStates = nil
	c.snapshot = nil
	c.pendingReady = &ready
	return ready
}

// Advance tells the core that the work of the last Ready is done.
func (c *Core) Advance() {
	ready := c.pendingReady
	c.pendingReady = nil
	if ready.MustSync {
		c.persisted = ready.HardState
	}
	if n := len(ready.Entries); n > 0 {
		c.log.stable = ready.Entries[n-1].GetIndex()
	}
	if n := len(ready.CommittedEntries); n > 0 {
		c.log.delivered = ready.CommittedEntries[n-1].GetIndex()
	}
	if c.ownVotePending {
		c.ownVotePending = false
		c.countVote(c.id, true)
	}
	if c.role == Leader && len(ready.Entries) > 0 {
		c.acknowledgeOwnLog()
	}
}
