package repair

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Kind is a kind of membership change.
type Kind int

// Kinds of membership changes.
const (
	None Kind = iota
	AddLearner
	Promote
	Remove
)

func (k Kind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case Promote:
		return "promote"
	case Remove:
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
