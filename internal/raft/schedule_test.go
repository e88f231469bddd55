package raft

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// action is a kind of step in a schedule and the relative frequency of it.
type action struct {
	weight int
	run    func(s *schedule)
}

// schedule drives a simulation with randomly drawn steps.
type schedule struct {
	*simulation
	t        *rapid.T
	proposed int
}

// uniform draws 12 uniformly distributed bits. The integers that rapid draws
// itself are biased towards small values, with which schedules would make little
// progress.
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

// pick draws an integer in [0, n).
func (s *schedule) pick(n int) int {
	return uniform.Draw(s.t, "pick") % n
}

func (s *schedule) randomMember() *member {
	return s.members[s.pick(len(s.members))]
}

func (s *schedule) deliverRandom() {
	if len(s.network) == 0 {
		return
	}
	if m := s.deliver(s.pick(len(s.network))); m != nil {
		s.process(m, false)
	}
}

// randomLeader returns a member that considers itself leader, or nil if there is
// none: a random member if that is such a leader, otherwise the leader of the
// highest term.
func (s *schedule) randomLeader() *member {
	m := s.randomMember()
	if m.core.Role() == Leader {
		return m
	}
	return s.leader()
}

// deliverOldest delivers up to 4 messages in the order sent, so that schedules
// make progress.
func (s *schedule) deliverOldest() {
	for range min(len(s.network), 4) {
		if m := s.deliver(0); m != nil {
			s.process(m, false)
		}
	}
}

// deliverWithoutProcessing delivers a message whose effects are processed
// together with later inputs of the member.
func (s *schedule) deliverWithoutProcessing() {
	if len(s.network) > 0 {
		s.deliver(s.pick(len(s.network)))
	}
}

func (s *schedule) dropMessage() {
	if len(s.network) > 0 {
		at := s.pick(len(s.network))
		s.network = slices.Delete(s.network, at, at+1)
	}
}

func (s *schedule) duplicateMessage() {
	if len(s.network) > 0 && len(s.network) < 200 {
		s.network = append(s.network, s.network[s.pick(len(s.network))])
	}
}

func (s *schedule) tick() {
	m := s.randomMember()
	for range s.pick(5) + 1 {
		m.core.SkipTicks(s.pick(2))
		m.core.Tick()
	}
	s.process(m, false)
}

func (s *schedule) propose() {
	if m := s.randomLeader(); m != nil {
		s.proposed++
		_, _ = m.core.Propose([]byte(fmt.Sprint("command ", s.proposed)))
		s.process(m, s.pick(8) == 0)
	}
}

func (s *schedule) beginRead() {
	if m := s.randomLeader(); m != nil {
		s.read(m)
		s.process(m, false)
	}
}

func (s *schedule) crash() {
	m := s.randomMember()
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
	m := s.randomMember()
	s.process(m, false)
	if m.applied <= m.disk.snapshot.Index() {
		return
	}
	term, _ := m.core.TermAt(m.applied)
	m.disk.compact(&apiv1.SnapshotMeta{Index: m.applied, Term: term, Membership: m.core.MembershipAt(m.applied)})
	m.core.Compact(m.applied - min(m.applied, uint64(s.pick(3))))
}

// loseRandomDisk loses a disk unless that leaves some membership, in a log or in
// an append message in flight, without a majority.
func (s *schedule) loseRandomDisk() {
	if m := s.randomMember(); len(s.lost) < 3 && s.toleratesLossOf(m.id) {
		s.loseDisk(m)
	}
}

func (s *schedule) toleratesLossOf(id uint64) bool {
	for _, message := range s.network {
		inFlight := membershipLog{}
		inFlight.append(message.GetEntries())
		for _, version := range inFlight.versions {
			if !s.hasMajority(version.membership, id) {
				return false
			}
		}
	}
	return !slices.ContainsFunc(s.members, func(m *member) bool {
		needed := m.core.electorate()
		return !s.hasMajority(needed.latest, id) || needed.previous != nil && !s.hasMajority(needed.previous, id)
	})
}

// hasMajority reports whether a majority of the voters still has its disk, not
// counting the incarnation without.
func (s *schedule) hasMajority(membership *apiv1.Membership, without uint64) bool {
	alive := 0
	for _, voter := range membership.GetVoters() {
		if voter.GetIncarnation() != without && s.find(voter.GetIncarnation()) != nil {
			alive++
		}
	}
	return len(membership.GetVoters()) == 0 || alive >= quorum(membership)
}

// change proposes random membership changes in one entry at a leader: each adds, promotes or
// removes a random incarnation. Changes that leave fewer than two voters, or no
// majority of voters with a disk, are skipped.
func (s *schedule) change() {
	m := s.randomLeader()
	if m == nil {
		return
	}
	var changes []Change
	after := m.core.Membership()
	for _, change := range s.drawChanges(after) {
		subject := change.Member
		changed, err := change.apply(after)
		if err != nil || change.isInEffect(after) || change.Kind == AddLearner && s.find(subject.GetIncarnation()) == nil {
			continue
		}
		changes, after = append(changes, change), changed
	}
	if len(changes) == 0 || !s.hasMajority(after, 0) || len(after.GetVoters()) < 2 {
		return
	}
	_, _ = m.core.ChangeMembership(changes...)
	s.process(m, s.pick(8) == 0)
}

