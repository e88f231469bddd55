package raft

import (
	"testing"

	"github.com/matryer/is"

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
