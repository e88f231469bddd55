package raft

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// replaceTwo returns the changes that replace the last two of five voters by the learners.
func replaceTwo(sim *simulation, learners ...*member) []Change {
	var changes []Change
	for i, learner := range learners {
		lost := &apiv1.MemberInfo{Incarnation: sim.members[4-i].id}
		changes = append(changes, promote(sim, learner), Change{Kind: RemoveMember, Member: lost})
	}
	return changes
}

// The leader and the two successors are a majority of the new voters, and the other four one of the old ones.
func TestReplacementOfTwoVotersNeedsAMajorityOfTheOldVoters(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 5)
	learners := []*member{sim.addLearner(t, leader), sim.addLearner(t, leader)}
	sim.isolate(leader, learners[0], learners[1])
	before := leader.core.CommitIndex()
	index, err := leader.core.ChangeMembership(replaceTwo(sim, learners...)...)
	is.NoErr(err)
	sim.deliverAll()
	is.Equal(learners[0].core.LastIndex(), index)
	is.Equal(leader.core.CommitIndex(), before)

	elected := sim.runUntil(100, func() bool { return sim.leader() != leader && sim.leader() != nil })
	is.True(elected)
	sim.propose(t, sim.leader())
	sim.firstSide = nil
	is.True(sim.runUntil(100, func() bool { return leader.core.CommitIndex() == sim.leader().core.CommitIndex() }))
	sim.checkLogs()
	is.Equal(len(leader.core.Membership().GetLearners()), 2) // the change was never committed
}

// Two disks are lost, and all others are needed until their successors vote.
func TestReplacementOfTwoLostVotersIsOneEntry(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 5)
	learners := []*member{sim.addLearner(t, leader), sim.addLearner(t, leader)}
	changes := replaceTwo(sim, learners...)
	sim.isolate(sim.members[3], sim.members[4])
	last := leader.core.LastIndex()
	_, err := leader.core.ChangeMembership(changes...)
	is.NoErr(err)
	is.Equal(leader.core.LastIndex(), last+1)
	sim.deliverAll()
	is.Equal(leader.core.CommitIndex(), last+1)
	is.Equal(len(leader.core.Membership().GetVoters()), 5)

	// The others know that it is committed, without a tick, so they elect a leader after the loss of two more.
	survivor := sim.members[1]
	sim.isolate(survivor, learners[0], learners[1])
	is.True(sim.runUntil(100, func() bool {
		return survivor.core.Role() == Leader || learners[0].core.Role() == Leader || learners[1].core.Role() == Leader
	}))
}

// A member that knows that its removal is committed may be the only one that does, with the leader lost.
func TestRemovedVoterVotesForACandidateThatNeedsIt(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 5)
	learners := []*member{sim.addLearner(t, leader), sim.addLearner(t, leader)}
	_, err := leader.core.ChangeMembership(replaceTwo(sim, learners...)...)
	is.NoErr(err)
	var withheld []*apiv1.RaftMessage // heartbeats, which tell of the commit
	sim.deliverUnless(func(m *apiv1.RaftMessage) bool {
		isHeartbeat := m.GetType() == apiv1.RaftMessage_TYPE_HEARTBEAT
		if isHeartbeat {
			withheld = append(withheld, m)
		}
		return isHeartbeat
	})
	is.True(len(withheld) > 0)
	removed := sim.members[4]
	removed.core.log.commitTo(leader.core.CommitIndex())
	sim.isolate(leader, sim.members[1])
	is.True(sim.runUntil(100, func() bool {
		return sim.members[2].core.Role() == Leader || learners[0].core.Role() == Leader || learners[1].core.Role() == Leader
	}))
}

func TestLeaderDoesNotLeaveTogetherWithAnother(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 5)
	removal := func(m *member) Change {
		return Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: m.id}}
	}
	_, err := leader.core.ChangeMembership(removal(leader), removal(sim.members[4]))
	is.True(errors.Is(err, ErrInvalidChange))
}

// The members forgot with the loss of power that the replacement of two voters was committed, and needed the votes of those
// that had been replaced.
func TestCommitOfAReplacementSurvivesALossOfPower(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 5)
	learners := []*member{sim.addLearner(t, leader), sim.addLearner(t, leader)}
	changes := replaceTwo(sim, learners...)
	lost := sim.members[3:5:5]
	sim.isolate(lost...)
	_, err := leader.core.ChangeMembership(changes...)
	is.NoErr(err)
	sim.deliverAll()
	is.Equal(leader.core.Membership().GetLearners(), nil)

	survivor := sim.members[1]
	sim.isolate(survivor, learners[0], learners[1]) // the leader and one more lose their disks
	for _, m := range []*member{survivor, learners[0], learners[1]} {
		sim.restart(m)
	}
	is.True(sim.runUntil(100, func() bool {
		return survivor.core.Role() == Leader || learners[0].core.Role() == Leader || learners[1].core.Role() == Leader
	}))
}

// One survivor knew that the replacement of two voters is committed, and another one had a longer log: neither could win.
func TestCommitOfAReplacementIsLearnedFromAnyVoter(t *testing.T) {
	is := is.New(t)
	sim, leader := newSimulationWithLeader(t, 5)
	learners := []*member{sim.addLearner(t, leader), sim.addLearner(t, leader)}
	changes := replaceTwo(sim, learners...)
	sim.isolate(sim.members[3], sim.members[4])
	index, err := leader.core.ChangeMembership(changes...)
	is.NoErr(err)
	_, err = leader.core.Propose([]byte("later")) // pipelined, before the change is committed
	is.NoErr(err)
	survivor := sim.members[1]
	knows := func() bool { return learners[0].core.CommitIndex() >= index }
	withhold := func(m *apiv1.RaftMessage) bool {
		if m.GetFrom() != leader.id {
			return false
		}
		entries := m.GetEntries()
		hasLater := len(entries) > 0 && entries[len(entries)-1].GetIndex() > index
		switch m.GetTo() {
		case survivor.id: // gets the later entry, and nothing that tells of the commit
			return m.GetCommit() >= index
		case learners[0].id: // learns of the commit, lacks the later entry
			return hasLater || knows()
		case learners[1].id:
			return hasLater || m.GetCommit() >= index
		}
		return false
	}
	sim.deliverUnless(withhold)
	leader.core.Tick()
	sim.deliverUnless(withhold)
	is.True(leader.core.CommitIndex() >= index)
	is.True(survivor.core.LastIndex() > index && survivor.core.CommitIndex() < index)
	is.True(learners[0].core.LastIndex() == index && knows())
	sim.isolate(survivor, learners[0], learners[1]) // two more disks are lost
	for _, m := range []*member{survivor, learners[0], learners[1]} {
		sim.restart(m)
	}
	is.True(sim.runUntil(2000, func() bool {
		return survivor.core.Role() == Leader || learners[0].core.Role() == Leader || learners[1].core.Role() == Leader
	}))
}