// drawChanges draws one change, or several of the same entry: the replacement of voters by the learners, or any.
func (s *schedule) drawChanges(membership *apiv1.Membership) []Change {
	drawn := func() *apiv1.MemberInfo {
		return &apiv1.MemberInfo{Incarnation: uint64(s.pick(int(s.nextID))) + 1, Address: "address"}
	}
	var changes []Change
	switch s.pick(4) {
	case 0:
		for range s.pick(maxChangesPerEntry) + 1 {
			changes = append(changes, Change{Kind: ChangeKind(s.pick(3)), Member: drawn()})
		}
	case 1:
		for _, learner := range membership.GetLearners() {
			voter := membership.GetVoters()[s.pick(len(membership.GetVoters()))]
			changes = append(changes, Change{Kind: PromoteLearner, Member: learner}, Change{Kind: RemoveMember, Member: voter})
		}
	default:
		changes = append(changes, Change{Kind: ChangeKind(s.pick(3)), Member: drawn()})
	}
	return changes
}

// partition splits the members at random into two sides; messages between the
// sides are lost.
func (s *schedule) partition() {
	s.firstSide = make(map[uint64]bool)
	for _, m := range s.members {
		s.firstSide[m.id] = s.pick(2) == 0
	}
}

func (s *schedule) heal() {
	s.firstSide = nil
}

// tickAll ticks all members alike, so that several time out at about the same
// time.
func (s *schedule) tickAll() {
	for range s.pick(8) + 1 {
		for _, m := range s.members {
			m.core.Tick()
			s.process(m, s.pick(16) == 0)
		}
	}
}

func (s *schedule) transfer() {
	if m := s.randomLeader(); m != nil {
		_ = m.core.TransferLeadership()
		s.process(m, false)
	}
}

var actions = []action{
	{30, (*schedule).deliverOldest},
	{30, (*schedule).deliverRandom},
	{5, (*schedule).deliverWithoutProcessing},
	{4, (*schedule).dropMessage},
	{4, (*schedule).duplicateMessage},
	{16, (*schedule).tick},
	{4, (*schedule).tickAll},
	{2, (*schedule).partition},
	{2, (*schedule).heal},
	{12, (*schedule).propose},
	{6, (*schedule).beginRead},
	{3, (*schedule).crash},
	{4, (*schedule).crashDuringDelivery},
	{3, (*schedule).compact},
	{1, (*schedule).loseRandomDisk},
	{10, (*schedule).change},
	{1, (*schedule).transfer},
}

// drawActionTable draws how often each action is taken in a schedule. Schedules
// that leave some actions out reach states that an even mix does not.
func (s *schedule) drawActionTable() []func(*schedule) {
	factors := []int{0, 1, 1, 4}
	table := []func(*schedule){(*schedule).deliverOldest, (*schedule).tick}
	for _, a := range actions {
		for range a.weight * factors[s.pick(len(factors))] {
			table = append(table, a.run)
		}
	}
	return table
}

const (
	scheduleSteps      = 700
	maxChangesPerEntry = 4
)

// TestSchedules checks election safety, log matching, leader completeness,
// state machine safety and linearizability of read-index rounds under random
// schedules with message loss, duplication and reordering, crashes, lost disks
// and membership changes. It also checks that the cluster commits again once the
// network works.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "size")
		s := &schedule{t: t, simulation: newSimulation(size, t.Fatalf)}
		table := s.drawActionTable()
		s.runUntil(s.pick(20), func() bool { return s.leader() != nil })
		for range s.pick(scheduleSteps) {
			table[s.pick(len(table))](s)
		}
		s.checkLogs()
		s.checkRecovery()
	})
}

// checkRecovery checks that the cluster commits again once all messages are
// delivered.
func (s *schedule) checkRecovery() {
	s.heal()
	goal := s.highestCommit + 2
	recovered := s.runUntil(200, func() bool {
		leader := s.leader()
		if leader == nil {
			return false
		}
		_, _ = leader.core.Propose([]byte("recovery"))
		s.process(leader, false)
		return leader.core.CommitIndex() >= goal
	})
	if !recovered {
		s.t.Fatalf("no commit after the network healed: %s", s.describe())
	}
	s.checkLogs()
}

// describe returns the state of each member for failure messages.
func (s *schedule) describe() string {
	text := ""
	for _, m := range s.members {
		text += fmt.Sprintf("\n  %d: %s term %d log %d..%d commit %d members %v", m.id, m.core.Role(), m.core.Term(),
			m.core.log.compactedIndex, m.core.log.last(), m.core.CommitIndex(), m.core.Membership())
	}
	return text
}
