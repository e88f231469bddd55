package replica

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// replacementSchedules is how many schedules of a replacement are played for each one of other faults; few of them draw a
// replacement that only one of the slow voters has.
const replacementSchedules = 10

// replacementFault is what holds calls during a replacement.
type replacementFault struct {
	name   string
	bound  time.Duration
	median time.Duration // bound of the median where a leader stays and a majority of each membership responds fast; 0: none
	// draw returns the delay of a call between two voters, of which the first three are left of those before.
	draw func(random *rand.Rand) func(m *electionModel, from, to int) time.Duration
}

// amongThoseLeft holds the calls between the voters that are left of those before.
func amongThoseLeft(delay time.Duration) func(*rand.Rand) func(*electionModel, int, int) time.Duration {
	return func(*rand.Rand) func(*electionModel, int, int) time.Duration {
		return func(m *electionModel, from, to int) time.Duration {
			if max(from, to) < 3 {
				return delay
			}
			return m.below(fastCall)
		}
	}
}

var replacementFaults = []replacementFault{
	{"fast", modelFailover, 0, amongThoseLeft(fastCall)},
	{"those left 200ms", modelRecovery, 0, amongThoseLeft(200 * time.Millisecond)},
	{"those left 400ms", modelRecovery, 0, amongThoseLeft(400 * time.Millisecond)},
	{"those left 800ms", modelRecovery, 0, amongThoseLeft(800 * time.Millisecond)},
	{"one of those left 800ms", modelRecovery, 0, func(random *rand.Rand) func(*electionModel, int, int) time.Duration {
		slow := random.IntN(3)
		return func(m *electionModel, from, to int) time.Duration {
			if from == slow || to == slow {
				return 800 * time.Millisecond
			}
			return m.below(fastCall)
		}
	}},
	{"one link of those left 800ms", modelRecovery, modelFailover, oneLinkOfThoseLeft(800 * time.Millisecond)},
	{"one link of those left 1200ms", modelRecovery, modelFailover, oneLinkOfThoseLeft(1200 * time.Millisecond)},
}

func oneLinkOfThoseLeft(delay time.Duration) func(*rand.Rand) func(*electionModel, int, int) time.Duration {
	return func(random *rand.Rand) func(*electionModel, int, int) time.Duration {
		between := random.IntN(3) // the one of those left whose calls are fast
		return func(m *electionModel, from, to int) time.Duration {
			if max(from, to) < 3 && from != between && to != between {
				return delay
			}
			return m.below(fastCall)
		}
	}
}

// newReplacementModel returns a model of seven members, of which the last two are to replace the fourth and the fifth.
func newReplacementModel(seed uint64, membership *apiv1.Membership) *electionModel {
	m := &electionModel{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)), faults: uniformDelay(fastCall)(nil)}
	for id := uint64(1); id <= 7; id++ {
		m.voters = append(m.voters, &modelVoter{
			model: m, number: int(id - 1), id: id, snapshot: &apiv1.SnapshotMeta{Index: 1, Term: 1, Membership: membership},
		})
	}
	return m
}

// start starts all members that are not lost.
func (m *electionModel) start() {
	for _, v := range m.voters {
		v.start()
		m.after(m.below(modelTick), v.wake)
	}
}

// hold holds the calls from now on, as the fault draws it.
func (m *electionModel) hold(fault replacementFault) {
	delay := fault.draw(m.random)
	m.faults.call = func(m *electionModel, from, to int) modelCall { return modelCall{arrives: delay(m, from, to)} }
	m.faultAt = m.now
}

// startReplacement plays a restart of all but the lost voters while the replacement is on the disks of a drawn number of
// members and is not committed.
func startReplacement(seed uint64, fault replacementFault) *electionModel {
	m := newReplacementModel(seed, votersOf(1, 2, 3, 4, 5))
	data, err := proto.Marshal(votersOf(1, 2, 3, 6, 7))
	if err != nil {
		panic(err)
	}
	replacement := &apiv1.LogEntry{Index: 2, Term: 1, Kind: apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	for _, v := range m.voters {
		v.state = raft.HardState{Term: 1, Commit: 1}
		v.isLost = v.id == 4 || v.id == 5
		if v.id == 1 || m.random.IntN(3) > 0 {
			v.entries = []*apiv1.LogEntry{replacement}
		}
	}
	m.start()
	m.hold(fault)
	m.runUntil(m.faultAt.Add(10*modelRecovery), func() bool { return !m.committedAt.IsZero() })
	return m
}

// leadReplacement plays a leader that makes the replacement just when calls begin to be held. It returns nil if the seed
// draws a leader that is lost.
func leadReplacement(seed uint64, fault replacementFault) *electionModel {
	membership := votersOf(1, 2, 3, 4, 5)
	membership.Learners = votersOf(6, 7).GetVoters()
	m := newReplacementModel(seed, membership)
	m.start()
	never := func() bool { return false }
	m.runUntil(m.now.Add(modelSettle), never)
	leader := m.leader()
	if leader == nil || leader.id > 3 {
		return nil
	}
	var changes []raft.Change
	for i, lost := range m.voters[3:5] {
		lost.isLost = true
		changes = append(changes, raft.Change{Kind: raft.RemoveMember, Member: &apiv1.MemberInfo{Incarnation: lost.id}},
			raft.Change{Kind: raft.PromoteLearner, Member: membership.GetLearners()[i]})
	}
	m.runUntil(m.now.Add(m.below(time.Second)), never)
	m.hold(fault)
	if _, err := leader.core.ChangeMembership(changes...); err != nil {
		return nil
	}
	m.runUntil(m.faultAt.Add(10*modelRecovery), func() bool { return !m.committedAt.IsZero() })
	return m
}

// checkReplacements plays schedules and checks when a command is committed.
func checkReplacements(t *testing.T, bound, median time.Duration, play func(seed uint64) *electionModel) {
	var times []time.Duration
	for i := range replacementSchedules * *electionSchedules {
		seed := *electionSeed + uint64(i)
		m := play(seed)
		if m == nil {
			continue
		}
		times = append(times, m.took())
		if m.took() > bound {
			t.Errorf("seed %d: a command is committed after %s, bound %s", seed, m.took(), bound)
		}
	}
	slices.Sort(times)
	half := times[len(times)/2]
	t.Logf("p50 %.2fs, p99 %.2fs, longest %.2fs of %d", half.Seconds(), times[len(times)*99/100].Seconds(),
		times[len(times)-1].Seconds(), len(times))
	if median > 0 && half > median {
		t.Errorf("half of the commands are committed after %s or more, bound %s", half, median)
	}
}

// The new voters responded fast, and candidates did not wait for those that were left of the voters before, all of whose
// votes were needed.
func TestLeaderIsElectedDuringAReplacement(t *testing.T) {
	for _, fault := range replacementFaults {
		t.Run(fault.name, func(t *testing.T) {
			checkReplacements(t, fault.bound, 0, func(seed uint64) *electionModel { return startReplacement(seed, fault) })
		})
	}
}

// A leader, and followers of a leader whose links became slow, waited for departing voters that were gone.
func TestSlowLinkDuringAReplacementDelaysNoElection(t *testing.T) {
	for _, fault := range replacementFaults {
		t.Run(fault.name, func(t *testing.T) {
			checkReplacements(t, fault.bound, fault.median, func(seed uint64) *electionModel { return leadReplacement(seed, fault) })
		})
	}
}
