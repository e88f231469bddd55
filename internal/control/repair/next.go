package repair

import (
	"cmp"
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Next returns the next step of a repair, or an action of kind None if there
// is nothing to do or the leader must wait. It never proposes a removal that
// leaves the reachable voters without a majority.
func Next(view View) Action {
	s := newSituation(view)
	if !s.liveMajority() {
		return Action{}
	}
	if action, ok := s.dropLearner(); ok {
		return action
	}
	if len(view.Learners) > 0 {
		return s.useLearner()
	}
	if s.placeFree() || len(s.dead) > 0 {
		return s.addLearner()
	}
	return Action{}
}

// situation is a view with the conclusions drawn from it.
type situation struct {
	View
	live []Member // voters that answer, or did so lately
	dead []Member // voters to replace, sorted by name
}

func newSituation(view View) *situation {
	s := &situation{View: view}
	for _, voter := range view.Voters {
		if s.isDead(voter) {
			s.dead = append(s.dead, voter)
		} else if voter.SinceContact < view.Policy.UnreachableAfter {
			s.live = append(s.live, voter)
		}
	}
	slices.SortFunc(s.dead, byNameAndIncarnation)
	return s
}

// isDead reports whether a member is to be replaced: its disk is lost, so that
// its VM answers as another incarnation, or nothing has answered for too long.
func (s *situation) isDead(member Member) bool {
	answer := s.answerFor(member)
	if answer == nil {
		return member.SinceContact >= s.Policy.DeadAfter
	}
	if answer.GetIncarnation() == member.Info.GetIncarnation() {
		return false
	}
	return member.SinceContact >= s.Policy.UnreachableAfter
}

// answerFor returns what the process of the member's name answers at present.
func (s *situation) answerFor(member Member) *apiv1.IdentifyResponse {
	for _, peer := range s.Peers {
		if peer.Name == member.Info.GetName() && peer.Identity.GetName() == peer.Name {
			return peer.Identity
		}
	}
	return nil
}

func (s *situation) liveMajority() bool {
	return 2*len(s.live) > len(s.Voters)
}

// placeFree reports whether the cluster has one voter less than it was formed
// with, or is still to grow. It grows only while all voters answer.
func (s *situation) placeFree() bool {
	grows := len(s.Voters) < s.Policy.TargetVoters && len(s.live) == len(s.Voters)
	return len(s.Voters)%2 == 0 || grows
}

// dropLearner removes a learner that died or that is not needed.
func (s *situation) dropLearner() (Action, bool) {
	needed := s.placeFree() || len(s.dead) > 0
	for i, learner := range s.Learners {
		switch {
		case s.isDead(learner):
			return remove(learner, "the learner was lost"), true
		case !needed:
			return remove(learner, "every voter answers again"), true
		case i > 0:
			return remove(learner, "another learner takes the place"), true
		}
	}
	return Action{}, false
}

// useLearner gives the learner a place, once it has caught up: the free one, or
// that of a dead voter, which is removed first.
func (s *situation) useLearner() Action {
	learner := s.Learners[0]
	if !learner.CaughtUp || learner.SinceContact >= s.Policy.UnreachableAfter {
		return Action{}
	}
	if s.placeFree() {
		reason := fmt.Sprintf("it takes the free place among %d voters", len(s.Voters)+1)
		return Action{Kind: Promote, Member: learner.Info, Reason: reason}
	}
	dead := s.replacedBy(learner)
	if 2*len(s.live) <= len(s.Voters)-1 {
		return Action{}
	}
	reason := fmt.Sprintf("it has been silent for %v; %q takes its place", dead.SinceContact, learner.Info.GetName())
	return remove(dead, reason)
}

// replacedBy returns the dead voter whose place the learner takes: that of the
// same name if there is one, or else the one that leaves the voters spread best.
func (s *situation) replacedBy(learner Member) Member {
	for _, dead := range s.dead {
		if dead.Info.GetName() == learner.Info.GetName() {
			return dead
		}
	}
	return slices.MinFunc(s.dead, func(a, b Member) int {
		return cmp.Compare(s.crowding(a, learner.Info.GetFailureDomain()), s.crowding(b, learner.Info.GetFailureDomain()))
	})
}

// addLearner adds the best replacement: the new incarnation of a dead voter, or
// else a spare.
func (s *situation) addLearner() Action {
	for _, dead := range s.dead {
		if peer, ok := s.successor(dead); ok {
			return add(peer, "the disk of the voter of this name was lost")
		}
	}
	if peer, ok := s.bestSpare(); ok {
		return add(peer, "a voter is gone")
	}
	return Action{}
}

// successor returns the process that answers in a dead voter's place.
func (s *situation) successor(dead Member) (Peer, bool) {
	for _, peer := range s.Peers {
		if peer.Name == dead.Info.GetName() && s.usable(peer) {
			return peer, true
		}
	}
	return Peer{}, false
}

// usable reports whether the process answers under its name, belongs to no
// other cluster and is no member.
func (s *situation) usable(peer Peer) bool {
	answer := peer.Identity
	if answer == nil || answer.GetIncarnation() == 0 || answer.GetName() != peer.Name {
		return false
	}
	if answer.GetClusterId() != "" && answer.GetClusterId() != s.ClusterID {
		return false
	}
	isPeer := func(m Member) bool { return m.Info.GetIncarnation() == answer.GetIncarnation() }
	return !slices.ContainsFunc(s.Voters, isPeer) && !slices.ContainsFunc(s.Learners, isPeer)
}

func add(peer Peer, reason string) Action {
	member := &apiv1.MemberInfo{
		Incarnation:   peer.Identity.GetIncarnation(),
		Name:          peer.Name,
		Address:       peer.Address,
		FailureDomain: peer.FailureDomain,
	}
	return Action{Kind: AddLearner, Member: member, Reason: reason}
}

func remove(member Member, reason string) Action {
	return Action{Kind: Remove, Member: member.Info, Reason: reason}
}
