package raft

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// newSimulationWithLeader returns a simulation whose first member is the leader
// and has committed an entry of its term.
func newSimulationWithLeader(t *testing.T, size int) (*simulation, *member) {
	t.Helper()
	sim := newSimulation(size, t.Fatalf)
	first := sim.members[0]
	first.core.preCampaign()
	sim.deliverAll()
	if first.core.Role() != Leader || !first.core.hasCommittedInTerm() {
		t.Fatalf("member %d is a %s without a commit", first.id, first.core.Role())
	}
	return sim, first
}

// deliverAll processes all members and delivers messages until none is left.
func (sim *simulation) deliverAll() {
	for _, m := range sim.members {
		sim.process(m, false)
	}
	for len(sim.network) > 0 {
		if m := sim.deliver(0); m != nil {
			sim.process(m, false)
		}
	}
}

// isolate partitions the network: the given members on one side, all others on
// the other.
func (sim *simulation) isolate(members ...*member) {
	sim.firstSide = make(map[uint64]bool)
	for _, m := range members {
		sim.firstSide[m.id] = true
	}
}

func (sim *simulation) tick(m *member, times int) {
	for range times {
		m.core.Tick()
		sim.deliverAll()
	}
}

// propose proposes a command at the member, delivers all messages and returns
// the index of the entry.
func (sim *simulation) propose(t *testing.T, m *member) uint64 {
	t.Helper()
	index, err := m.core.Propose([]byte("command"))
	if err != nil {
		t.Fatal(err)
	}
	sim.deliverAll()
	return index
}

// addLearner adds a new member with an empty disk to the cluster as a learner.
func (sim *simulation) addLearner(t *testing.T, leader *member) *member {
	t.Helper()
	info := sim.newMemberInfo()
	added := sim.addMember(info.GetIncarnation(), disk{})
	if _, err := leader.core.ChangeMembership(Change{Kind: AddLearner, Member: info}); err != nil {
		t.Fatal(err)
	}
	sim.deliverAll()
	sim.tick(leader, 2)
	return added
}

// voteRequest returns a vote request of a candidate whose log is ahead of all
// others.
func voteRequest(from, to *member, term uint64) *apiv1.RaftMessage {
	return &apiv1.RaftMessage{
		Type:    apiv1.RaftMessage_TYPE_VOTE,
		From:    from.id,
		To:      to.id,
		Term:    term,
		Index:   100,
		LogTerm: term,
	}
}

// TestOlderTermIsNotCommittedByCounting covers figure 8 of the Raft paper: an
// entry of an older term that is on a majority can still be overwritten, so it
// must not be committed before an entry of the new term is.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	sim.isolate(first)
	command := make([]byte, first.core.options.MaxAppendBytes) // fills an append message
	older, err := first.core.Propose(command)                  // reaches no other member
	is.NoErr(err)
	first.core.becomeFollower(first.core.Term()+2, 0)
	sim.process(first, false)
	commit := first.core.CommitIndex()

	sim.firstSide = nil
	first.core.campaign(true)
	sim.process(first, false)
	for len(sim.network) > 0 {
		sim.process(sim.deliver(0), false)
		is.True(first.core.CommitIndex() != older) // only committed together with an entry of the new term
	}
	is.True(commit < older)
	is.Equal(first.core.CommitIndex(), older+1)
}

func TestFollowerCommitsOnlyWhatMatchesTheLeader(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	follower := sim.members[1]
	sim.propose(t, first)
	sim.isolate(follower)
	follower.core.log.append(&apiv1.LogEntry{Term: 1, Index: follower.core.LastIndex() + 1})
	matched := follower.core.LastIndex() - 1
	term, _ := follower.core.TermAt(matched)
	follower.core.Step(&apiv1.RaftMessage{
		Type:    apiv1.RaftMessage_TYPE_APPEND,
		From:    first.id,
		To:      follower.id,
		Term:    first.core.Term(),
		Index:   matched,
		LogTerm: term,
		Commit:  matched + 1,
	})
	is.Equal(follower.core.CommitIndex(), matched)
}

