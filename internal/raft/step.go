package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Step takes in a message from another member.
func (c *Core) Step(m *apiv1.RaftMessage) {
	if m.GetTo() != c.id || m.GetFrom() == c.id {
		return
	}
	switch {
	case m.GetTerm() > c.term:
		if !c.enterTerm(m) {
			return
		}
	case m.GetTerm() < c.term:
		c.handleOldTerm(m)
		return
	}
	c.dispatch(m)
}

// enterTerm handles the higher term of a message and reports whether the
// message is to be processed.
func (c *Core) enterTerm(m *apiv1.RaftMessage) bool {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_PRE_VOTE:
		return !c.hearsLeader()
	case apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE:
		if !m.GetReject() {
			return true // carries the term of the campaign to come
		}
	case apiv1.RaftMessage_TYPE_VOTE:
		if c.hearsLeader() && !m.GetTransfer() {
			return false
		}
	}
	leader := uint64(0)
	if isFromLeader(m) {
		leader = m.GetFrom()
	}
	c.becomeFollower(m.GetTerm(), leader)
	return true
}

// hearsLeader reports whether a leader was heard within the shortest election
// timeout. Until then votes are refused, so that a removed or returning member
// can't depose a leader that a majority follows.
func (c *Core) hearsLeader() bool {
	return c.leader != 0 && c.electionTicks < c.options.ElectionTicks
}

// handleOldTerm answers a sender that has missed the present term, so that it
// can catch up.
func (c *Core) handleOldTerm(m *apiv1.RaftMessage) {
	switch {
	case isFromLeader(m):
		c.sendAfterSync(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Reject: true})
	case m.GetType() == apiv1.RaftMessage_TYPE_PRE_VOTE:
		c.sendAfterSync(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE, To: m.GetFrom(), Reject: true})
	}
}

func (c *Core) dispatch(m *apiv1.RaftMessage) {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_PRE_VOTE, apiv1.RaftMessage_TYPE_VOTE:
		c.handleVoteRequest(m)
	case apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE:
		if c.role == PreCandidate && (m.GetReject() || m.GetTerm() == c.term+1) {
			c.countVote(m.GetFrom(), !m.GetReject())
		}
	case apiv1.RaftMessage_TYPE_VOTE_RESPONSE:
		if c.role == Candidate {
			c.countVote(m.GetFrom(), !m.GetReject())
		}
	case apiv1.RaftMessage_TYPE_APPEND:
		c.follow(m.GetFrom())
		c.handleAppend(m)
	case apiv1.RaftMessage_TYPE_HEARTBEAT:
		c.follow(m.GetFrom())
		c.handleHeartbeat(m)
	case apiv1.RaftMessage_TYPE_SNAPSHOT:
		c.follow(m.GetFrom())
		c.handleSnapshot(m)
	case apiv1.RaftMessage_TYPE_APPEND_RESPONSE:
		c.handleAppendResponse(m)
	case apiv1.RaftMessage_TYPE_HEARTBEAT_RESPONSE:
		c.handleHeartbeatResponse(m)
	case apiv1.RaftMessage_TYPE_TIMEOUT_NOW:
		c.handleTimeoutNow()
	}
}

func isFromLeader(m *apiv1.RaftMessage) bool {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_APPEND, apiv1.RaftMessage_TYPE_HEARTBEAT, apiv1.RaftMessage_TYPE_SNAPSHOT:
		return true
	}
	return false
}
