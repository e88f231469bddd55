package tolerance

import (
	"fmt"
	"time"
)

// missingPrecision is the precision of a duration in a text about a missing voter.
const missingPrecision = 100 * time.Millisecond

// Missing is a voter that can't be counted on.
type Missing struct {
	Name        string
	Incarnation uint64
	Reason      Reason
	For         time.Duration // time since it was last counted on, as far as the leader knows
}

// String returns the reason and the time, as in "silent 1.2s".
func (m Missing) String() string {
	return fmt.Sprintf("%v %v", m.Reason, m.For.Round(missingPrecision))
}

// find returns why the voter is missing. It returns false if it is live.
func (p Policy) find(voter Member) (Missing, bool) {
	missing := Missing{Name: voter.Name, Incarnation: voter.Incarnation, For: voter.SinceContact}
	switch {
	case voter.SinceContact >= p.SilentAfter && voter.Replaced:
		missing.Reason = Replaced
	case voter.SinceContact >= p.SilentAfter:
		missing.Reason = Silent
	case voter.Behind > p.MaxBehind && voter.BehindFor >= p.SilentAfter:
		missing.Reason, missing.For = Behind, voter.BehindFor
	default:
		return Missing{}, false
	}
	return missing, true
}