func TestLearnerIsNotCountedForCommits(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	learner := sim.addLearner(t, first)
	commit := first.core.CommitIndex()
	sim.isolate(first, learner)
	index := sim.propose(t, first)
	sim.tick(first, 2)
	is.Equal(learner.core.LastIndex(), index)  // the learner has the entry
	is.Equal(first.core.CommitIndex(), commit) // but is not counted
}

func TestLearnerNeverCampaigns(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	learner := sim.addLearner(t, first)
	sim.isolate(learner)
	sim.tick(learner, 50)
	is.Equal(learner.core.Role(), Follower)
	is.Equal(learner.core.Term(), first.core.Term())
}

// TestLearnerVotesForACandidateThatCountsIt covers a leader that is lost right
// after it promoted a learner, before the learner has learned of its promotion.
// Without the learner's vote the remaining voters could not elect a leader.
func TestLearnerVotesForACandidateThatCountsIt(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 5)
	learner := sim.addLearner(t, first)
	sim.isolate(learner)
	promotion := Change{Kind: PromoteLearner, Member: &apiv1.MemberInfo{Incarnation: learner.id}}
	_, err := first.core.ChangeMembership(promotion)
	is.NoErr(err)
	sim.deliverAll()
	second := sim.members[1]
	is.True(isVoter(second.core.Membership(), learner.id))
	is.True(!isVoter(learner.core.Membership(), learner.id))

	sim.isolate(first, sim.members[4]) // both are lost: 4 of 6 voters remain
	for range 50 {
		sim.tick(learner, 1) // until it no longer refuses votes for having heard from the leader
		sim.tick(sim.members[2], 1)
		sim.tick(sim.members[3], 1)
		sim.tick(second, 1)
		if leader := sim.leader(); leader.core.Term() > first.core.Term() {
			return
		}
	}
	t.Fatal("the four voters elected no leader")
}

func TestMemberOutsideItsMembershipNeitherCampaignsNorVotes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, t.Fatalf)
	empty := sim.addMember(sim.newMemberInfo().GetIncarnation(), disk{})
	sim.tick(empty, 100)
	is.Equal(empty.core.Role(), Follower)
	is.Equal(empty.core.Term(), uint64(0))

	empty.core.Step(voteRequest(sim.members[0], empty, 5))
	ready := empty.core.Ready()
	is.Equal(len(ready.MessagesAfterSync), 1)
	is.True(ready.MessagesAfterSync[0].GetReject())
	is.Equal(ready.HardState.Vote, uint64(0))
}

func TestReturningMemberDoesNotDisturbTheLeader(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	returning := sim.members[2]
	term := first.core.Term()
	sim.isolate(returning)
	sim.tick(returning, 50)
	is.Equal(returning.core.Term(), term) // a pre-vote enters no new term
	sim.firstSide = nil
	sim.tick(returning, 1)
	sim.tick(first, 2)
	is.Equal(first.core.Role(), Leader)
	is.Equal(returning.core.Leader(), first.id)
}

func TestVotesAreRefusedWhileTheLeaderIsActive(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	removed := sim.members[2]
	_, err := first.core.ChangeMembership(Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: removed.id}})
	is.NoErr(err)
	sim.deliverAll()
	term := first.core.Term()
	for _, m := range sim.members[:2] {
		m.core.Step(voteRequest(removed, m, term+5))
		is.Equal(m.core.Term(), term)
	}
	is.Equal(first.core.Role(), Leader)
}

func TestLeaderWithoutAMajorityStepsDown(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	sim.isolate(first)
	is.NoErr(first.core.ReadIndex(1))
	sim.tick(first, first.core.options.ElectionTicks)
	is.Equal(first.core.Role(), Follower)
	is.Equal(first.core.Leader(), uint64(0))
}

func TestLeaderThatRemovesItselfTransfersLeadership(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	_, err := first.core.ChangeMembership(Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: first.id}})
	is.NoErr(err)
	is.Equal(first.core.Role(), Leader) // until the change is committed
	sim.deliverAll()
	is.Equal(first.core.Role(), Follower)
	is.True(sim.leader() != nil && sim.leader() != first)
	sim.tick(first, 50)
	is.Equal(first.core.Role(), Follower) // it never campaigns again
}

