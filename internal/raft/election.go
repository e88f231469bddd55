package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// mayCampaign reports whether the member is a voter in its latest membership or
// in the last one that it knows to be committed. The latter covers a leader that
// crashed while it removed itself: its log can be the only one that is
// up to date enough to win an election.
func (c *Core) mayCampaign() bool {
	return isVoter(c.Membership(), c.id) || isVoter(c.committedMembership(), c.id)
}

// mayVote reports whether the member may grant votes: it has the log of a cluster. Only
// candidates whose electorate lists it count its vote. The candidate's log can contain a
// learner's promotion before the learner's own does, and a candidate that does not know
// that the removal of voters is committed needs the votes of those that know.
func (c *Core) mayVote() bool { return len(c.Membership().GetVoters()) > 0 }

func (c *Core) committedMembership() *apiv1.Membership {
	return c.members.at(c.log.committed)
}

// continueElection handles an election timeout of a follower or candidate. A candidate that no voter has refused stays in
// its term: in a new one its voters would have to vote again.
func (c *Core) continueElection() {
	if c.role == Candidate && countRefusals(c.votes) == 0 {
		c.restartElectionTimer(c.stretch(c.shortestCampaignTicks()))
		return
	}
	c.preCampaign()
}

// preCampaign starts a pre-vote: it asks whether an election could be won,
// without entering a new term. So a member that returns from a network partition
// does not disturb the leader. A pre-candidate asks again those that have not
// granted their pre-votes yet; those that it has are for the same term.
func (c *Core) preCampaign() {
	if !c.mayCampaign() {
		c.leader = 0 // or it would ignore the votes for a successor
		return
	}
	preVotes := c.preVotes
	if preVotes == nil {
		preVotes = make(map[uint64]bool)
		c.campaignTicks = 0
	}
	c.role = PreCandidate
	c.leader = 0
	c.resetRole()
	c.restartElectionTimer(c.shortestCampaignTicks())
	c.preVotes = preVotes
	c.requestVotes(apiv1.RaftMessage_TYPE_PRE_VOTE, c.term+1, false, c.preVotes)
	c.countPreVote(c.id, true)
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
	c.requestVotes(apiv1.RaftMessage_TYPE_VOTE, c.term, transfer, c.votes)
	c.ownVotePending = true
}

// tickRetry makes a (pre-)candidate ask again those that have not granted their vote: its request, or the response, may be
// lost or held up by what a later one passes.
func (c *Core) tickRetry() {
	if c.role != PreCandidate && c.role != Candidate {
		return
	}
	if c.retryTicks--; c.retryTicks > 0 {
		return
	}
	if c.role == PreCandidate {
		c.requestVotes(apiv1.RaftMessage_TYPE_PRE_VOTE, c.term+1, false, c.preVotes)
	} else {
		c.requestVotes(apiv1.RaftMessage_TYPE_VOTE, c.term, false, c.votes)
	}
}

// shortestRetryTicks returns the shortest wait of a (pre-)candidate before it asks again.
func (c *Core) shortestRetryTicks() int { return max(1, c.options.ElectionTicks/campaignRetryDivisor) }

// campaignRetryDivisor is what the shortest election timeout is divided by to
// get the shortest wait between two campaigns.
const campaignRetryDivisor = 2

