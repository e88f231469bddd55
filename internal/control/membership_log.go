package control

import (
	"fmt"
	"log/slog"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// membershipLog logs the votes that end with a change of the membership, on each voter that learns of it. A process that
// catches up reads old memberships, and logs none. It is only used by Server.Run.
type membershipLog struct {
	logger  *slog.Logger
	cluster string
	voters  []*apiv1.MemberInfo
}

// observe compares the voters with those that were observed before.
func (m *membershipLog) observe(status replica.Status) {
	voters := status.Membership.GetVoters()
	if status.ClusterID == m.cluster && len(voters) > 0 && isListed(m.voters, status.Incarnation) {
		for _, before := range m.voters {
			if !isListed(voters, before.GetIncarnation()) {
				m.logRemoved(before, status)
			}
		}
	}
	m.cluster, m.voters = status.ClusterID, voters
}

func isListed(members []*apiv1.MemberInfo, incarnation uint64) bool {
	return slices.ContainsFunc(members, func(m *apiv1.MemberInfo) bool { return m.GetIncarnation() == incarnation })
}

func (m *membershipLog) logRemoved(voter *apiv1.MemberInfo, status replica.Status) {
	incarnation, voters := fmt.Sprintf("%x", voter.GetIncarnation()), len(status.Membership.GetVoters())
	if voter.GetIncarnation() == status.Incarnation {
		m.logger.Warn("no longer a member: its vote was removed", "voters", voters, "term", status.Term, "incarnation", incarnation,
			"leader", status.LeaderAddr)
		return
	}
	m.logger.Warn("voter removed", "voter", voter.GetName(), "voters", voters, "leads", status.IsLeader, "term", status.Term,
		"incarnation", incarnation, "address", voter.GetAddress())
}
