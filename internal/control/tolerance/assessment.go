package tolerance

// Assessment is how many losses of disks a cluster tolerates at one moment.
type Assessment struct {
	Tolerated int // disks that may be lost now without losing the majority
	Target    int // disks that may be lost when all is well
	Voters    int
	Live      int       // voters that answer and whose logs are near the commit index
	Missing   []Missing // the other voters
	Undecided bool      // a voter counts as live that the leader has not heard from
}

// Assess counts the live voters against the quorum. Learners have no vote and are left out by the caller.
func Assess(voters []Member, policy Policy) Assessment {
	a := Assessment{Voters: len(voters), Target: policy.target(len(voters))}
	for _, voter := range voters {
		if missing, ok := policy.find(voter); ok {
			a.Missing = append(a.Missing, missing)
			continue
		}
		a.Live++
		a.Undecided = a.Undecided || voter.Unheard
	}
	a.Tolerated = max(0, a.Margin())
	return a
}

// Margin returns how many live voters there are beyond a majority; less than 0 if they are none.
func (a Assessment) Margin() int { return a.Live - (a.Voters/2 + 1) }

// IsReduced reports whether fewer losses are tolerated than when all is well.
func (a Assessment) IsReduced() bool { return a.Tolerated < a.Target }

// hasSameVoters reports whether both count the same voters as missing, for the same reasons, of as many.
func (a Assessment) hasSameVoters(other Assessment) bool {
	if a.Voters != other.Voters || len(a.Missing) != len(other.Missing) {
		return false
	}
	for i, missing := range a.Missing {
		if missing.Incarnation != other.Missing[i].Incarnation || missing.Reason != other.Missing[i].Reason {
			return false
		}
	}
	return true
}
