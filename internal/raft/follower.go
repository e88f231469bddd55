package raft

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// followLeader makes this member a follower of leader, the sender of an append,
// heartbeat or snapshot in the current term. Two leaders in one term are a
// violated invariant, so it panics.
func (c *Core) followLeader(leader uint64) {
	if c.role == Leader {
		panic(fmt.Sprintf("raft: %d and %d both lead term %d", c.id, leader, c.term))
	}
	if c.role != Follower {
		c.becomeFollower(c.term, leader)
	}
	c.leader = leader
	c.electionTicks = 0
	c.recordSilence()
	c.campaigns = 0
	c.deferred = false
	c.promised = 0
	c.votes = nil // the leader may change the voters, so that they would become a majority
}

// recordSilence records how long the leader was silent before a message of it.
func (c *Core) recordSilence() {
	if c.heardInTerm == c.term {
		c.silences.record(c.silenceTicks)
	}
	c.heardInTerm, c.silenceTicks = c.term, 0
}

func (c *Core) handleAppend(m *apiv1.RaftMessage) {
	if m.GetIndex() < c.log.committed {
		c.acknowledge(m.GetFrom(), c.log.committed)
		return
	}
	if !c.log.matches(m.GetIndex(), m.GetLogTerm()) {
		c.rejectAppend(m)
		return
	}
	c.appendMissing(m.GetEntries())
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	c.log.commitTo(min(m.GetCommit(), last))
	c.acknowledge(m.GetFrom(), last)
}

// appendMissing appends the entries that the log lacks, after it drops the log's
// own entries that conflict with them.
func (c *Core) appendMissing(entries []*apiv1.LogEntry) {
	conflict := c.log.conflict(entries)
	if conflict == 0 {
		return
	}
	if conflict <= c.log.last() {
		c.log.truncateFrom(conflict)
		c.members.truncateFrom(conflict)
	}
	missing := entries[conflict-entries[0].GetIndex():]
	c.log.append(missing...)
	c.members.append(missing)
}

// rejectAppend tells the leader that the log does not match at the index of the
// append. The hint is the last index that may match.
func (c *Core) rejectAppend(m *apiv1.RaftMessage) {
	hint, hintTerm := c.log.findConflictByTerm(min(m.GetIndex(), c.log.last()), m.GetLogTerm())
	c.sendAfterSync(&apiv1.RaftMessage{
		Type:       apiv1.RaftMessage_TYPE_APPEND_RESPONSE,
		To:         m.GetFrom(),
		Index:      m.GetIndex(),
		Reject:     true,
		RejectHint: hint,
		LogTerm:    hintTerm,
	})
}

// acknowledge tells the leader that the log matches its own up to index. The
// message is sent after the entries are on disk.
func (c *Core) acknowledge(leader, index uint64) {
	c.sendAfterSync(&apiv1.RaftMessage{
		Type:  apiv1.RaftMessage_TYPE_APPEND_RESPONSE,
		To:    leader,
		Index: index,
	})
}

func (c *Core) handleHeartbeat(m *apiv1.RaftMessage) {
	// The commit index in a heartbeat is never past the last entry that the
	// leader knows to match this member's log.
	c.log.commitTo(m.GetCommit())
	c.sendAfterSync(&apiv1.RaftMessage{
		Type:    apiv1.RaftMessage_TYPE_HEARTBEAT_RESPONSE,
		To:      m.GetFrom(),
		Commit:  c.log.committed,
		Context: m.GetContext(),
	})
}

func (c *Core) handleSnapshot(m *apiv1.RaftMessage) {
	meta := m.GetSnapshot()
	switch {
	case meta.GetIndex() <= c.log.committed:
		c.acknowledge(m.GetFrom(), c.log.committed)
	case c.log.matches(meta.GetIndex(), meta.GetTerm()):
		// The log already contains the snapshot's entries.
		c.log.commitTo(meta.GetIndex())
		c.acknowledge(m.GetFrom(), meta.GetIndex())
	default:
		c.log.restore(meta)
		c.members = newMembershipLog(meta.GetIndex(), meta.GetMembership())
		c.snapshot = &Snapshot{Meta: meta, Data: m.GetSnapshotData()}
		c.acknowledge(m.GetFrom(), meta.GetIndex())
	}
}
