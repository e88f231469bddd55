package raft

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// elected returns a world whose first member leads and has committed.
func elected(t *testing.T, size int) (*world, *member) {
	t.Helper()
	w := newWorld(size, t.Fatalf)
	first := w.members[0]
	first.core.preCampaign()
	w.drain()
	if first.core.Role() != Leader || !first.core.committedInTerm() {
		t.Fatalf("member %d is a %s without a commit", first.id, first.core.Role())
	}
	return w, first
}

// drain processes all members and delivers until nothing is left to do.
func (w *world) drain() {
	for _, m := range w.members {
		w.process(m, false)
	}
	for len(w.network) > 0 {
		if m := w.deliver(0); m != nil {
			w.process(m, false)
		}
	}
}

func (w *world) isolate(members ...*member) {
	w.cut = make(map[uint64]bool)
	for _, m := range members {
		w.cut[m.id] = true
	}
}

func (w *world) tick(m *member, times int) {
	for range times {
		m.core.Tick()
		w.drain()
	}
}

func (w *world) propose(t *testing.T, m *member) uint64 {
	t.Helper()
	index, err := m.core.Propose([]byte("command"))
	if err != nil {
		t.Fatal(err)
	}
	w.drain()
	return index
}

// join makes a new, empty member known to the leader as a learner.
func (w *world) join(t *testing.T, leader *member) *member {
	t.Helper()
	info := w.nextInfo()
	added := w.add(info.GetIncarnation(), disk{})
	if _, err := leader.core.ChangeMembership(Change{Kind: AddLearner, Member: info}); err != nil {
		t.Fatal(err)
	}
	w.drain()
	w.tick(leader, 2)
	return added
}

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

// TestOlderTermIsNotCommittedByCounting is the case of figure 8 of the Raft
// paper: an older entry on a majority can still be overwritten.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	w.isolate(first)
	command := make([]byte, first.core.options.MaxAppendBytes) // fills a message alone
	older, err := first.core.Propose(command)                  // reaches nobody
	is.NoErr(err)
	first.core.becomeFollower(first.core.Term()+2, 0)
	w.process(first, false)
	commit := first.core.CommitIndex()

	w.cut = nil
	first.core.campaign(true)
	w.process(first, false)
	for len(w.network) > 0 {
		w.process(w.deliver(0), false)
		is.True(first.core.CommitIndex() != older) // only together with an entry of the new term
	}
	is.True(commit < older)
	is.Equal(first.core.CommitIndex(), older+1)
}

func TestFollowerCommitsOnlyWhatMatchesTheLeader(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	follower := w.members[1]
	w.propose(t, first)
	w.isolate(follower)
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
	w, first := elected(t, 3)
	learner := w.join(t, first)
	commit := first.core.CommitIndex()
	w.isolate(first, learner)
	index := w.propose(t, first)
	w.tick(first, 2)
	is.Equal(learner.core.LastIndex(), index)  // the learner has the entry
	is.Equal(first.core.CommitIndex(), commit) // and is not counted
}

func TestLearnerNeverCampaigns(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	learner := w.join(t, first)
	w.isolate(learner)
	w.tick(learner, 50)
	is.Equal(learner.core.Role(), Follower)
	is.Equal(learner.core.Term(), first.core.Term())
}

// TestLearnerVotesForACandidateThatCountsIt is the case of a leader that is lost
// right after it promoted a learner, before the learner has heard of it.
func TestLearnerVotesForACandidateThatCountsIt(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 5)
	learner := w.join(t, first)
	w.isolate(learner)
	promotion := Change{Kind: PromoteLearner, Member: &apiv1.MemberInfo{Incarnation: learner.id}}
	_, err := first.core.ChangeMembership(promotion)
	is.NoErr(err)
	w.drain()
	second := w.members[1]
	is.True(isVoter(second.core.Membership(), learner.id))
	is.True(!isVoter(learner.core.Membership(), learner.id))

	w.isolate(first, w.members[4]) // both are lost: 4 of 6 voters are left
	for range 50 {
		w.tick(learner, 1) // its lease on votes runs out
		w.tick(w.members[2], 1)
		w.tick(w.members[3], 1)
		w.tick(second, 1)
		if leader := w.leader(); leader.core.Term() > first.core.Term() {
			return
		}
	}
	t.Fatal("the four voters elected no leader")
}

func TestMemberOutsideItsMembershipNeitherCampaignsNorVotes(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, t.Fatalf)
	empty := w.add(w.nextInfo().GetIncarnation(), disk{})
	w.tick(empty, 100)
	is.Equal(empty.core.Role(), Follower)
	is.Equal(empty.core.Term(), uint64(0))

	empty.core.Step(voteRequest(w.members[0], empty, 5))
	ready := empty.core.Ready()
	is.Equal(len(ready.MessagesAfterSync), 1)
	is.True(ready.MessagesAfterSync[0].GetReject())
	is.Equal(ready.HardState.Vote, uint64(0))
}

