package raft

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// broadcastAppend sends each other member the entries it lacks. Members are
// visited in the membership's order: the core is deterministic.
func (c *Core) broadcastAppend() {
	c.eachOther(c.sendAppends)
}

func (c *Core) eachOther(visit func(id uint64)) {
	membership := c.Membership()
	for _, members := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners()} {
		for _, member := range members {
			if member.GetIncarnation() != c.id {
				visit(member.GetIncarnation())
			}
		}
	}
}

// sendAppends sends all entries that the window allows.
func (c *Core) sendAppends(id uint64) {
	for c.sendAppend(id, false) {
		if c.progress[id].state != replicating {
			return
		}
	}
}

// sendAppend sends one append message, or a snapshot if the entries that the
// member lacks are compacted. It reports whether it sent entries. An empty
// append lets a member that lost entries on the way say so.
func (c *Core) sendAppend(id uint64, evenEmpty bool) bool {
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
	entries := c.log.sliceBytes(p.next, c.options.MaxAppendBytes)
	if len(entries) == 0 && !evenEmpty && p.state != probing {
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
	p.sent(previous+uint64(len(entries)), len(entries))
	return len(entries) > 0
}

// sendSnapshot queues a snapshot message; the driver fills in the newest stored
// snapshot.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	if p.idleTicks >= c.options.ElectionTicks {
		return // unreachable at present
	}
	p.become(snapshotting)
	c.send(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_SNAPSHOT, To: id})
}

// ReportSnapshotFailure tells the core that a snapshot message could not be delivered.
func (c *Core) ReportSnapshotFailure(id uint64) {
	p := c.progress[id]
	if c.role == Leader && p != nil && p.state == snapshotting {
		p.become(probing)
		p.probeSent = true // until the next heartbeat is answered
	}
}

func (c *Core) broadcastHeartbeat() {
	c.eachOther(func(id uint64) {
		c.send(&apiv1.RaftMessage{
			Type:    apiv1.RaftMessage_TYPE_HEARTBEAT,
			To:      id,
			Commit:  min(c.progress[id].match, c.log.committed),
			Context: c.reads.lastStamp,
		})
	})
}
