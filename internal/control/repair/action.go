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
)

func (k Kind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case PromoteLearner:
		return "promote"
	case RemoveMember:
		return "remove"
	default:
		return "none"
	}
}

// Action is a membership change; the zero Action is none.
type Action struct {
	Kind   Kind
	Member *apiv1.MemberInfo
	Reason string
}
