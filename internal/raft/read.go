package raft

import "slices"

// ReadIndex begins a read-index round. The round is returned in Ready.Reads
// once a majority has confirmed after this call that the member leads and an
// entry of its term is committed. If the member stops leading, the round is
// dropped. Error: ErrNotLeader.
func (c *Core) ReadIndex(round uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if !c.committedInTerm() {
		c.reads.postponed = append(c.reads.postponed, round)
		return nil
	}
	c.beginRead(round)
	return nil
}

func (c *Core) beginRead(round uint64) {
	c.reads.begin(round, c.log.committed)
	c.broadcastHeartbeat()
	c.confirmReads()
}

func (c *Core) beginPostponedReads() {
	if !c.committedInTerm() {
		return
	}
	postponed := c.reads.postponed
	c.reads.postponed = nil
	for _, round := range postponed {
		c.beginRead(round)
	}
}

// confirmReads hands out the rounds that a majority has answered.
func (c *Core) confirmReads() {
	if len(c.reads.begun) == 0 {
		return
	}
	membership := c.Membership()
	var stamps []uint64
	for _, voter := range membership.GetVoters() {
		id := voter.GetIncarnation()
		stamp := c.progress[id].confirmedReads
		if id == c.id {
			stamp = c.reads.lastStamp
		}
		stamps = append(stamps, stamp)
	}
	slices.Sort(stamps)
	stamp := stamps[len(stamps)-quorum(membership)]
	c.confirmed = append(c.confirmed, c.reads.confirm(stamp)...)
}
