package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// ChangeKind is the kind of a membership change.
type ChangeKind int

// Kinds of membership changes.
const (
	AddLearner     ChangeKind = iota
	PromoteLearner            // a learner becomes a voter
	RemoveMember              // a voter or learner leaves
)

// Change alters the membership by one incarnation, so that any majority before
// it and any majority after it share a member.
type Change struct {
	Kind   ChangeKind
	Member *apiv1.MemberInfo // only AddLearner reads more than the incarnation
}

// isMade reports whether the membership is as the change would leave it.
func (c Change) isMade(membership *apiv1.Membership) bool {
	id := c.Member.GetIncarnation()
	switch c.Kind {
	case AddLearner:
		return isMember(membership, id)
	case PromoteLearner:
		return isVoter(membership, id)
	}
	return !isMember(membership, id)
}

// apply returns the changed membership.
func (c Change) apply(membership *apiv1.Membership) (*apiv1.Membership, error) {
	id := c.Member.GetIncarnation()
	changed := &apiv1.Membership{
		Voters:   without(membership.GetVoters(), id),
		Learners: without(membership.GetLearners(), id),
	}
	switch c.Kind {
	case AddLearner:
		if id == 0 || c.Member.GetAddress() == "" {
			return nil, errors.Wrapf(ErrInvalidChange, "member %q has incarnation %d and address %q; both must be set",
				c.Member.GetName(), id, c.Member.GetAddress())
		}
		member, _ := proto.Clone(c.Member).(*apiv1.MemberInfo)
		changed.Learners = append(changed.Learners, member)
	case PromoteLearner:
		learner := find(membership.GetLearners(), id)
		if learner == nil {
			return nil, errors.Wrapf(ErrInvalidChange, "incarnation %d is not a learner", id)
		}
		changed.Voters = append(changed.Voters, learner)
	case RemoveMember:
		if len(changed.Voters) == 0 {
			return nil, errors.Wrapf(ErrInvalidChange, "incarnation %d is the last voter", id)
		}
	default:
		return nil, errors.Wrapf(ErrInvalidChange, "unknown kind %d", c.Kind)
	}
	return changed, nil
}

func without(members []*apiv1.MemberInfo, id uint64) []*apiv1.MemberInfo {
	var rest []*apiv1.MemberInfo
	for _, member := range members {
		if member.GetIncarnation() != id {
			rest = append(rest, member)
		}
	}
	return rest
}
