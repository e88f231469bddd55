package raft

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// follow takes the sender of an append, heartbeat or snapshot in the present
// term as its leader.
func (c *Core) follow(leader uint64) {
	if c.role == Leader {
		panic(fmt.Sprintf("raft: %d and %d both lead term %d", c.id, leader, c.term))
	}
	if c.role != Follower {
		c.becomeFollower(c.term, leader)
	}
	c.leader = leader
	c.electionTicks = 0
}

func (c *Core) handleAppend(m *apiv1.RaftMessage) {
	if m.GetIndex() < c.log.committed {
		c.acknowledge(m.GetFrom(), c.log.committed)
		return
	}
	if !c.log.matches(m.GetIndex(), m.GetLogTerm()) {
		c.refuseAppend(m)
		return
	}
	c.takeOver(m.GetEntries())
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	c.log.commitTo(min(m.GetCommit(), last))
	c.acknowledge(m.GetFrom(), last)
}

// takeOver appends the entries that the log lacks; those that conflict with
// them are dropped.
func (c *Core) takeOver(entries []*apiv1.LogEntry) {
	conflict := c.log.conflict(entries)
	if conflict == 0 {
		return
	}
	if conflict <= c.log.last() {
		c.log.truncateFrom(conflict)
		c.members.truncateFrom(conflict)
	}
	fresh := entries[conflict-entries[0].GetIndex():]
	c.log.append(fresh...)
	c.members.append(fresh)
}

func (c *Core) refuseAppend(m *apiv1.RaftMessage) {
	hint, hintTerm := c.log.lastNotAfter(min(m.GetIndex(), c.log.last()), m.GetLogTerm())
	c.sendAfterSync(&apiv1.RaftMessage{
		Type:       apiv1.RaftMessage_TYPE_APPEND_RESPONSE,
		To:         m.GetFrom(),
		Index:      m.GetIndex(),
		Reject:     true,
		RejectHint: hint,
		LogTerm:    hintTerm,
	})
}

// acknowledge tells the leader that the log matches up to index and is on disk
// once the message leaves.
func (c *Core) acknowledge(leader, index uint64) {
	c.sendAfterSync(&apiv1.RaftMessage{
		Type:  apiv1.RaftMessage_TYPE_APPEND_RESPONSE,
		To:    leader,
		Index: index,
	})
}

func (c *Core) handleHeartbeat(m *apiv1.RaftMessage) {
	// The leader sends no commit index past what it knows to match.
	c.log.commitTo(m.GetCommit())
	c.sendAfterSync(&apiv1.RaftMessage{
		Type:    apiv1.RaftMessage_TYPE_HEARTBEAT_RESPONSE,
		To:      m.GetFrom(),
		Context: m.GetContext(),
	})
}

func (c *Core) handleSnapshot(m *apiv1.RaftMessage) {
	meta := m.GetSnapshot()
	switch {
	case meta.GetIndex() <= c.log.committed:
		c.acknowledge(m.GetFrom(), c.log.committed)
	case c.log.matches(meta.GetIndex(), meta.GetTerm()):
		// The entries are here already.
		c.log.commitTo(meta.GetIndex())
		c.acknowledge(m.GetFrom(), meta.GetIndex())
	default:
		c.log.restore(meta)
		c.members = newMembershipLog(meta.GetIndex(), meta.GetMembership())
		c.snapshot = &Snapshot{Meta: meta, Data: m.GetSnapshotData()}
		c.acknowledge(m.GetFrom(), meta.GetIndex())
	}
}
