package repair

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Kind is a kind of membership change.
type Kind int

// Kinds of membership changes.
const (
	None Kind = iota
	AddLearner
	PromoteLearner
	RemoveMember
	ReplaceVoter // a learner becomes a voter and a dead one leaves
)

func (k Kind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case PromoteLearner:
		return "promote"
	case RemoveMember:
		return "remove"
	case ReplaceVoter:
		return "replace"
	default:
		return "none"
	}
}

// Action is a membership change.
type Action struct {
	Kind     Kind
	Member   *apiv1.MemberInfo // with ReplaceVoter, the successor
	Replaced *apiv1.MemberInfo // with ReplaceVoter, the dead voter
	Reason   string
}
