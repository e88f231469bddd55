package repair_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/fixedseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	fixedseed.Main(m, fixedseed.Default, 2000)
}

// process is one configured control process.
type process struct {
	name        string
	incarnation uint64 // of its current disk
	up          bool
}

// simulatedCluster is a cluster whose processes stop, restart and lose their disks, and
// whose leader repairs it.
type simulatedCluster struct {
	size            int
	processes       []*process
	voters          []uint64
	learners        []uint64
	names           map[uint64]string
	lastIncarnation uint64
}

func newSimulatedCluster(t *rapid.T) *simulatedCluster {
	s := &simulatedCluster{names: make(map[uint64]string)}
	s.size = rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
	for i := range s.size + rapid.IntRange(0, 2).Draw(t, "spares") {
		p := &process{name: string(rune('a' + i)), up: true}
		s.loseDisk(p)
		s.processes = append(s.processes, p)
		if i < s.size {
			s.voters = append(s.voters, p.incarnation)
		}
	}
	return s
}

// loseDisk gives a process an empty disk and so a new incarnation.
func (s *simulatedCluster) loseDisk(p *process) {
	s.lastIncarnation++
	p.incarnation = s.lastIncarnation
	s.names[p.incarnation] = p.name
}

func (s *simulatedCluster) isRunning(incarnation uint64) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool {
		return p.up && p.incarnation == incarnation
	})
}

func (s *simulatedCluster) countRunning(incarnations []uint64) int {
	count := 0
	for _, each := range incarnations {
		if s.isRunning(each) {
			count++
		}
	}
	return count
}

func (s *simulatedCluster) hasQuorum() bool {
	return 2*s.countRunning(s.voters) > len(s.voters)
}

func (s *simulatedCluster) view(t *rapid.T) repair.View {
	view := repair.View{ClusterID: clusterID, Policy: policy}
	for _, each := range s.voters {
		view.Voters = append(view.Voters, s.member(each))
	}
	for _, each := range s.learners {
		m := s.member(each)
		m.CaughtUp = s.isRunning(each) && rapid.Bool().Draw(t, "caught up")
		view.Learners = append(view.Learners, m)
	}
	for _, p := range s.processes {
		incarnation := p.incarnation
		if !p.up {
			incarnation = 0
		}
		view.Peers = append(view.Peers, peerAnswering(p.name, incarnation, ""))
	}
	return view
}

func (s *simulatedCluster) member(incarnation uint64) repair.Member {
	sinceContact := time.Duration(0)
	if !s.isRunning(incarnation) {
		sinceContact = deadAfter
	}
	return member(s.names[incarnation], incarnation, sinceContact)
}

// step performs the leader's next repair step if there is a quorum.
func (s *simulatedCluster) step(t *rapid.T) {
	if !s.hasQuorum() {
		return
	}
	actions := repair.Next(s.view(t))
	earlierLearners := slices.Clone(s.learners)
	for _, action := range actions {
		if s.removesRunningVoter(action) {
			t.Fatalf("removed voter %v, which is running", action.Member)
		}
		s.perform(action)
	}
	s.checkStep(t, actions, earlierLearners)
}

func (s *simulatedCluster) removesRunningVoter(action repair.Action) bool {
	removed := action.Replaced.GetIncarnation()
	if action.Kind == repair.RemoveMember {
		removed = action.Member.GetIncarnation()
	}
	return slices.Contains(s.voters, removed) && s.isRunning(removed)
}

// perform applies a change of the membership.
func (s *simulatedCluster) perform(action repair.Action) {
	incarnation := action.Member.GetIncarnation()
	switch action.Kind {
	case repair.AddLearner:
		s.learners = append(s.learners, incarnation)
	case repair.PromoteLearner:
		s.learners = without(s.learners, incarnation)
		s.voters = append(s.voters, incarnation)
	case repair.ReplaceVoter:
		s.learners = without(s.learners, incarnation)
		s.voters = append(without(s.voters, action.Replaced.GetIncarnation()), incarnation)
	case repair.RemoveMember:
		s.voters = without(s.voters, incarnation)
		s.learners = without(s.learners, incarnation)
	}
}

// checkStep checks that the step can commit and leaves a majority, even if every learner
// from before the step is lost at this moment.
func (s *simulatedCluster) checkStep(t *rapid.T, actions []repair.Action, earlierLearners []uint64) {
	if len(s.voters) != s.size && len(s.voters) != s.size-1 {
		t.Fatalf("%d voters after %v; the cluster was formed with %d voters", len(s.voters), actions, s.size)
	}
	earlierVoters := slices.DeleteFunc(slices.Clone(s.voters), func(v uint64) bool { return slices.Contains(earlierLearners, v) })
	if 2*s.countRunning(earlierVoters) <= len(s.voters) {
		t.Fatalf("%v leaves no majority without the learners from before", actions)
	}
}

func without(incarnations []uint64, one uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(incarnations), func(i uint64) bool { return i == one })
}

func (s *simulatedCluster) drawProcess(t *rapid.T) *process {
	return rapid.SampledFrom(s.processes).Draw(t, "process")
}

func TestRepairKeepsAMajorityAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"stop":      func(t *rapid.T) { s.drawProcess(t).up = false },
			"start":     func(t *rapid.T) { s.drawProcess(t).up = true },
			"lose disk": func(t *rapid.T) { s.loseDisk(s.drawProcess(t)) },
			"step":      s.step,
			"step more": s.step,
		})
		if !s.hasQuorum() {
			return
		}
		for _, p := range s.processes {
			p.up = true
		}
		s.repairAll(t)
	})
}

// repairAll performs steps with every process running, and checks that the repair ends
// with all voters running and no learner left.
func (s *simulatedCluster) repairAll(t *rapid.T) {
	const maxSteps = 200 // many steps only wait for a learner to catch up
	for range maxSteps {
		s.step(t)
	}
	if s.countRunning(s.voters) != s.size || len(s.learners) != 0 {
		t.Fatalf("after the repair: voters %v, %d of them running, and learners %v",
			s.voters, s.countRunning(s.voters), s.learners)
	}
}
