package raft

import (
	"testing"

	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const replacementSteps = 120

// replaceSeveral replaces random voters by all learners in one entry, at a random leader.
func (s *schedule) replaceSeveral() {
	m := s.randomLeader()
	if m == nil {
		return
	}
	var changes []Change
	after := m.core.Membership()
	for _, learner := range after.GetLearners() {
		voter := after.GetVoters()[s.pick(len(after.GetVoters()))]
		for _, change := range []Change{{Kind: PromoteLearner, Member: learner}, {Kind: RemoveMember, Member: voter}} {
			if changed, err := change.apply(after); err == nil && !change.isInEffect(after) {
				changes, after = append(changes, change), changed
			}
		}
	}
	if len(changes) > 0 && s.hasMajority(after, 0) {
		_, _ = m.core.ChangeMembership(changes...)
		s.process(m, s.pick(8) == 0)
	}
}

// addLearnerAtLeader adds a member with an empty disk as a learner, at a random leader.
func (s *schedule) addLearnerAtLeader() {
	m := s.randomLeader()
	if m == nil || len(m.core.Membership().GetLearners()) > 1 || len(s.members) > 10 {
		return
	}
	info := s.newMemberInfo()
	s.addMember(info.GetIncarnation(), disk{})
	_, _ = m.core.ChangeMembership(Change{Kind: AddLearner, Member: &apiv1.MemberInfo{Incarnation: info.GetIncarnation(), Address: info.GetAddress()}})
	s.process(m, false)
}

// leaveBehind separates a leader and its learners from the others.
func (s *schedule) leaveBehind() {
	m := s.randomLeader()
	if m == nil {
		return
	}
	s.firstSide = map[uint64]bool{m.id: true}
	for _, learner := range m.core.Membership().GetLearners() {
		s.firstSide[learner.GetIncarnation()] = true
	}
}

// TestSchedulesOfReplacements checks the same as TestSchedules, with voters that are replaced several at a time, often while the
// leader and the successors are cut off from the others.
func TestSchedulesOfReplacements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{t: t, simulation: newSimulation(5, t.Fatalf)}
		table := []func(*schedule){
			(*schedule).addLearnerAtLeader, (*schedule).replaceSeveral, (*schedule).replaceSeveral, (*schedule).leaveBehind, (*schedule).leaveBehind,
			(*schedule).partition, (*schedule).heal, (*schedule).heal, (*schedule).propose, (*schedule).crash, (*schedule).loseRandomDisk, (*schedule).compact,
		}
		for range 3 {
			table = append(table, (*schedule).deliverRandom, (*schedule).tick, (*schedule).tickAll, (*schedule).propose)
		}
		for range 12 {
			table = append(table, (*schedule).deliverOldest)
		}
		settle := func(ticks int) { s.runUntil(ticks, func() bool { return false }) }
		s.runUntil(30, func() bool { return s.leader() != nil })
		for range s.pick(replacementSteps) {
			table[s.pick(len(table))](s)
			if s.pick(8) == 0 {
				settle(s.pick(12))
			}
		}
		s.checkLogs()
		s.checkRecovery()
	})
}