func TestReturningMemberDoesNotDisturbTheLeader(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	away := w.members[2]
	term := first.core.Term()
	w.isolate(away)
	w.tick(away, 50)
	is.Equal(away.core.Term(), term) // pre-vote enters no term
	w.cut = nil
	w.tick(away, 1)
	w.tick(first, 2)
	is.Equal(first.core.Role(), Leader)
	is.Equal(away.core.Leader(), first.id)
}

func TestVotesAreRefusedWhileALeaderIsHeard(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	removed := w.members[2]
	_, err := first.core.ChangeMembership(Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: removed.id}})
	is.NoErr(err)
	w.drain()
	term := first.core.Term()
	for _, m := range w.members[:2] {
		m.core.Step(voteRequest(removed, m, term+5))
		is.Equal(m.core.Term(), term)
	}
	is.Equal(first.core.Role(), Leader)
}

func TestLeaderWithoutAMajorityStepsDown(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	w.isolate(first)
	is.NoErr(first.core.ReadIndex(1))
	w.tick(first, first.core.options.ElectionTicks)
	is.Equal(first.core.Role(), Follower)
	is.Equal(first.core.Leader(), uint64(0))
}

func TestLeaderThatRemovesItselfHandsOver(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	_, err := first.core.ChangeMembership(Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: first.id}})
	is.NoErr(err)
	is.Equal(first.core.Role(), Leader) // until the change is committed
	w.drain()
	is.Equal(first.core.Role(), Follower)
	is.True(w.leader() != nil && w.leader() != first)
	w.tick(first, 50)
	is.Equal(first.core.Role(), Follower) // and never campaigns again
}

// TestLeaderThatFellWhileRemovingItselfCanFinish is the case of a self-removal
// that reached nobody: without the former leader the others lack a majority, and
// its log is ahead of theirs.
func TestLeaderThatFellWhileRemovingItselfCanFinish(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 4)
	w.isolate(first)
	_, err := first.core.ChangeMembership(Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: first.id}})
	is.NoErr(err)
	w.drain()
	w.loseDisk(w.members[1])
	w.restart(first)
	w.cut = nil
	is.True(w.settle(100, func() bool {
		leader := w.leader()
		return leader != nil && leader != first && leader.core.committedInTerm()
	}))
	is.Equal(len(w.leader().core.Membership().GetVoters()), 3)
}

func TestTransferMakesTheTransfereeLeadAtOnce(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 3)
	is.NoErr(first.core.TransferLeadership())
	_, err := first.core.Propose([]byte("command"))
	is.True(errors.Is(err, ErrTransferInProgress))
	w.drain()
	is.Equal(first.core.Role(), Follower)
	is.True(w.leader() != nil)
}

func TestNothingLeavesBeforeOwnVoteIsOnDisk(t *testing.T) {
	is := is.New(t)
	w, first := elected(t, 1)
	w.join(t, first)
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
		change func(w *world, learner *member) Change
		before func(w *world, leader, learner *member)
		want   error
	}{
		{
			name:   "a learner that does not answer is not promoted",
			change: promote,
			before: func(w *world, leader, learner *member) {
				w.isolate(learner)
				w.tick(leader, leader.core.options.ElectionTicks)
			},
			want: ErrNotCaughtUp,
		},
		{
			name:   "a learner that is behind is not promoted",
			change: promote,
			before: func(w *world, leader, learner *member) {
				w.isolate(learner)
				for range leader.core.options.MaxLearnerLag + 1 {
					_, _ = leader.core.Propose([]byte("command"))
					w.drain()
				}
			},
			want: ErrNotCaughtUp,
		},
		{
			name:   "no second change before the first is committed",
			change: promote,
			before: func(w *world, leader, _ *member) {
				_, _ = leader.core.ChangeMembership(Change{Kind: AddLearner, Member: w.nextInfo()})
			},
			want: ErrChangeInProgress,
		},
		{
			name: "a removal that leaves no answering majority",
			change: func(w *world, _ *member) Change {
				return Change{Kind: RemoveMember, Member: &apiv1.MemberInfo{Incarnation: w.members[1].id}}
			},
			before: func(w *world, leader, _ *member) {
				w.isolate(w.members[2])
				w.tick(leader, leader.core.options.ElectionTicks)
			},
			want: ErrInvalidChange,
		},
		{
			name: "a learner without an address",
			change: func(*world, *member) Change {
				return Change{Kind: AddLearner, Member: &apiv1.MemberInfo{Incarnation: 99}}
			},
			want: ErrInvalidChange,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w, leader := elected(t, 3)
			learner := w.join(t, leader)
			if test.before != nil {
				test.before(w, leader, learner)
			}
			last := leader.core.LastIndex()
			_, err := leader.core.ChangeMembership(test.change(w, learner))
			is.True(errors.Is(err, test.want))
			is.Equal(leader.core.LastIndex(), last)
		})
	}
}

func promote(_ *world, learner *member) Change {
	return Change{Kind: PromoteLearner, Member: &apiv1.MemberInfo{Incarnation: learner.id}}
}
