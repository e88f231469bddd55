package raft

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// A member whose syncs take longer than the election timeout deposed each leader while it wrote.
func TestElectionTimeoutFollowsTheSyncTime(t *testing.T) {
	is := is.New(t)
	sim, _ := newSimulationWithLeader(t, 3)
	follower := sim.members[1].core
	base := follower.options.ElectionTicks
	is.Equal(follower.shortestElectionTicks(), base)
	follower.SetSyncTicks(1)
	is.Equal(follower.shortestElectionTicks(), base) // three syncs fit
	follower.SetSyncTicks(2 * base)
	is.Equal(follower.shortestElectionTicks(), syncsPerElectionTimeout*2*base)
	follower.SetSyncTicks(1000 * base)
	is.Equal(follower.shortestElectionTicks(), maxElectionStretch*base)
	follower.followLeader(follower.leader)
	for range base {
		follower.Tick()
	}
	is.True(follower.heardLeaderRecently())
	is.Equal(follower.Role(), Follower)
}

// A candidate whose voters were slower than its timeout began term after term, and each made them write another vote.
func TestCandidateWaitsLongerAfterFailedCampaigns(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 3)
	candidate := sim.members[1].core
	base := candidate.options.ElectionTicks / campaignRetryDivisor
	var shortest []int
	for range 8 {
		candidate.campaign(false)
		is.True(candidate.electionTimeoutTicks >= candidate.stretch(base))
		shortest = append(shortest, candidate.stretch(base))
	}
	most := maxElectionStretch * candidate.options.ElectionTicks
	is.Equal(shortest, []int{base, base, 2 * base, 4 * base, 8 * base, 16 * base, min(32*base, most), min(64*base, most)})
	candidate.becomeFollower(candidate.term, 0)
	candidate.followLeader(leader.id)
	is.Equal(candidate.stretch(base), base)
}

// A leader that was elected by slow voters stepped down before they had stored its first entry.
func TestLeaderElectedBySlowVotersWaitsForThem(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 3)
	is.True(leader.core.hasActiveQuorum())
	leader.core.campaigns = promptCampaigns + 2
	sim.isolate(leader)
	sim.tick(leader, 2*leader.core.options.ElectionTicks)
	is.Equal(leader.core.Role(), Leader)
	for leader.core.Role() == Leader {
		leader.core.Tick()
	}
	is.Equal(leader.core.campaigns, promptCampaigns+1)
}

// A candidate began the next term before the votes for the last one had arrived, for as long as messages were slow.
func TestElectionTimeoutFollowsTheMessageTime(t *testing.T) {
	is := is.New(t)
	sim, _ := newSimulationWithLeader(t, 3)
	member := sim.members[1].core
	base := member.options.ElectionTicks
	member.SetMessageTicks(base / (2 * messagesPerElectionTimeout))
	is.Equal(member.shortestElectionTicks(), base)
	member.SetMessageTicks(base)
	is.Equal(member.shortestElectionTicks(), messagesPerElectionTimeout*base)
	member.campaign(false)
	is.True(member.electionTimeoutTicks >= messagesPerCampaign*base)
	member.SetMessageTicks(1000 * base)
	is.Equal(member.shortestElectionTicks(), maxElectionStretch*base)
}

// Members that stood for election at the same time split the votes, the more often the slower messages were.
func TestPreCandidateDefersOnceToOneThatMayWin(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 3)
	core := sim.members[1].core
	if core.id == leader.id {
		core = sim.members[0].core
	}
	request := func(from uint64) *apiv1.RaftMessage {
		return &apiv1.RaftMessage{
			Type: apiv1.RaftMessage_TYPE_PRE_VOTE, From: from, To: core.id, Term: core.term + 1,
			Index: core.log.last(), LogTerm: core.log.lastTerm(),
		}
	}
	core.leader = 0
	core.preCampaign()
	core.Step(request(core.id - 1))
	is.Equal(core.Role(), PreCandidate) // the other one defers
	core.Step(request(core.id + 1))
	is.Equal(core.Role(), Follower)
	core.preCampaign()
	core.Step(request(core.id + 1))
	is.Equal(core.Role(), PreCandidate) // the other one has had its chance
	core.followLeader(leader.id)
	is.True(!core.deferred)
}