// TestLeaderThatCrashedWhileRemovingItselfCanFinish covers a leader that crashes
// after it appended its own removal but before it sent the entry to anyone.
// Another voter then loses its disk, so the others lack a majority without the
// former leader, whose log is ahead of theirs: it must be able to win an
// election.
func TestLeaderThatCrashedWhileRemovingItselfCanFinish(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 4)
	sim.isolate(first)
	_, err := first.core.ChangeMembership(Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: first.id}})
	is.NoErr(err)
	sim.deliverAll()
	sim.loseDisk(sim.members[1])
	sim.restart(first)
	sim.firstSide = nil
	is.True(sim.runUntil(100, func() bool {
		leader := sim.leader()
		return leader != nil && leader != first && leader.core.hasCommittedInTerm()
	}))
	is.Equal(len(sim.leader().core.Membership().GetVoters()), 3)
}

func TestTransferMakesTheTransfereeLeadAtOnce(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 3)
	is.NoErr(first.core.TransferLeadership())
	_, err := first.core.Propose([]byte("command"))
	is.True(errors.Is(err, ErrTransferInProgress))
	sim.deliverAll()
	is.Equal(first.core.Role(), Follower)
	is.True(sim.leader() != nil)
}

func TestNoMessageIsSentBeforeOwnVoteIsOnDisk(t *testing.T) {
	is := is.New(t)
	sim, first := newSimulationWithLeader(t, 1)
	sim.addLearner(t, first)
	first.core.becomeFollower(first.core.Term(), 0)
	first.core.campaign(false)
	ready := first.core.Ready()
	is.True(ready.MustSync)
	is.Equal(len(ready.Messages), 0)
	is.Equal(first.core.Role(), Candidate)
	first.core.Advance()
	is.Equal(first.core.Role(), Leader)
}

func TestMembershipChangesAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(sim *simulation, learner *member) Change
		before func(sim *simulation, leader, learner *member)
		want   error
	}{
		{
			name:   "a learner that does not answer is not promoted",
			change: promote,
			before: func(sim *simulation, leader, learner *member) {
				sim.isolate(learner)
				sim.tick(leader, leader.core.options.ElectionTicks)
			},
			want: ErrNotCaughtUp,
		},
		{
			name:   "a learner that is behind is not promoted",
			change: promote,
			before: func(sim *simulation, leader, learner *member) {
				sim.isolate(learner)
				for range leader.core.options.MaxLearnerLag + 1 {
					_, _ = leader.core.Propose([]byte("command"))
					sim.deliverAll()
				}
			},
			want: ErrNotCaughtUp,
		},
		{
			name:   "no second change before the first is committed",
			change: promote,
			before: func(sim *simulation, leader, _ *member) {
				_, _ = leader.core.ChangeMembership(Change{Kind: AddLearner, Member: sim.newMemberInfo()})
			},
			want: ErrChangeInProgress,
		},
		{
			name: "a removal that leaves no answering majority",
			change: func(sim *simulation, _ *member) Change {
				return Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: sim.members[1].id}}
			},
			before: func(sim *simulation, leader, _ *member) {
				sim.isolate(sim.members[2])
				sim.tick(leader, leader.core.options.ElectionTicks)
			},
			want: ErrInvalidChange,
		},
		{
			name: "a learner without an address",
			change: func(*simulation, *member) Change {
				return Change{Kind: AddLearner, Member: &apiv1.MemberInfo{Incarnation: 99}}
			},
			want: ErrInvalidChange,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim, leader := newSimulationWithLeader(t, 3)
			learner := sim.addLearner(t, leader)
			if test.before != nil {
				test.before(sim, leader, learner)
			}
			last := leader.core.LastIndex()
			_, err := leader.core.ChangeMembership(test.change(sim, learner))
			is.True(errors.Is(err, test.want))
			is.Equal(leader.core.LastIndex(), last)
		})
	}
}

func promote(_ *simulation, learner *member) Change {
	return Change{Kind: PromoteLearner, Member: &apiv1.MemberInfo{Incarnation: learner.id}}
}
