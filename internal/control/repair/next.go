package repair

import (
	"cmp"
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// slowPatience is how many times as long as Policy.DeadAfter a member may be silent whose VM accepts connections.
const slowPatience = 2

// Next returns the next step of a repair: changes that are made in one entry of the log,
// or none if there is nothing to do or the leader must wait. It never removes a voter if
// the reachable voters would not be a majority afterwards.
func Next(view View) []Action {
	s := analyze(view)
	if !s.hasLiveMajority() {
		return nil
	}
	if action, ok := s.removeUnneededLearner(); ok {
		return []Action{action}
	}
	if s.hasSurplus() {
		return s.removeSurplus()
	}
	if actions := s.advanceLearners(); len(actions) > 0 {
		return actions
	}
	return s.addLearners()
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
// contact was at least Policy.DeadAfter ago, or slowPatience times as long if its VM
// accepts connections: a process that answers late is not lost.
func (s *analysis) isDead(member Member) bool {
	identity := s.identityOf(member)
	if identity == nil && s.isConnected(member) {
		return member.SinceContact >= slowPatience*s.Policy.DeadAfter
	}
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

// isConnected reports whether the VM at the member's address accepted a connection for a call that is not answered yet.
func (s *analysis) isConnected(member Member) bool {
	return slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Connected && p.Address == member.Info.GetAddress() })
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
func (s *analysis) removeSurplus() []Action {
	if len(s.dead) > 0 {
		dead := slices.MinFunc(s.dead, func(a, b Member) int {
			return cmp.Compare(s.maxVotersPerDomain(a, ""), s.maxVotersPerDomain(b, ""))
		})
		return []Action{removeAction(dead, fmt.Sprintf("it has been silent for %v; its successor is a voter", dead.SinceContact))}
	}
	isSilent := func(m Member) bool { return m.Unheard || m.SinceContact >= s.Policy.UnreachableAfter }
	if slices.ContainsFunc(s.Voters, isSilent) {
		return nil
	}
	latest := s.Voters[len(s.Voters)-1]
	if latest.SinceContact == 0 { // it may be the leader
		latest = s.Voters[len(s.Voters)-2]
	}
	return []Action{removeAction(latest, "every voter answers again")}
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

// places returns how many voters are missing or to be replaced. The cluster grows by one voter at a time.
func (s *analysis) places() int {
	if s.hasVacancy() {
		return len(s.dead) + 1
	}
	return len(s.dead)
}

// removeUnneededLearner returns the removal of a learner that is dead or not needed,
// if there is one. A silent voter, or one that a new leader has not heard from, may be a lost
// one that a learner is to replace.
func (s *analysis) removeUnneededLearner() (Action, bool) {
	places := s.places()
	for _, voter := range s.Voters {
		if !s.isDead(voter) && (voter.Unheard || s.mayBeLost(voter)) {
			places++
		}
	}
	for i, learner := range s.Learners {
		switch {
		case s.isDead(learner):
			return removeAction(learner, "the learner was lost"), true
		case places == 0:
			return removeAction(learner, "every voter answers again"), true
		case i >= places:
			return removeAction(learner, "another learner takes the place"), true
		}
	}
	return Action{}, false
}

// mayBeLost reports whether the voter is silent and its process doesn't answer as itself, so that it may soon be replaced.
func (s *analysis) mayBeLost(voter Member) bool {
	identity := s.identityOf(voter)
	return voter.SinceContact >= s.Policy.UnreachableAfter &&
		(identity == nil || identity.GetIncarnation() != voter.Info.GetIncarnation())
}

// advanceLearners returns the changes that make voters of the learners that have caught up: one fills a vacancy, and
// each of the others replaces a dead voter. While there is a vacancy, the voters that are left are all needed, so it is
// filled by itself. A dead voter keeps its vote until its successor has one: it may have its disk, and be
// needed once it is back, if other disks are lost meanwhile.
func (s *analysis) advanceLearners() []Action {
	ready := slices.DeleteFunc(slices.Clone(s.Learners), func(learner Member) bool {
		return !learner.CaughtUp || learner.SinceContact >= s.Policy.UnreachableAfter
	})
	if len(ready) == 0 {
		return nil
	}
	if s.hasVacancy() {
		reason := fmt.Sprintf("it takes the free place among %d voters", len(s.Voters)+1)
		return []Action{{Kind: PromoteLearner, Member: ready[0].Info, Reason: reason}}
	}
	var actions []Action
	dead := slices.Clone(s.dead)
	for _, learner := range ready {
		if len(dead) == 0 {
			break
		}
		voter := s.voterToReplace(learner, dead)
		dead = slices.DeleteFunc(dead, func(m Member) bool { return m.Info.GetIncarnation() == voter.Info.GetIncarnation() })
		reason := fmt.Sprintf("it takes the place of %q, silent for %v", voter.Info.GetName(), voter.SinceContact)
		actions = append(actions, Action{Kind: ReplaceVoter, Member: learner.Info, Replaced: voter.Info, Reason: reason})
	}
	return actions
}

// voterToReplace returns the one of the dead voters that the learner replaces: the one of the same
// name if there is one, or else the one whose replacement spreads the voters best
// over the failure domains, and not one whose own successor is a learner.
func (s *analysis) voterToReplace(learner Member, dead []Member) Member {
	for _, voter := range dead {
		if voter.Info.GetName() == learner.Info.GetName() {
			return voter
		}
	}
	hasSuccessor := func(voter Member) int {
		if slices.ContainsFunc(s.Learners, func(m Member) bool { return m.Info.GetName() == voter.Info.GetName() }) {
			return 1
		}
		return 0
	}
	return slices.MinFunc(dead, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(hasSuccessor(a), hasSuccessor(b)),
			cmp.Compare(s.maxVotersPerDomain(a, learner.Info.GetFailureDomain()), s.maxVotersPerDomain(b, learner.Info.GetFailureDomain())),
		)
	})
}

// addLearners returns the addition of the best replacements as learners: the new
// incarnations of dead voters, or else spares.
func (s *analysis) addLearners() []Action {
	var actions []Action
	missing := s.places() - len(s.Learners)
	for _, dead := range s.dead {
		if peer, ok := s.newIncarnationOf(dead); ok && len(actions) < missing {
			actions = append(actions, addAction(peer, "the disk of the voter of this name was lost"))
		}
	}
	for len(actions) < missing {
		peer, ok := s.bestSpare(actions)
		if !ok {
			break
		}
		actions = append(actions, addAction(peer, "a voter is gone"))
	}
	return actions
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
