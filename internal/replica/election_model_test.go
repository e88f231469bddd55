package replica

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// The timing of the users' platform.
const (
	modelTick        = defaultTickInterval
	modelHeartbeat   = 60 * time.Millisecond
	modelElection    = 300 * time.Millisecond
	modelCallTimeout = 160 * time.Millisecond
)

var errModelCall = errors.New("no answer")

// electionModel runs the cores of a cluster's voters in virtual time, with a driver and senders that work as Replica and
// sender do.
type electionModel struct {
	now    time.Time
	events modelEvents
	random *rand.Rand
	faults modelFaults
	voters []*modelVoter

	faultAt     time.Time // zero before the fault
	committedAt time.Time // of the first command that was proposed after the fault; zero: none was
	counts      modelCounts
	trace       func(format string, args ...any) // nil: none
}

// modelFaults draws what happens to calls and syncs.
type modelFaults struct {
	lostRefuse bool // calls to lost voters are refused at once
	call       func(m *electionModel, from, to int) modelCall
	sync       func(m *electionModel) time.Duration // nil: none takes time
}

// modelCall is what happens to a call between members.
type modelCall struct {
	arrives  time.Duration // after it began
	answered time.Duration // after it arrived
	lost     bool          // it neither arrives nor fails before its timeout
}

// modelCounts is what happened since the fault.
type modelCounts struct {
	preCampaigns int
	campaigns    int
	leaders      int
	splits       int // campaigns that began while another one of the same term had not ended
	expired      int // campaigns given up by the candidate, as the votes had not arrived
	overtaken    int // campaigns ended by a higher term
	quorumLosses int // leaders that stepped down as the voters were silent
	deposed      int // leaders that learned of a higher term
	afterCommit  int // leaderships that ended after the commit
}

func newElectionModel(seed uint64, size int, faults modelFaults) *electionModel {
	m := &electionModel{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)), faults: faults}
	membership := &apiv1.Membership{}
	for i := range size {
		membership.Voters = append(membership.Voters, &apiv1.MemberInfo{Incarnation: uint64(i + 1)})
	}
	for i := range size {
		v := &modelVoter{model: m, number: i, id: uint64(i + 1), snapshot: &apiv1.SnapshotMeta{Index: 1, Term: 1, Membership: membership}}
		m.voters = append(m.voters, v)
		v.start()
		m.after(time.Duration(m.random.Int64N(int64(modelTick))), v.wake)
	}
	return m
}

// after calls run when the given time has passed.
func (m *electionModel) after(d time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), sequence: m.events.next(), run: run})
}

// runUntil runs until the time, or until done returns true.
func (m *electionModel) runUntil(end time.Time, done func() bool) bool {
	for m.events.Len() > 0 && !m.events.items[0].at.After(end) {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.run()
		if done() {
			return true
		}
	}
	m.now = end
	return false
}

// leader returns the leader of the highest term, or nil.
func (m *electionModel) leader() *modelVoter {
	var leader *modelVoter
	for _, v := range m.voters {
		if !v.isLost && v.core.Role() == raft.Leader && (leader == nil || v.core.Term() > leader.core.Term()) {
			leader = v
		}
	}
	return leader
}

func (m *electionModel) tracef(format string, args ...any) {
	if m.trace != nil && !m.faultAt.IsZero() {
		m.trace("%8.3f "+format, append([]any{m.now.Sub(m.faultAt).Seconds()}, args...)...)
	}
}

// count counts a voter's change of role or term.
func (m *electionModel) count(was raft.Role, before uint64, role raft.Role, term uint64) {
	c := &m.counts
	switch {
	case was == raft.Leader && term == before:
		c.quorumLosses++
	case was == raft.Leader:
		c.deposed++
	case was == raft.Candidate && role == raft.PreCandidate:
		c.expired++
	case was == raft.Candidate && term > before:
		c.overtaken++
	}
	if was == raft.Leader && !m.committedAt.IsZero() {
		c.afterCommit++
	}
	switch role {
	case raft.PreCandidate:
		c.preCampaigns++
	case raft.Leader:
		c.leaders++
	case raft.Candidate:
		c.campaigns++
		for _, other := range m.voters {
			if !other.isLost && other.core.Role() == raft.Candidate && other.core.Term() == term && other.role == raft.Candidate {
				c.splits++
			}
		}
		c.splits-- // itself
	}
}

func (c *modelCounts) add(other modelCounts) {
	c.preCampaigns += other.preCampaigns
	c.campaigns += other.campaigns
	c.leaders += other.leaders
	c.splits += other.splits
	c.expired += other.expired
	c.overtaken += other.overtaken
	c.quorumLosses += other.quorumLosses
	c.deposed += other.deposed
	c.afterCommit += other.afterCommit
}
