package repair

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// View is the leader's view of the membership and of the processes that it can reach.
type View struct {
	ClusterID string
	Voters    []Member
	Learners  []Member
	Peers     []Peer
	Policy    Policy
}

// Policy sets when a member is replaced and how many voters the cluster has.
type Policy struct {
	UnreachableAfter time.Duration // time without contact after which a member is replaced if its VM answers as another incarnation
	DeadAfter        time.Duration // time without contact after which a member is replaced if no process answers under its name; longer if its VM accepts connections
	TargetVoters     int           // number of voters to grow to while all are live; 0: as many as it was formed with
}

// Member is a voter or learner, as one incarnation of its process.
type Member struct {
	Info         *apiv1.MemberInfo
	SinceContact time.Duration // time since it last answered the leader; zero for the leader
	CaughtUp     bool          // its log is almost up to the leader's commit index
	Unheard      bool          // it has not answered this leader since the start of the term
}

// Peer is a control process, member or not, and the identity that it currently reports.
type Peer struct {
	Name          string
	Address       string
	FailureDomain string
	Identity      *apiv1.IdentifyResponse // nil: it does not answer
	Connected     bool                    // its VM accepted the connection of a call that is not answered yet
}
