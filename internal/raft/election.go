package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// mayCampaign reports whether the member is a voter in its latest membership or
// in the last one that it knows to be committed. The latter covers a leader that
// crashed while it removed itself: its log can be the only one that is
// up to date enough to win an election.
func (c *Core) mayCampaign() bool {
	return isVoter(c.Membership(), c.id) || isVoter(c.committedMembership(), c.id)
}

// mayVote reports whether the member may grant votes. A learner may, because the
// candidate's log can contain the learner's promotion before its own log does;
// only candidates whose membership lists it as a voter count its vote. A member
// that is in neither its latest nor its committed membership may not.
func (c *Core) mayVote() bool {
	return isMember(c.Membership(), c.id) || isMember(c.committedMembership(), c.id)
}

func (c *Core) committedMembership() *apiv1.Membership {
	return c.members.at(c.log.committed)
}

// preCampaign starts a pre-vote: it asks whether an election could be won,
// without entering a new term. So a member that returns from a network partition
// does not disturb the leader.
func (c *Core) preCampaign() {
	if !c.mayCampaign() {
		c.leader = 0 // or it would ignore the votes for a successor
		return
	}
	if c.role != PreCandidate {
		c.campaignTicks = 0
	}
	c.role = PreCandidate
	c.leader = 0
	c.resetRole()
	c.shortenElectionTimer()
	c.votes = make(map[uint64]bool)
	c.requestVotes(apiv1.RaftMessage_TYPE_PRE_VOTE, c.term+1, false)
	c.countVote(c.id, true)
}

// campaign starts an election in a new term. With transfer set, the leader asked
// for the election, and voters grant their votes although they have heard from
// the leader recently.
func (c *Core) campaign(transfer bool) {
	if !c.mayCampaign() {
		return
	}
	if c.role == PreCandidate {
		c.responses.record(c.campaignTicks)
	}
	c.role = Candidate
	c.term++
	c.vote = c.id
	c.leader = 0
	c.campaigns++
	c.campaignTicks = 0
	c.deferred = false
	c.resetRole()
	c.restartElectionTimer(c.stretch(c.shortestCampaignTicks()))
	c.votes = make(map[uint64]bool)
	c.requestVotes(apiv1.RaftMessage_TYPE_VOTE, c.term, transfer)
	c.ownVotePending = true
}

// shortenElectionTimer makes a campaign that ended in a split vote start again
// sooner than a follower's election timeout.
func (c *Core) shortenElectionTimer() {
	c.restartElectionTimer(c.shortestCampaignTicks())
}

// campaignRetryDivisor is what the shortest election timeout is divided by to
// get the shortest wait between two campaigns.
const campaignRetryDivisor = 2

// requestVotes sends a vote or pre-vote request to all other voters.
func (c *Core) requestVotes(kind apiv1.RaftMessage_Type, term uint64, transfer bool) {
	for _, voter := range c.Membership().GetVoters() {
		if voter.GetIncarnation() == c.id {
			continue
		}
		// The candidate's vote for itself must be on disk before it asks others.
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

// countVote records a response to the current campaign. The campaign is won once
// a majority has granted its vote, and lost once no majority can grant it.
func (c *Core) countVote(from uint64, granted bool) {
	if _, ok := c.votes[from]; !ok {
		c.votes[from] = granted
	}
	membership := c.Membership()
	grants, refusals := 0, 0
	for _, voter := range membership.GetVoters() {
		vote, ok := c.votes[voter.GetIncarnation()]
		if ok && vote {
			grants++
		} else if ok {
			refusals++
		}
	}
	switch {
	case grants >= quorum(membership) && c.role == PreCandidate:
		c.campaign(false)
	case grants >= quorum(membership):
		c.becomeLeader()
	case refusals > len(membership.GetVoters())-quorum(membership):
		c.becomeFollower(c.term, 0)
	}
}

// handleVoteRequest answers a vote or pre-vote request. Whether a pre-vote for a
// higher term is granted does not depend on the vote cast in the current term.
func (c *Core) handleVoteRequest(m *apiv1.RaftMessage) {
	preVote := m.GetType() == apiv1.RaftMessage_TYPE_PRE_VOTE
	voteAvailable := c.vote == m.GetFrom() ||
		c.vote == 0 && c.leader == 0 ||
		preVote && m.GetTerm() > c.term
	granted := c.mayVote() && voteAvailable && c.log.isUpToDate(m.GetIndex(), m.GetLogTerm())
	response := &apiv1.RaftMessage{
		Type:   apiv1.RaftMessage_TYPE_VOTE_RESPONSE,
		To:     m.GetFrom(),
		Reject: !granted,
	}
	if preVote {
		response.Type = apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE
	}
	if preVote && granted {
		response.Term = m.GetTerm()
		c.deferTo(m.GetFrom())
	}
	if !preVote && granted {
		c.vote = m.GetFrom()
		c.electionTicks = 0
	}
	c.sendAfterSync(response)
}

// deferTo restarts the election timer for a pre-candidate that may win, so that this member does not split the votes. Of
// two pre-candidates the one with the lower incarnation defers. It does so once until it campaigns or knows a leader, as
// the other one may not be able to win after all.
func (c *Core) deferTo(candidate uint64) {
	if c.deferred || c.role == Candidate || c.role == Leader || c.role == PreCandidate && candidate < c.id {
		return
	}
	c.deferred = true
	c.becomeFollower(c.term, 0)
}

// handleTimeoutNow campaigns at once because the leader transfers leadership to
// this member.
func (c *Core) handleTimeoutNow() {
	if c.role == Follower {
		c.campaign(true)
	}
}
