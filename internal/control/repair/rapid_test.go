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

// process is one configured VM.
type process struct {
	name        string
	incarnation uint64 // of the disk at present
	up          bool
}

// site is a cluster whose processes fail and whose leader repairs it.
type site struct {
	size      int
	processes []*process
	voters    []uint64
	learners  []uint64
	names     map[uint64]string
	next      uint64
}

func newSite(t *rapid.T) *site {
	s := &site{names: make(map[uint64]string)}
	s.size = rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
	for i := range s.size + rapid.IntRange(0, 2).Draw(t, "spares") {
		p := &process{name: string(rune('a' + i)), up: true}
		s.format(p)
		s.processes = append(s.processes, p)
		if i < s.size {
			s.voters = append(s.voters, p.incarnation)
		}
	}
	return s
}

// format gives a process an empty disk.
func (s *site) format(p *process) {
	s.next++
	p.incarnation = s.next
	s.names[p.incarnation] = p.name
}

func (s *site) runs(incarnation uint64) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool {
		return p.up && p.incarnation == incarnation
	})
}

func (s *site) running(incarnations []uint64) int {
	count := 0
	for _, each := range incarnations {
		if s.runs(each) {
			count++
		}
	}
	return count
}

func (s *site) hasQuorum() bool {
	return 2*s.running(s.voters) > len(s.voters)
}

func (s *site) view(t *rapid.T) repair.View {
	view := repair.View{ClusterID: cluster, Policy: limits}
	for _, each := range s.voters {
		view.Voters = append(view.Voters, s.member(each))
	}
	for _, each := range s.learners {
		m := s.member(each)
		m.CaughtUp = s.runs(each) && rapid.Bool().Draw(t, "caught up")
		view.Learners = append(view.Learners, m)
	}
	for _, p := range s.processes {
		incarnation := p.incarnation
		if !p.up {
			incarnation = 0
		}
		view.Peers = append(view.Peers, answering(p.name, incarnation, ""))
	}
	return view
}

func (s *site) member(incarnation uint64) repair.Member {
	silent := time.Duration(0)
	if !s.runs(incarnation) {
		silent = goneAfter
	}
	return member(s.names[incarnation], incarnation, silent)
}

// step lets the leader do the next step, if there can be a leader.
func (s *site) step(t *rapid.T) {
	if !s.hasQuorum() {
		return
	}
	action := repair.Next(s.view(t))
	incarnation := action.Member.GetIncarnation()
	newcomers := slices.Clone(s.learners)
	switch action.Kind {
	case repair.AddLearner:
		s.learners = append(s.learners, incarnation)
	case repair.Promote:
		s.learners = remove(s.learners, incarnation)
		s.voters = append(s.voters, incarnation)
	case repair.Remove:
		if slices.Contains(s.voters, incarnation) && s.runs(incarnation) {
			t.Fatalf("removes %v, which runs", action.Member)
		}
		s.voters = remove(s.voters, incarnation)
		s.learners = remove(s.learners, incarnation)
	}
	s.check(t, action, newcomers)
}

// check demands that each step commits and leaves a majority even if every
// learner of before is lost at this moment.
func (s *site) check(t *rapid.T, action repair.Action, newcomers []uint64) {
	if len(s.voters) != s.size && len(s.voters) != s.size-1 {
		t.Fatalf("%d voters after %v; the cluster was formed with %d", len(s.voters), action.Kind, s.size)
	}
	old := slices.DeleteFunc(slices.Clone(s.voters), func(v uint64) bool { return slices.Contains(newcomers, v) })
	if 2*s.running(old) <= len(s.voters) {
		t.Fatalf("%v of %v leaves no majority without the newcomer", action.Kind, action.Member)
	}
}

func remove(incarnations []uint64, one uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(incarnations), func(i uint64) bool { return i == one })
}

func (s *site) draw(t *rapid.T) *process {
	return rapid.SampledFrom(s.processes).Draw(t, "process")
}

func TestRepairKeepsAMajorityAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		t.Repeat(map[string]func(*rapid.T){
			"stop":      func(t *rapid.T) { s.draw(t).up = false },
			"start":     func(t *rapid.T) { s.draw(t).up = true },
			"lose disk": func(t *rapid.T) { s.format(s.draw(t)) },
			"step":      s.step,
			"step more": s.step,
		})
		if !s.hasQuorum() {
			return
		}
		for _, p := range s.processes {
			p.up = true
		}
		s.settle(t)
	})
}

// settle repairs until nothing is left to do, with every process running.
func (s *site) settle(t *rapid.T) {
	const enough = 200 // steps, of which many wait for a learner to catch up
	for range enough {
		s.step(t)
	}
	if s.running(s.voters) != s.size || len(s.learners) != 0 {
		t.Fatalf("the repair ends with voters %v, %d of them running, and learners %v",
			s.voters, s.running(s.voters), s.learners)
	}
}
