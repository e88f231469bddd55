package replica

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Status is what a member knows of the cluster.
type Status struct {
	ClusterID    string // empty: this member belongs to no cluster
	Incarnation  uint64
	Term         uint64
	Leader       uint64 // incarnation; 0: none known
	LeaderAddr   string // control address of the leader; empty: none known
	IsLeader     bool
	CommitIndex  uint64 // index
	AppliedIndex uint64 // index
	Membership   *apiv1.Membership
	Progress     map[uint64]Progress // of the other members; only on the leader
}

// Progress is how far another member has come, as the leader sees it.
type Progress struct {
	MatchIndex   uint64        // last index known to be on the member's disk
	SinceContact time.Duration // since the member last answered
}