// requestVotes sends a vote or pre-vote request to the other voters that have not granted it.
func (c *Core) requestVotes(kind apiv1.RaftMessage_Type, term uint64, transfer bool, granted map[uint64]bool) {
	c.retryTicks = c.shortestRetryTicks()
	for _, voter := range c.electorate().voters() {
		if voter.GetIncarnation() == c.id || granted[voter.GetIncarnation()] {
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

// countPreVote records a response to the current pre-campaign. It ends with a
// campaign once a majority has granted its pre-vote, and is given up once no
// majority can.
func (c *Core) countPreVote(from uint64, granted bool) {
	c.preVotes[from] = c.preVotes[from] || granted
	switch voters := c.electorate(); {
	case voters.hasMajority(grantedIn(c.preVotes)):
		c.campaign(false)
	case voters.isBlocked(refusedIn(c.preVotes)):
		c.becomeFollower(c.term, 0)
	}
}

// countVote records a response to the campaign in the current term. The campaign
// is won once a majority has granted its vote, and lost once no majority can grant
// it. Votes that arrive after the candidate gave up waiting count as well while it
// is in the same term and has heard of no leader in it, so that its log has not changed.
func (c *Core) countVote(from uint64, granted bool) {
	if c.votes == nil || c.role == Leader {
		return
	}
	if _, ok := c.votes[from]; !ok {
		c.votes[from] = granted
	}
	voters := c.electorate()
	refusals := countRefusals(c.votes)
	switch {
	case voters.hasMajority(grantedIn(c.votes)):
		c.becomeLeader()
	case c.role == Candidate && voters.isBlocked(refusedIn(c.votes)):
		c.becomeFollower(c.term, 0)
	case c.role == Candidate && !granted && refusals == 1:
		c.restartElectionTimer(c.shortestRetryTicks()) // the votes may be split
	}
}

// grantedIn and refusedIn return which members have granted and refused.
func grantedIn(votes map[uint64]bool) func(id uint64) bool {
	return func(id uint64) bool { return votes[id] }
}

func refusedIn(votes map[uint64]bool) func(id uint64) bool {
	return func(id uint64) bool {
		granted, responded := votes[id]
		return responded && !granted
	}
}

// countRefusals returns how many members have refused.
func countRefusals(votes map[uint64]bool) int {
	refusals := 0
	for _, granted := range votes {
		if !granted {
			refusals++
		}
	}
	return refusals
}

// handleVoteRequest answers a vote or pre-vote request. Whether a pre-vote for a
// higher term is granted does not depend on the vote cast in the current term.
func (c *Core) handleVoteRequest(m *apiv1.RaftMessage) {
	preVote := m.GetType() == apiv1.RaftMessage_TYPE_PRE_VOTE
	voteAvailable := c.vote == m.GetFrom() ||
		c.vote == 0 && c.leader == 0 ||
		preVote && m.GetTerm() > c.term
	granted := c.mayVote() && voteAvailable && c.log.isUpToDate(m.GetIndex(), m.GetLogTerm())
	if preVote && granted && c.favoursAnother(m) {
		return
	}
	response := c.voteResponse(apiv1.RaftMessage_TYPE_VOTE_RESPONSE, m.GetFrom(), granted)
	if preVote {
		response.Type = apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE
	}
	if preVote && granted {
		response.Term = m.GetTerm()
		c.promise(m.GetFrom())
		c.deferTo(m.GetFrom())
	}
	if !preVote && granted {
		if c.vote == 0 {
			c.promised, c.promiseTicks = m.GetFrom(), 0
		}
		c.vote = m.GetFrom()
		c.electionTicks = 0
	}
	c.sendAfterSync(response)
}

// voteResponse returns the response to a vote or pre-vote request. It has this member's commit index and the term of the
// entry there, see learnCommit.
func (c *Core) voteResponse(kind apiv1.RaftMessage_Type, to uint64, granted bool) *apiv1.RaftMessage {
	term, _ := c.log.term(c.log.committed)
	return &apiv1.RaftMessage{Type: kind, To: to, Reject: !granted, Commit: c.log.committed, LogTerm: term}
}

// promise records whom this member has last granted a vote or pre-vote, which has time to win then.
func (c *Core) promise(candidate uint64) {
	if c.promised != candidate {
		c.promised, c.promiseTicks = candidate, 0
	}
}

// favoursAnother reports whether another candidate may still win, possibly this member itself, so that a pre-vote for
// the one that asks would make them interrupt each other. It doesn't answer that one then, which will ask again.
func (c *Core) favoursAnother(m *apiv1.RaftMessage) bool {
	wait := c.shortestElectionTicks()
	isAhead := m.GetIndex() != c.log.last() || m.GetLogTerm() != c.log.lastTerm()
	switch c.role {
	case PreCandidate:
		return m.GetFrom() < c.id && !isAhead && c.campaignTicks < wait
	case Candidate:
		return countRefusals(c.votes) == 0 && !isAhead && c.campaignTicks < wait
	}
	if c.promised == 0 || c.promised == m.GetFrom() || c.promiseTicks >= wait {
		return false
	}
	return c.vote == c.promised || m.GetFrom() < c.promised && !isAhead
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
