package replica

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Status is what a member knows about the cluster.
type Status struct {
	ClusterID    string // empty: this member belongs to no cluster
	Incarnation  uint64 // of this member
	Term         uint64
	Leader       uint64 // incarnation of the leader; 0: unknown
	LeaderAddr   string // control address of the leader; empty: unknown
	IsLeader     bool
	CommitIndex  uint64
	AppliedIndex uint64 // last index applied to the state machine
	Membership   *apiv1.Membership
	Previous     *apiv1.Membership   // a majority of its voters is needed as well; nil: that of Membership is enough. Changed doesn't tell of its end
	Problem      string              // why this member can't take part at present; empty: it can
	Progress     map[uint64]Progress // of the other members by incarnation; only on the leader
}

// Progress is what the leader knows about another member's replication.
type Progress struct {
	MatchIndex   uint64        // last index known to be on the member's disk
	SinceContact time.Duration // since the member last responded
	State        string        // how entries are sent to it: probing, replicating or snapshotting
}
