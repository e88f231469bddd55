package repair

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// View is what the leader sees.
type View struct {
	ClusterID string
	Voters    []Member
	Learners  []Member
	Peers     []Peer
	Policy    Policy
}

// Policy are the times after which a member counts as dead.
type Policy struct {
	UnreachableAfter time.Duration // unreachable, while its VM answers as another incarnation
	DeadAfter        time.Duration // unreachable, while nothing answers for it
	TargetVoters     int           // to grow to while all answer; 0: as many as it was formed with
}

// Member is one incarnation of the membership.
type Member struct {
	Info         *apiv1.MemberInfo
	SinceContact time.Duration // since it last answered the leader; zero for the leader
	CaughtUp     bool          // its log is close to the leader's end
}

// Peer is a configured control process and what it answers at present.
type Peer struct {
	Name          string
	Address       string
	FailureDomain string
	Identity      *apiv1.IdentifyResponse // nil: no answer
}
