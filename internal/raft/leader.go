package raft

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// becomeLeader takes over leadership of the current term. It appends an empty
// entry, because a leader may only commit entries of its own term by counting.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.responses.record(c.campaignTicks)
	c.quorumSilence = 0
	c.votes = nil // or a late one would make it the leader again after it has stepped down
	c.resetRole()
	c.progress = make(map[uint64]*progress)
	c.updateProgressMembers()
	c.appendEntries(&apiv1.LogEntry{Kind: apiv1.EntryKind_ENTRY_KIND_EMPTY})
	c.broadcastAppend()
}

// updateProgressMembers adds and removes progress so that each member of the
// latest membership has one, and each voter whose removal is not committed but needs a
// majority of the previous voters. The leader's own stays even after it has removed
// itself. A leadership transfer to a member that no longer votes is aborted.
func (c *Core) updateProgressMembers() {
	membership, departing := c.Membership(), c.electorate().departing()
	for _, members := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners(), departing} {
		for _, member := range members {
			c.addProgress(member.GetIncarnation())
		}
	}
	c.addProgress(c.id)
	for id := range c.progress {
		isDeparting := slices.ContainsFunc(departing, func(m *apiv1.MemberInfo) bool { return m.GetIncarnation() == id })
		if id != c.id && !isMember(membership, id) && !isDeparting {
			delete(c.progress, id)
		}
	}
	if c.transferee != 0 && !isVoter(membership, c.transferee) {
		c.transferee = 0
	}
}

func (c *Core) addProgress(id uint64) {
	if c.progress[id] != nil {
		return
	}
	p := newProgress(c.log.last()+1, c.options.MaxInflight)
	if id == c.id {
		p.match = c.log.stable
	}
	c.progress[id] = p
}

// appendEntries appends the entries to the leader's log and sets their index and
// their term, the current one.
func (c *Core) appendEntries(entries ...*apiv1.LogEntry) {
	next := c.log.last() + 1
	for i, entry := range entries {
		entry.Term = c.term
		entry.Index = next + uint64(i)
	}
	c.log.append(entries...)
	if c.members.append(entries) {
		c.updateProgressMembers()
	}
}

// acknowledgeOwnLog counts the leader's own entries towards the commit index up
// to the last one on disk.
func (c *Core) acknowledgeOwnLog() {
	c.progress[c.id].acknowledge(c.log.stable)
	c.maybeCommit()
}

// maybeCommit raises the commit index to the last entry that a majority of the
// voters has on disk. Only entries of the current term are committed by counting
// copies: a later leader may still overwrite an entry of an older term although
// a majority holds it.
func (c *Core) maybeCommit() {
	index := c.majorityMatch()
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return
	}
	wasJoint := c.electorate().previous != nil
	c.log.commitTo(index)
	c.beginPostponedReads()
	if !isVoter(c.Membership(), c.id) && c.members.latest().index <= c.log.committed {
		c.stepDownAfterRemoval()
		return
	}
	if wasJoint && c.electorate().previous == nil {
		c.leaveJointMembership()
	}
}

// majorityMatch returns the highest index up to which a majority of the voters
// matches the leader's log.
func (c *Core) majorityMatch() uint64 {
	return c.electorate().majorityValue(func(id uint64) uint64 { return c.progress[id].match })
}

// leaveJointMembership forgets the voters that left once a membership that changes several
// is committed. The others learn of the commit at once: until then, a candidate among them
// needs the votes of those that left.
func (c *Core) leaveJointMembership() {
	c.updateProgressMembers()
	c.broadcastHeartbeat()
	c.maybeCommit()
}

// stepDownAfterRemoval ends the leadership of a leader whose own removal is
// committed. It asks the most up-to-date voter to campaign at once, so that the
// cluster does not wait for an election timeout.
func (c *Core) stepDownAfterRemoval() {
	c.broadcastAppend()
	c.messages = append(c.messages, c.Resign()...)
}

// mostUpToDateVoter returns the other voter with the highest match index among
// those that responded within the election timeout, or 0 if there is none. Ties
// go to the lowest incarnation.
func (c *Core) mostUpToDateVoter() uint64 {
	best := uint64(0)
	for _, voter := range c.Membership().GetVoters() {
		id := voter.GetIncarnation()
		if id == c.id || c.progress[id].ticksSinceResponse >= c.options.ElectionTicks {
			continue
		}
		if best == 0 || c.progress[id].match > c.progress[best].match ||
			c.progress[id].match == c.progress[best].match && id < best {
			best = id
		}
	}
	return best
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
// Until then a new leader's commit index may be behind what earlier leaders
// committed.
func (c *Core) hasCommittedInTerm() bool {
	term, ok := c.log.term(c.log.committed)
	return ok && term == c.term
}

func (c *Core) handleAppendResponse(m *apiv1.RaftMessage) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.ticksSinceResponse = 0
	if m.GetReject() {
		c.handleRejection(m, p)
		return
	}
	if !p.acknowledge(m.GetIndex()) && p.state != probing {
		return
	}
	c.continueReplication(m.GetFrom(), p)
}

// continueReplication sends the member what it lacks after it has acknowledged entries
// up to p.match.
func (c *Core) continueReplication(id uint64, p *progress) {
	switch {
	case p.state == probing:
		p.become(replicating)
	case p.state == snapshotting && p.match >= c.log.compactedIndex:
		p.become(replicating)
	case p.state == replicating:
		p.inflights.freeTo(p.match)
	}
	c.maybeCommit()
	if c.progress[id] == nil { // the member has left, or the leadership has ended
		return
	}
	c.sendPendingAppends(id)
	c.continueTransfer(id)
}

// handleRejection moves the member's next index back and sends from there. The
// hint in the response spares a round trip for each entry that does not match.
func (c *Core) handleRejection(m *apiv1.RaftMessage, p *progress) {
	hint := m.GetRejectHint()
	if m.GetLogTerm() > 0 {
		hint, _ = c.log.findConflictByTerm(min(hint, c.log.last()), m.GetLogTerm())
	}
	if !p.reject(m.GetIndex(), hint) {
		return
	}
	if p.state == replicating {
		p.become(probing)
	}
	c.sendPendingAppends(m.GetFrom())
}

// handleHeartbeatResponse confirms read-index rounds and sends the member what
// it lacks, also if an append or its response was lost.
func (c *Core) handleHeartbeatResponse(m *apiv1.RaftMessage) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.ticksSinceResponse = 0
	p.probeSent = false
	// A snapshot is acknowledged once, and that message may be lost. What the member has
	// committed is on its disk and matches.
	if p.state == snapshotting && p.acknowledge(m.GetCommit()) {
		c.continueReplication(m.GetFrom(), p)
		if c.progress[m.GetFrom()] == nil {
			return
		}
	}
	if m.GetContext() > p.answeredReadSequence {
		p.answeredReadSequence = m.GetContext()
		c.confirmReads()
		if p.state == replicating {
			return // response to a read-index round; the next heartbeat detects lost appends
		}
	}
	if p.snapshotPassed() {
		p.become(probing)
	}
	if p.state == replicating && p.inflights.full() {
		p.inflights.freeFirst()
	}
	if p.match < c.log.last() {
		c.sendAppend(m.GetFrom(), true)
	}
	c.continueTransfer(m.GetFrom())
}
