package raft

// ReadIndex starts a read-index round; round is an identifier of the caller's
// choice. The round is returned in Ready.ReadStates once an entry of the current
// term is committed and a majority has confirmed, after this call, that the
// member is still the leader. If the member loses leadership, the round is
// dropped. Error: ErrNotLeader.
func (c *Core) ReadIndex(round uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if !c.hasCommittedInTerm() {
		c.reads.postponed = append(c.reads.postponed, round)
		return nil
	}
	c.beginReadRound(round)
	return nil
}

func (c *Core) beginReadRound(round uint64) {
	c.reads.begin(round, c.log.committed)
	c.broadcastHeartbeat()
	c.confirmReads()
}

// beginPostponedReads starts the rounds that waited for the first commit of the
// term.
func (c *Core) beginPostponedReads() {
	if !c.hasCommittedInTerm() {
		return
	}
	postponed := c.reads.postponed
	c.reads.postponed = nil
	for _, round := range postponed {
		c.beginReadRound(round)
	}
}

// confirmReads moves the rounds that a majority has answered to the next Ready.
func (c *Core) confirmReads() {
	if len(c.reads.inFlight) == 0 {
		return
	}
	sequence := c.electorate().majorityValue(func(id uint64) uint64 {
		if id == c.id {
			return c.reads.lastSequence
		}
		return c.progress[id].answeredReadSequence
	})
	c.readStates = append(c.readStates, c.reads.confirm(sequence)...)
}
