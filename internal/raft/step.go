package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Step processes a message from another member. Messages addressed to another
// incarnation are ignored.
func (c *Core) Step(m *apiv1.RaftMessage) {
	if m.GetTo() != c.id || m.GetFrom() == c.id {
		return
	}
	c.learnCommit(m)
	switch {
	case m.GetTerm() > c.term:
		if !c.handleHigherTerm(m) {
			return
		}
	case m.GetTerm() < c.term:
		c.handleLowerTerm(m)
		return
	}
	c.dispatch(m)
}

// handleHigherTerm enters the higher term of a message, except for pre-votes and
// for votes to be ignored. It reports whether the message is to be processed.
func (c *Core) handleHigherTerm(m *apiv1.RaftMessage) bool {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_PRE_VOTE:
		return !c.heardLeaderRecently()
	case apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE:
		if !m.GetReject() {
			return true // its term is that of the campaign that may follow
		}
	case apiv1.RaftMessage_TYPE_VOTE:
		if c.heardLeaderRecently() && !m.GetTransfer() {
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

// heardLeaderRecently reports whether the member heard from a leader within the
// time that it waits for the leader at least. If so, it ignores requests for votes in a higher
// term, so that a removed or returning member can't depose a leader that a
// majority follows.
func (c *Core) heardLeaderRecently() bool {
	return c.leader != 0 && c.electionTicks < c.followerPatience()
}

// handleLowerTerm answers a sender that has missed the current term, so that it
// learns of it.
func (c *Core) handleLowerTerm(m *apiv1.RaftMessage) {
	switch {
	case isFromLeader(m):
		c.sendAfterSync(&apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Reject: true})
	case m.GetType() == apiv1.RaftMessage_TYPE_VOTE:
		c.sendAfterSync(c.voteResponse(apiv1.RaftMessage_TYPE_VOTE_RESPONSE, m.GetFrom(), false))
	case m.GetType() == apiv1.RaftMessage_TYPE_PRE_VOTE:
		c.sendAfterSync(c.voteResponse(apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE, m.GetFrom(), false))
	}
}

// learnCommit takes over the commit index of a voter that responds, whether or not it grants its vote, if this member has
// the same entry there. It may show that votes of removed members are no longer needed.
func (c *Core) learnCommit(m *apiv1.RaftMessage) {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE, apiv1.RaftMessage_TYPE_VOTE_RESPONSE:
		if c.role != Leader && m.GetCommit() > c.log.committed && c.log.matches(m.GetCommit(), m.GetLogTerm()) {
			c.log.commitTo(m.GetCommit())
		}
	}
}

// dispatch processes a message of the current term, or one of a higher term that
// does not change this member's term.
func (c *Core) dispatch(m *apiv1.RaftMessage) {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_PRE_VOTE, apiv1.RaftMessage_TYPE_VOTE:
		c.handleVoteRequest(m)
	case apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE:
		if c.role == PreCandidate && (m.GetReject() || m.GetTerm() == c.term+1) {
			c.countPreVote(m.GetFrom(), !m.GetReject())
		}
	case apiv1.RaftMessage_TYPE_VOTE_RESPONSE:
		c.countVote(m.GetFrom(), !m.GetReject())
	case apiv1.RaftMessage_TYPE_APPEND:
		c.followLeader(m.GetFrom())
		c.handleAppend(m)
	case apiv1.RaftMessage_TYPE_HEARTBEAT:
		c.followLeader(m.GetFrom())
		c.handleHeartbeat(m)
	case apiv1.RaftMessage_TYPE_SNAPSHOT:
		c.followLeader(m.GetFrom())
		c.handleSnapshot(m)
	case apiv1.RaftMessage_TYPE_APPEND_RESPONSE:
		c.handleAppendResponse(m)
	case apiv1.RaftMessage_TYPE_HEARTBEAT_RESPONSE:
		c.handleHeartbeatResponse(m)
	case apiv1.RaftMessage_TYPE_TIMEOUT_NOW:
		c.handleTimeoutNow()
	}
}

// isFromLeader reports whether only a leader sends messages of this type.
func isFromLeader(m *apiv1.RaftMessage) bool {
	switch m.GetType() {
	case apiv1.RaftMessage_TYPE_APPEND, apiv1.RaftMessage_TYPE_HEARTBEAT, apiv1.RaftMessage_TYPE_SNAPSHOT:
		return true
	}
	return false
}
