package raft

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// broadcastAppend sends every other member the entries that it lacks. Members are
// visited in the order of the membership, to keep the core deterministic.
func (c *Core) broadcastAppend() {
	c.forEachPeer(c.sendPendingAppends)
}

// forEachPeer calls visit for every other voter and learner, and the voters that are about to leave.
func (c *Core) forEachPeer(visit func(id uint64)) {
	membership := c.Membership()
	for _, members := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners(), c.electorate().departing()} {
		for _, member := range members {
			if member.GetIncarnation() != c.id {
				visit(member.GetIncarnation())
			}
		}
	}
}

// sendPendingAppends sends the entries that the member lacks, as far as its
// in-flight window allows.
func (c *Core) sendPendingAppends(id uint64) {
	for c.sendAppend(id, false) {
		if c.progress[id].state != replicating {
			return
		}
	}
}

// sendAppend sends one append message, or a snapshot if the entries that the
// member lacks are compacted. It reports whether it sent entries. With allowEmpty
// set it sends an append without entries too, which the member rejects if earlier
// appends were lost. A repeated probe has no entries: the first one may still be on its way
// over a slow link, and its copies would queue up there.
func (c *Core) sendAppend(id uint64, allowEmpty bool) bool {
	p := c.progress[id]
	if p.paused() {
		return false
	}
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.sendSnapshot(id, p)
		return false
	}
	var entries []*apiv1.LogEntry
	if !p.entriesSent {
		entries = c.log.sliceLimited(p.next, c.options.MaxAppendBytes)
	}
	if len(entries) == 0 && !allowEmpty && p.state != probing {
		return false
	}
	c.send(&apiv1.RaftMessage{
		Type:    apiv1.RaftMessage_TYPE_APPEND,
		To:      id,
		Index:   previous,
		LogTerm: term,
		Entries: entries,
		Commit:  c.log.committed,
	})
	p.recordSent(previous+uint64(len(entries)), len(entries))
	return len(entries) > 0
}

// sendSnapshot queues a snapshot message without content; the driver fills in the
// newest stored snapshot.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	if p.ticksSinceResponse >= c.options.ElectionTicks {
		return // the member does not respond
	}
	p.become(snapshotting)
	c.send(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_SNAPSHOT, To: id})
}

// ReportSnapshotFailure tells the core that a snapshot message to the member
// could not be delivered.
func (c *Core) ReportSnapshotFailure(id uint64) {
	p := c.progress[id]
	if c.role == Leader && p != nil && p.state == snapshotting {
		p.become(probing)
		p.probeSent = true // wait for the next heartbeat response
	}
}

// ReportSnapshotDelivered tells the core that a snapshot message has reached the
// member, which may still lose it or its acknowledgement.
func (c *Core) ReportSnapshotDelivered(id uint64) {
	p := c.progress[id]
	if c.role == Leader && p != nil && p.state == snapshotting {
		p.sequenceAfterSnapshot = c.reads.nextSequence()
	}
}

// broadcastHeartbeat sends every other member a heartbeat. Its commit index is
// never past the member's match index, so the member's log contains it.
func (c *Core) broadcastHeartbeat() {
	c.forEachPeer(func(id uint64) {
		c.send(&apiv1.RaftMessage{
			Type:    apiv1.RaftMessage_TYPE_HEARTBEAT,
			To:      id,
			Commit:  min(c.progress[id].match, c.log.committed),
			Context: c.reads.lastSequence,
		})
	})
}
