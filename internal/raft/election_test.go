package raft

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// newCandidate returns a voter of five that campaigns, with its requests on their way.
func newCandidate(t *testing.T) (*simulation, *Core) {
	t.Helper()
	sim, leader := newSimulationWithLeader(t, 5)
	candidate := sim.members[2]
	if candidate == leader {
		candidate = sim.members[1]
	}
	sim.network = nil
	candidate.core.campaign(false)
	sim.process(candidate, false)
	return sim, candidate.core
}

func others(c *Core) []uint64 {
	var ids []uint64
	for _, voter := range c.Membership().GetVoters() {
		if id := voter.GetIncarnation(); id != c.id {
			ids = append(ids, id)
		}
	}
	return ids
}

func voteResponse(c *Core, from uint64, granted bool) *apiv1.RaftMessage {
	return &apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_VOTE_RESPONSE, From: from, To: c.id, Term: c.term, Reject: !granted}
}

// Votes that arrived after a candidate had begun its next pre-campaign were thrown away.
func TestLateVotesCount(t *testing.T) {
	is := is.New(t)
	_, c := newCandidate(t)
	term, voters := c.term, others(c)
	c.Step(voteResponse(c, voters[0], false))
	for c.Role() == Candidate {
		c.Tick()
	}
	is.Equal(c.Role(), PreCandidate)
	c.becomeFollower(c.term, 0) // as when it defers
	c.Step(voteResponse(c, voters[1], true))
	c.Step(voteResponse(c, voters[2], true))
	is.Equal(c.Role(), Leader)
	is.Equal(c.Term(), term)
	c.becomeFollower(c.term, 0)
	c.Step(voteResponse(c, voters[3], true))
	is.Equal(c.Role(), Follower) // a leadership that has ended doesn't begin again
}

// Votes of one term don't count in the next one.
func TestVotesOfAnOlderTermDoNotCount(t *testing.T) {
	is := is.New(t)
	_, c := newCandidate(t)
	voters := others(c)
	c.Step(voteResponse(c, voters[0], true))
	late := voteResponse(c, voters[1], true)
	c.becomeFollower(c.term+1, 0)
	c.Step(late)
	is.Equal(c.Role(), Follower)
	late.Term = c.term
	c.Step(late)
	is.Equal(c.Role(), Follower)
}

// A candidate whose requests were slow began another term, in which its voters had to begin anew.
func TestCandidateThatNobodyRefusedAsksAgainInItsTerm(t *testing.T) {
	is := is.New(t)
	sim, c := newCandidate(t)
	term := c.term
	sim.network = nil
	c.Step(voteResponse(c, others(c)[0], true))
	for range 10 * c.options.ElectionTicks {
		c.Tick()
		sim.process(sim.find(c.id), false)
	}
	is.Equal(c.Role(), Candidate)
	is.Equal(c.Term(), term)
	asked := make(map[uint64]bool)
	for _, m := range sim.network {
		asked[m.GetTo()] = m.GetType() == apiv1.RaftMessage_TYPE_VOTE
	}
	is.Equal(len(asked), 3) // those that have not answered
	c.Step(voteResponse(c, others(c)[1], false))
	for range 2 * c.shortestRetryTicks() {
		c.Tick()
	}
	is.Equal(c.Role(), PreCandidate) // the votes may be split
}

// Pre-votes that arrived after a pre-candidate had asked again were counted anew.
func TestPreVotesOfEarlierRequestsCount(t *testing.T) {
	is := is.New(t)
	_, c := newCandidate(t)
	c.becomeFollower(c.term, 0)
	c.preCampaign()
	response := func(from uint64) *apiv1.RaftMessage {
		return &apiv1.RaftMessage{Type: apiv1.RaftMessage_TYPE_PRE_VOTE_RESPONSE, From: from, To: c.id, Term: c.term + 1}
	}
	c.Step(response(others(c)[0]))
	for range 4 * c.options.ElectionTicks {
		c.Tick()
	}
	is.Equal(c.Role(), PreCandidate)
	c.Step(response(others(c)[1]))
	is.Equal(c.Role(), Candidate)
}

