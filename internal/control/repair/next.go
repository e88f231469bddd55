package repair

import (
	"cmp"
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Next returns the next step of a repair, or an action of kind None if there is
// nothing to do or the leader must wait. It never removes a voter if the reachable
// voters would not be a majority afterwards.
func Next(view View) Action {
	s := analyze(view)
	if !s.hasLiveMajority() {
		return Action{}
	}
	if action, ok := s.removeUnneededLearner(); ok {
		return action
	}
	if s.hasSurplus() {
		return s.removeSurplus()
	}
	if len(view.Learners) > 0 {
		return s.advanceLearner()
	}
	if s.hasVacancy() || len(s.dead) > 0 {
		return s.addLearner()
	}
	return Action{}
}

// analysis is a view with its voters classified.
type analysis struct {
	View
	live []Member // voters that are neither unreachable nor dead
	dead []Member // voters to replace, sorted by name
}

func analyze(view View) *analysis {
	s := &analysis{View: view}
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

// isDead reports whether a member is to be replaced. Either its disk was lost, so that
// its VM answers as another incarnation, and the last contact was at least
// Policy.UnreachableAfter ago; or no process answers under its name, and the last
// contact was at least Policy.DeadAfter ago.
func (s *analysis) isDead(member Member) bool {
	identity := s.identityOf(member)
	if identity == nil {
		return member.SinceContact >= s.Policy.DeadAfter
	}
	if identity.GetIncarnation() == member.Info.GetIncarnation() {
		return false
	}
	return member.SinceContact >= s.Policy.UnreachableAfter
}

// identityOf returns what the process with the member's name reports as its identity,
// or nil if it does not answer.
func (s *analysis) identityOf(member Member) *apiv1.IdentifyResponse {
	for _, peer := range s.Peers {
		if peer.Name == member.Info.GetName() && peer.Identity.GetName() == peer.Name {
			return peer.Identity
		}
	}
	return nil
}

func (s *analysis) hasLiveMajority() bool {
	return 2*len(s.live) > len(s.Voters)
}

// hasSurplus reports whether the cluster has one voter more than it needs: a successor
// was promoted before the voter that it replaces is removed.
func (s *analysis) hasSurplus() bool {
	return s.Policy.TargetVoters > 0 && len(s.Voters) > s.Policy.TargetVoters
}

// removeSurplus returns the removal of a dead voter, or of the latest one if all are
// live again. While some voter is silent and may be the dead one, it waits.
func (s *analysis) removeSurplus() Action {
	if len(s.dead) > 0 {
		dead := slices.MinFunc(s.dead, func(a, b Member) int {
			return cmp.Compare(s.maxVotersPerDomain(a, ""), s.maxVotersPerDomain(b, ""))
		})
		return removeAction(dead, fmt.Sprintf("it has been silent for %v; its successor is a voter", dead.SinceContact))
	}
	isSilent := func(m Member) bool { return m.Unheard || m.SinceContact >= s.Policy.UnreachableAfter }
	if slices.ContainsFunc(s.Voters, isSilent) {
		return Action{}
	}
	latest := s.Voters[len(s.Voters)-1]
	if latest.SinceContact == 0 { // it may be the leader
		latest = s.Voters[len(s.Voters)-2]
	}
	return removeAction(latest, "every voter answers again")
}

// hasVacancy reports whether a voter is missing: the cluster has one voter less than
// it was formed with, or is to grow to Policy.TargetVoters. It grows only while all
// voters are live.
func (s *analysis) hasVacancy() bool {
	if s.hasSurplus() {
		return false
	}
	grows := len(s.Voters) < s.Policy.TargetVoters && len(s.live) == len(s.Voters)
	return len(s.Voters)%2 == 0 || grows
}

// removeUnneededLearner returns the removal of a learner that is dead or not needed,
// if there is one. A voter that a new leader has not heard from may be the lost one that
// the learner is to replace.
func (s *analysis) removeUnneededLearner() (Action, bool) {
	isUnheard := func(m Member) bool { return m.Unheard }
	needed := s.hasVacancy() || len(s.dead) > 0 || slices.ContainsFunc(s.Voters, isUnheard)
	for i, learner := range s.Learners {
		switch {
		case s.isDead(learner):
			return removeAction(learner, "the learner was lost"), true
		case !needed:
			return removeAction(learner, "every voter answers again"), true
		case i > 0:
			return removeAction(learner, "another learner takes the place"), true
		}
	}
	return Action{}, false
}

// advanceLearner returns the next step for a learner once it has caught up: its
// promotion if there is a vacancy, or else the removal of a dead voter, which makes
// one. A voter that may still have its disk keeps its vote until the learner has one:
// it may be needed once it is back, if other disks are lost meanwhile.
func (s *analysis) advanceLearner() Action {
	learner := s.Learners[0]
	if !learner.CaughtUp || learner.SinceContact >= s.Policy.UnreachableAfter {
		return Action{}
	}
	if s.hasVacancy() {
		reason := fmt.Sprintf("it takes the free place among %d voters", len(s.Voters)+1)
		return Action{Kind: PromoteLearner, Member: learner.Info, Reason: reason}
	}
	if len(s.dead) == 0 {
		return Action{}
	}
	dead := s.voterToReplace(learner)
	if s.mayHaveItsDisk(dead) && len(s.Voters) == s.Policy.TargetVoters {
		reason := fmt.Sprintf("it takes the place of %q, silent for %v", dead.Info.GetName(), dead.SinceContact)
		return Action{Kind: PromoteLearner, Member: learner.Info, Reason: reason}
	}
	if 2*len(s.live) <= len(s.Voters)-1 {
		return Action{}
	}
	reason := fmt.Sprintf("it has been silent for %v; %q takes its place", dead.SinceContact, learner.Info.GetName())
	return removeAction(dead, reason)
}

// mayHaveItsDisk reports whether the dead voter may come back with its data: no process
// answers under its name, so its VM may be off, suspended or out of reach.
func (s *analysis) mayHaveItsDisk(dead Member) bool { return s.identityOf(dead) == nil }

// voterToReplace returns the dead voter that the learner replaces: the one of the same
// name if there is one, or else the one whose replacement spreads the voters best
// over the failure domains.
func (s *analysis) voterToReplace(learner Member) Member {
	for _, dead := range s.dead {
		if dead.Info.GetName() == learner.Info.GetName() {
			return dead
		}
	}
	return slices.MinFunc(s.dead, func(a, b Member) int {
		return cmp.Compare(s.maxVotersPerDomain(a, learner.Info.GetFailureDomain()), s.maxVotersPerDomain(b, learner.Info.GetFailureDomain()))
	})
}

// addLearner returns the addition of the best replacement as a learner: the new
// incarnation of a dead voter, or else a spare.
func (s *analysis) addLearner() Action {
	for _, dead := range s.dead {
		if peer, ok := s.newIncarnationOf(dead); ok {
			return addAction(peer, "the disk of the voter of this name was lost")
		}
	}
	if peer, ok := s.bestSpare(); ok {
		return addAction(peer, "a voter is gone")
	}
	return Action{}
}

// newIncarnationOf returns the eligible process that answers under a dead voter's
// name, if there is one.
func (s *analysis) newIncarnationOf(dead Member) (Peer, bool) {
	for _, peer := range s.Peers {
		if peer.Name == dead.Info.GetName() && s.isEligible(peer) {
			return peer, true
		}
	}
	return Peer{}, false
}

// isEligible reports whether the process can become a member: it answers under its
// name, belongs to no other cluster and is not a member yet.
func (s *analysis) isEligible(peer Peer) bool {
	identity := peer.Identity
	if identity == nil || identity.GetIncarnation() == 0 || identity.GetName() != peer.Name {
		return false
	}
	if identity.GetClusterId() != "" && identity.GetClusterId() != s.ClusterID {
		return false
	}
	isPeer := func(m Member) bool { return m.Info.GetIncarnation() == identity.GetIncarnation() }
	return !slices.ContainsFunc(s.Voters, isPeer) && !slices.ContainsFunc(s.Learners, isPeer)
}

func addAction(peer Peer, reason string) Action {
	member := &apiv1.MemberInfo{
		Incarnation:   peer.Identity.GetIncarnation(),
		Name:          peer.Name,
		Address:       peer.Address,
		FailureDomain: peer.FailureDomain,
	}
	return Action{Kind: AddLearner, Member: member, Reason: reason}
}

func removeAction(member Member, reason string) Action {
	return Action{Kind: RemoveMember, Member: member.Info, Reason: reason}
}
