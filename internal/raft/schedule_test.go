package raft

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// action is one kind of step of a schedule and how often it is taken.
type action struct {
	weight int
	run    func(s *schedule)
}

// schedule drives a world by drawn choices.
type schedule struct {
	*world
	t        *rapid.T
	proposed int
}

// uniform draws 12 bits. The library's integers favour small values, with which
// schedules would not get far.
var uniform = rapid.Custom(func(t *rapid.T) int {
	value := 0
	for range 12 {
		value <<= 1
		if rapid.Bool().Draw(t, "bit") {
			value |= 1
		}
	}
	return value
})

func (s *schedule) pick(n int) int {
	return uniform.Draw(s.t, "pick") % n
}

func (s *schedule) anyMember() *member {
	return s.members[s.pick(len(s.members))]
}

func (s *schedule) deliverAny() {
	if len(s.network) == 0 {
		return
	}
	if m := s.deliver(s.pick(len(s.network))); m != nil {
		s.process(m, false)
	}
}

// anyLeader returns a member that leads by its own word, if there is one: often
// the newest, otherwise any.
func (s *schedule) anyLeader() *member {
	m := s.anyMember()
	if m.core.Role() == Leader {
		return m
	}
	return s.leader()
}

// deliverOldest keeps the order, so that schedules get far.
func (s *schedule) deliverOldest() {
	for range min(len(s.network), 4) {
		if m := s.deliver(0); m != nil {
			s.process(m, false)
		}
	}
}

// deliverUnprocessed lets inputs gather before the member works.
func (s *schedule) deliverUnprocessed() {
	if len(s.network) > 0 {
		s.deliver(s.pick(len(s.network)))
	}
}

func (s *schedule) drop() {
	if len(s.network) > 0 {
		at := s.pick(len(s.network))
		s.network = slices.Delete(s.network, at, at+1)
	}
}

func (s *schedule) duplicate() {
	if len(s.network) > 0 && len(s.network) < 200 {
		s.network = append(s.network, s.network[s.pick(len(s.network))])
	}
}

func (s *schedule) tick() {
	m := s.anyMember()
	for range s.pick(5) + 1 {
		m.core.Tick()
	}
	s.process(m, false)
}

func (s *schedule) propose() {
	if m := s.anyLeader(); m != nil {
		s.proposed++
		_, _ = m.core.Propose([]byte(fmt.Sprint("command ", s.proposed)))
		s.process(m, s.pick(8) == 0)
	}
}

func (s *schedule) beginRead() {
	if m := s.anyLeader(); m != nil {
		s.read(m)
		s.process(m, false)
	}
}

func (s *schedule) crash() {
	m := s.anyMember()
	s.process(m, true)
	s.restart(m)
}

func (s *schedule) crashDuringDelivery() {
	if len(s.network) == 0 {
		return
	}
	if m := s.deliver(s.pick(len(s.network))); m != nil {
		s.process(m, true)
	}
}

func (s *schedule) compact() {
	m := s.anyMember()
	s.process(m, false)
	if m.applied <= m.disk.snapshot.Index() {
		return
	}
	term, _ := m.core.TermAt(m.applied)
	m.disk.compact(&apiv1.SnapshotMeta{Index: m.applied, Term: term, Membership: m.core.MembershipAt(m.applied)})
	m.core.Compact(m.applied - min(m.applied, uint64(s.pick(3))))
}

// loseAnyDisk loses a disk unless some membership, in a log or on its way to
// one, would be left without a majority.
func (s *schedule) loseAnyDisk() {
	if m := s.anyMember(); len(s.lost) < 3 && s.bearsLossOf(m.id) {
		s.loseDisk(m)
	}
}

func (s *schedule) bearsLossOf(id uint64) bool {
	for _, message := range s.network {
		underWay := membershipLog{}
		underWay.append(message.GetEntries())
		for _, version := range underWay.versions {
			if !s.hasMajority(version.membership, id) {
				return false
			}
		}
	}
	return !slices.ContainsFunc(s.members, func(m *member) bool {
		return !s.hasMajority(m.core.Membership(), id)
	})
}

func (s *schedule) hasMajority(membership *apiv1.Membership, without uint64) bool {
	alive := 0
	for _, voter := range membership.GetVoters() {
		if voter.GetIncarnation() != without && s.find(voter.GetIncarnation()) != nil {
			alive++
		}
	}
	return len(membership.GetVoters()) == 0 || alive >= quorum(membership)
}