// Voters whose votes were on their way let another candidate begin the next term.
func TestVoterGivesItsCandidateTimeToWin(t *testing.T) {
	is := is.New(t)
	sim, candidate := newCandidate(t)
	voter := sim.find(others(candidate)[0])
	rival := others(candidate)[1]
	voter.core.becomeFollower(voter.core.term, 0)
	voter.core.Step(&apiv1.RaftMessage{
		Type: apiv1.RaftMessage_TYPE_VOTE, From: candidate.id, To: voter.id, Term: candidate.term,
		Index: candidate.log.last(), LogTerm: candidate.log.lastTerm(),
	})
	is.Equal(voter.core.vote, candidate.id)
	sim.process(voter, false)
	answers := func() int {
		sim.network = nil
		voter.core.Step(&apiv1.RaftMessage{
			Type: apiv1.RaftMessage_TYPE_PRE_VOTE, From: rival, To: voter.id, Term: voter.core.term + 1,
			Index: candidate.log.last(), LogTerm: candidate.log.lastTerm(),
		})
		sim.process(voter, false)
		return len(sim.network)
	}
	is.Equal(answers(), 0)
	for range voter.core.shortestElectionTicks() {
		voter.core.Tick()
	}
	is.Equal(answers(), 1) // the candidate has had its time
}

// A candidate of an older term was not answered, and asked again and again in it.
func TestCandidateOfAnOlderTermLearnsTheTerm(t *testing.T) {
	is := is.New(t)
	sim, c := newCandidate(t)
	voter := sim.find(others(c)[0])
	voter.core.becomeFollower(c.term+3, 0)
	sim.process(voter, false)
	for range len(sim.network) {
		if m := sim.deliver(0); m != nil {
			sim.process(m, false)
		}
	}
	sim.deliverAll()
	is.True(c.Term() >= voter.core.Term())
}

// New leaders stepped down before the voters' first responses had arrived, which take as long as their votes had taken.
func TestNewLeaderWaitsForResponsesAsForVotes(t *testing.T) {
	is := is.New(t)
	sim, c := newCandidate(t)
	sim.network = nil
	took := 3 * c.options.ElectionTicks
	c.electionTimeoutTicks = 2 * took
	for range took {
		c.Tick()
	}
	c.Step(voteResponse(c, others(c)[0], true))
	c.Step(voteResponse(c, others(c)[1], true))
	is.Equal(c.Role(), Leader)
	for range responseMargin*took - 1 {
		c.Tick()
	}
	is.Equal(c.Role(), Leader)
	c.Tick()
	is.Equal(c.Role(), Follower)
}

// With slow messages, followers waited for several times as long as a message takes, although a leader's messages follow each
// other at short intervals.
func TestFollowerPatienceFollowsTheLeadersIntervals(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 3)
	follower := sim.members[1].core
	if follower.id == leader.id {
		follower = sim.members[0].core
	}
	base := follower.options.ElectionTicks
	follower.becomeFollower(follower.term+1, 0)
	follower.SetMessageTicks(base)
	is.Equal(follower.followerPatience(), messagesPerElectionTimeout*base)
	follower.followLeader(leader.id)
	is.Equal(follower.followerPatience(), messagesPerElectionTimeout*base) // no interval is known
	for _, interval := range []int{1, base, 1} {
		for range interval {
			follower.Tick()
		}
		follower.followLeader(leader.id)
	}
	is.Equal(follower.followerPatience(), silenceMargin*base)
	follower.SetMessageTicks(0)
	is.Equal(follower.followerPatience(), base)
}

// The votes of a candidate that another one was preferred to became a majority once that leader had removed voters, so that
// two members led the term.
func TestVotesDoNotCountAfterAnotherWasElected(t *testing.T) {
	is := is.New(t)
	_, c := newCandidate(t)
	voters := others(c)
	c.Step(voteResponse(c, voters[0], true))
	is.Equal(c.Role(), Candidate)

	message := &apiv1.RaftMessage{
		Type: apiv1.RaftMessage_TYPE_APPEND, From: voters[1], To: c.id, Term: c.term, Index: c.log.last(), LogTerm: c.log.lastTerm(),
	}
	membership := c.Membership()
	for _, removed := range voters[2:] {
		var err error
		membership, err = Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: removed}}.apply(membership)
		is.NoErr(err)
		data, err := proto.Marshal(membership)
		is.NoErr(err)
		index := c.log.last() + uint64(len(message.GetEntries())) + 1
		message.Entries = append(message.Entries, &apiv1.LogEntry{
			Index: index, Term: c.term, Kind: apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data,
		})
		message.Commit = index
	}
	c.Step(message)
	is.Equal(len(c.Membership().GetVoters()), 3)
	c.Step(voteResponse(c, voters[0], true)) // the response to a repeated request
	is.Equal(c.Role(), Follower)
}
