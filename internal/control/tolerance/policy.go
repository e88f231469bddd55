package tolerance

import "time"

// Policy sets which voters count as live, and how many the cluster is to have.
type Policy struct {
	TargetVoters int           // 0: as many as it was formed with
	SilentAfter  time.Duration // time without contact, or behind, after which a voter is missing
	MaxBehind    uint64        // entries that a voter may be behind the commit index
}

// target returns the number of losses that a cluster with so many voters bears when all is well. An even number is one
// less than it was formed with.
func (p Policy) target(voters int) int {
	if p.TargetVoters > 0 {
		voters = p.TargetVoters
	}
	return voters / 2
}
