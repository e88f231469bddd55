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

// Change adds, promotes or removes a single member. Any majority of the voters before
// one change and any majority after it have a member in common; for several changes in
// one entry see ChangeMembership.
type Change struct {
	Kind   ChangeKind
	Member *apiv1.MemberInfo // only AddLearner uses fields other than the incarnation
}

// isInEffect reports whether the membership already is as the change wants it: for
// AddLearner, the incarnation is a learner or voter, whatever its other fields; for
// PromoteLearner, it is a voter; for RemoveMember, it is no member.
func (c Change) isInEffect(membership *apiv1.Membership) bool {
	id := c.Member.GetIncarnation()
	switch c.Kind {
	case AddLearner:
		return isMember(membership, id)
	case PromoteLearner:
		return isVoter(membership, id)
	}
	return !isMember(membership, id)
}

// apply returns the changed membership and leaves the given one unmodified; both
// share the members that stay. The change must not be in effect already: AddLearner
// would make a voter a learner.
//
// Error: ErrInvalidChange if the incarnation or address to add is not set, the member
// to promote is not a learner, no voter would remain, or the kind is unknown.
func (c Change) apply(membership *apiv1.Membership) (*apiv1.Membership, error) {
	id := c.Member.GetIncarnation()
	changed := &apiv1.Membership{
		Voters:   withoutMember(membership.GetVoters(), id),
		Learners: withoutMember(membership.GetLearners(), id),
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
		learner := findMember(membership.GetLearners(), id)
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

// withoutMember returns a new slice of the same members, without the one of the given
// incarnation.
func withoutMember(members []*apiv1.MemberInfo, incarnation uint64) []*apiv1.MemberInfo {
	var rest []*apiv1.MemberInfo
	for _, member := range members {
		if member.GetIncarnation() != incarnation {
			rest = append(rest, member)
		}
	}
	return rest
}
