package raft

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.resetRole()
	c.progress = make(map[uint64]*progress)
	c.syncProgress()
	c.appendEntries(&apiv1.LogEntry{Kind: apiv1.EntryKind_ENTRY_KIND_EMPTY})
	c.broadcastAppend()
}

// syncProgress makes the set of progresses follow the membership. The leader's
// own stays even when it has removed itself.
func (c *Core) syncProgress() {
	membership := c.Membership()
	for _, members := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners()} {
		for _, member := range members {
			c.addProgress(member.GetIncarnation())
		}
	}
	c.addProgress(c.id)
	for id := range c.progress {
		if id != c.id && !isMember(membership, id) {
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

// appendEntries adds entries of the present term to the leader's log.
func (c *Core) appendEntries(entries ...*apiv1.LogEntry) {
	next := c.log.last() + 1
	for i, entry := range entries {
		entry.Term = c.term
		entry.Index = next + uint64(i)
	}
	c.log.append(entries...)
	if c.members.append(entries) {
		c.syncProgress()
	}
}

// acknowledgeOwn counts the leader's own log as far as it is on disk.
func (c *Core) acknowledgeOwn() {
	c.progress[c.id].acknowledge(c.log.stable)
	c.maybeCommit()
}

// maybeCommit raises the commit index to what a majority of the voters has on
// disk. Only entries of the present term are committed by counting: a majority
// may hold an older entry that a later leader still overwrites.
func (c *Core) maybeCommit() {
	index := c.majorityMatch()
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return
	}
	c.log.commitTo(index)
	c.beginPostponedReads()
	if !isVoter(c.Membership(), c.id) && c.members.latest().index <= c.log.committed {
		c.leaveLeadership()
	}
}

func (c *Core) majorityMatch() uint64 {
	membership := c.Membership()
	matches := make([]uint64, 0, len(membership.GetVoters()))
	for _, voter := range membership.GetVoters() {
		matches = append(matches, c.progress[voter.GetIncarnation()].match)
	}
	slices.Sort(matches)
	return matches[len(matches)-quorum(membership)]
}

// leaveLeadership ends the term of a leader whose own removal is committed. It
// lets the voter that is most up to date campaign at once.
func (c *Core) leaveLeadership() {
	c.broadcastAppend()
	if successor := c.bestVoter(); successor != 0 {
		c.send(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_TIMEOUT_NOW, To: successor})
	}
	c.becomeFollower(c.term, 0)
}

// bestVoter returns the other voter whose log is known to be longest; the
// lowest incarnation decides a tie.
func (c *Core) bestVoter() uint64 {
	best := uint64(0)
	for _, voter := range c.Membership().GetVoters() {
		id := voter.GetIncarnation()
		if id == c.id || c.progress[id].idleTicks >= c.options.ElectionTicks {
			continue
		}
		if best == 0 || c.progress[id].match > c.progress[best].match ||
			c.progress[id].match == c.progress[best].match && id < best {
			best = id
		}
	}
	return best
}

// committedInTerm reports whether an entry of the present term is committed.
// Before that a new leader does not know the commit index.
func (c *Core) committedInTerm() bool {
	term, ok := c.log.term(c.log.committed)
	return ok && term == c.term
}

func (c *Core) handleAppendResponse(m *apiv1.RaftMessage) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.idleTicks = 0
	if m.GetReject() {
		c.handleRejection(m, p)
		return
	}
	if !p.acknowledge(m.GetIndex()) && p.state != probing {
		return
	}
	switch {
	case p.state == probing:
		p.become(replicating)
	case p.state == snapshotting && p.match >= c.log.offset:
		p.become(replicating)
	case p.state == replicating:
		p.inflights.freeTo(m.GetIndex())
	}
	c.maybeCommit()
	if c.role != Leader {
		return
	}
	c.sendAppends(m.GetFrom())
	c.continueTransfer(m.GetFrom())
}

func (c *Core) handleRejection(m *apiv1.RaftMessage, p *progress) {
	hint := m.GetRejectHint()
	if m.GetLogTerm() > 0 {
		hint, _ = c.log.lastNotAfter(min(hint, c.log.last()), m.GetLogTerm())
	}
	if !p.reject(m.GetIndex(), hint) {
		return
	}
	if p.state == replicating {
		p.become(probing)
	}
	c.sendAppends(m.GetFrom())
}

func (c *Core) handleHeartbeatResponse(m *apiv1.RaftMessage) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.idleTicks = 0
	p.probeSent = false
	if m.GetContext() > p.confirmedReads {
		p.confirmedReads = m.GetContext()
		c.confirmReads()
		if p.state == replicating {
			return // answers a read-index round; lost appends are looked for at the next heartbeat
		}
	}
	if p.state == replicating && p.inflights.full() {
		p.inflights.freeFirst()
	}
	if p.match < c.log.last() {
		c.sendAppend(m.GetFrom(), true)
	}
	c.continueTransfer(m.GetFrom())
}
