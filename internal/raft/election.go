package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// isPromotable reports whether the member may campaign: it is a voter of its
// present membership or of the last that it knows to be committed. The latter
// matters to a leader that fell while it removed itself: its log can be the only
// one that is up to date enough to win.
func (c *Core) isPromotable() bool {
	return isVoter(c.Membership(), c.id) || isVoter(c.committedMembership(), c.id)
}

// mayVote reports whether the member may grant votes. A learner may: the
// candidate's log can hold the learner's promotion before the learner's own log
// does, and only candidates whose membership lists the learner as a voter count
// its vote. A member of neither its present nor its committed membership may
// not.
func (c *Core) mayVote() bool {
	return isMember(c.Membership(), c.id) || isMember(c.committedMembership(), c.id)
}

func (c *Core) committedMembership() *apiv1.Membership {
	return c.members.at(c.log.committed)
}

// preCampaign asks whether an election could be won, without entering a new
// term. A member that was cut off so comes back without disturbing the leader.
func (c *Core) preCampaign() {
	if !c.isPromotable() {
		return
	}
	c.role = PreCandidate
	c.leader = 0
	c.resetRole()
	c.shortenElectionTimer()
	c.votes = make(map[uint64]bool)
	c.requestVotes(apiv1.RaftMessage_TYPE_PRE_VOTE, c.term+1, false)
	c.countVote(c.id, true)
}

// campaign begins an election in a new term.
func (c *Core) campaign(transfer bool) {
	if !c.isPromotable() {
		return
	}
	c.role = Candidate
	c.term++
	c.vote = c.id
	c.leader = 0
	c.resetRole()
	c.shortenElectionTimer()
	c.votes = make(map[uint64]bool)
	c.requestVotes(apiv1.RaftMessage_TYPE_VOTE, c.term, transfer)
	c.ownVoteDue = true
}

// shortenElectionTimer lets a campaign that split the votes begin again sooner
// than a follower waits for its leader.
func (c *Core) shortenElectionTimer() {
	c.restartElectionTimer(max(1, c.options.ElectionTicks/campaignRetryDivisor))
}

// campaignRetryDivisor divides the election timeout to give the shortest wait
// between two campaigns.
const campaignRetryDivisor = 2

func (c *Core) requestVotes(kind apiv1.RaftMessage_Type, term uint64, transfer bool) {
	for _, voter := range c.Membership().GetVoters() {
		if voter.GetIncarnation() == c.id {
			continue
		}
		// The vote for itself must be on disk before others are asked.
		c.sendAfterSync(&apiv1.RaftMessage{
			Type:     kind,
			To:       voter.GetIncarnation(),
			Term:     term,
			Index:    c.log.last(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// countVote records an answer and acts once a majority has granted or refused.
func (c *Core) countVote(from uint64, granted bool) {
	if _, ok := c.votes[from]; !ok {
		c.votes[from] = granted
	}
	membership := c.Membership()
	yes, no := 0, 0
	for _, voter := range membership.GetVoters() {
		vote, ok := c.votes[voter.GetIncarnation()]
		if ok && vote {
			yes++
		} else if ok {
			no++
		}
	}
	switch {
	case yes >= quorum(membership) && c.role == PreCandidate:
		c.campaign(false)
	case yes >= quorum(membership):
		c.becomeLeader()
	case no > len(membership.GetVoters())-quorum(membership):
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) handleVoteRequest(m *apiv1.RaftMessage) {
	pre := m.GetType() == apiv1.RaftMessage_TYPE_PRE_VOTE
	free := c.vote == m.GetFrom() ||
		c.vote == 0 && c.leader == 0 ||
		pre && m.GetTerm() > c.term
	granted := c.mayVote() && free && c.log.isUpToDate(m.GetIndex(), m.GetLogTerm())
	response := &apiv1.RaftMessage{
		Type:   apiv1.RaftMessage_TYPE_VOTE_RESPONSE,
		To:     m.GetFrom(),
		Reject: !granted,
	}
	if pre {
		response.Type = apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE
	}
	if pre && granted {
		response.Term = m.GetTerm()
	}
	if !pre && granted {
		c.vote = m.GetFrom()
		c.electionTicks = 0
	}
	c.sendAfterSync(response)
}

func (c *Core) handleTimeoutNow() {
	if c.role == Follower {
		c.campaign(true)
	}
}
