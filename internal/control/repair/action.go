package repair

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Kind is a kind of membership change.
type Kind int

// The kinds of Action.
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

// Action is the next membership change, if any.
type Action struct {
	Kind   Kind
	Member *apiv1.MemberInfo
	Reason string
}