// change takes the next step of a repair at a leader: add an incarnation that
// is no member, promote a learner, or remove a member.
func (s *schedule) change() {
	m := s.anyLeader()
	if m == nil {
		return
	}
	subject := &apiv1.MemberInfo{Incarnation: uint64(s.pick(int(s.nextID))) + 1, Address: "address"}
	change := Change{Kind: ChangeKind(s.pick(3)), Member: subject}
	if change.Kind == AddLearner && s.find(subject.GetIncarnation()) == nil {
		return
	}
	after, err := change.apply(m.core.Membership())
	if err != nil || !s.hasMajority(after, 0) || len(after.GetVoters()) < 2 {
		return
	}
	_, _ = m.core.ChangeMembership(change)
	s.process(m, s.pick(8) == 0)
}

// partition cuts the members in two; messages across get lost.
func (s *schedule) partition() {
	s.cut = make(map[uint64]bool)
	for _, m := range s.members {
		s.cut[m.id] = s.pick(2) == 0
	}
}

func (s *schedule) heal() {
	s.cut = nil
}

// tickAll lets several members' timeouts come close together.
func (s *schedule) tickAll() {
	for range s.pick(8) + 1 {
		for _, m := range s.members {
			m.core.Tick()
			s.process(m, s.pick(16) == 0)
		}
	}
}

func (s *schedule) transfer() {
	if m := s.anyLeader(); m != nil {
		_ = m.core.TransferLeadership()
		s.process(m, false)
	}
}

var actions = []action{
	{30, (*schedule).deliverOldest},
	{30, (*schedule).deliverAny},
	{5, (*schedule).deliverUnprocessed},
	{4, (*schedule).drop},
	{4, (*schedule).duplicate},
	{16, (*schedule).tick},
	{4, (*schedule).tickAll},
	{2, (*schedule).partition},
	{2, (*schedule).heal},
	{12, (*schedule).propose},
	{6, (*schedule).beginRead},
	{3, (*schedule).crash},
	{4, (*schedule).crashDuringDelivery},
	{3, (*schedule).compact},
	{1, (*schedule).loseAnyDisk},
	{10, (*schedule).change},
	{1, (*schedule).transfer},
}

// drawTable draws how often each action is taken in a schedule. Schedules that
// leave some actions out reach states that an even mix does not.
func (s *schedule) drawTable() []func(*schedule) {
	factors := []int{0, 1, 1, 4}
	table := []func(*schedule){(*schedule).deliverOldest, (*schedule).tick}
	for _, a := range actions {
		for range a.weight * factors[s.pick(len(factors))] {
			table = append(table, a.run)
		}
	}
	return table
}

const scheduleSteps = 700

// TestSchedules checks election safety, log matching, leader completeness,
// state machine safety and read-index linearizability on drawn schedules with
// loss, duplication, reordering, crashes, lost disks and membership changes;
// and that each schedule's cluster works again once the network does.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "size")
		s := &schedule{t: t, world: newWorld(size, t.Fatalf)}
		table := s.drawTable()
		s.settle(s.pick(20), func() bool { return s.leader() != nil })
		for range s.pick(scheduleSteps) {
			table[s.pick(len(table))](s)
		}
		s.checkLogs()
		s.checkRecovery()
	})
}

// checkRecovery checks that the cluster commits again once messages arrive.
func (s *schedule) checkRecovery() {
	s.heal()
	goal := s.highest + 2
	settled := s.settle(200, func() bool {
		leader := s.leader()
		if leader == nil {
			return false
		}
		_, _ = leader.core.Propose([]byte("recovery"))
		s.process(leader, false)
		return leader.core.CommitIndex() >= goal
	})
	if !settled {
		s.t.Fatalf("no commit after the network healed: %s", s.describe())
	}
	s.checkLogs()
}

func (s *schedule) describe() string {
	text := ""
	for _, m := range s.members {
		text += fmt.Sprintf("\n  %d: %s term %d log %d..%d commit %d members %v", m.id, m.core.Role(), m.core.Term(),
			m.core.log.offset, m.core.log.last(), m.core.CommitIndex(), m.core.Membership())
	}
	return text
}
