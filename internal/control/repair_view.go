package control

import (
	"context"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// needsRepair reports whether the membership has learners, an even or too low number
// of voters, or an unreachable voter. Only then are other processes identified.
func (s *Server) needsRepair(status replica.Status) bool {
	membership := status.Membership
	voters := len(membership.GetVoters())
	if len(membership.GetLearners()) > 0 || voters%2 == 0 || voters < s.RepairPolicy.TargetVoters {
		return true
	}
	for _, voter := range membership.GetVoters() {
		if status.Progress[voter.GetIncarnation()].SinceContact >= s.RepairPolicy.UnreachableAfter {
			return true
		}
	}
	return false
}

func (s *Server) repairView(ctx context.Context, status replica.Status, probes *identityProbes) repair.View {
	peers := s.peersToIdentify(status)
	probes.identify(ctx, s.peers, peers)
	return repair.View{
		ClusterID: status.ClusterID,
		Voters:    repairMembers(status, status.Membership.GetVoters()),
		Learners:  repairMembers(status, status.Membership.GetLearners()),
		Peers:     peers,
		Policy:    s.RepairPolicy,
	}
}

func repairMembers(status replica.Status, infos []*apiv1.MemberInfo) []repair.Member {
	members := make([]repair.Member, len(infos))
	for i, info := range infos {
		progress, isOther := status.Progress[info.GetIncarnation()]
		members[i] = repair.Member{
			Info:         info,
			SinceContact: progress.SinceContact,
			CaughtUp:     progress.MatchIndex+maxLearnerLag >= status.CommitIndex && progress.MatchIndex > 0,
			Unheard:      isOther && progress.MatchIndex == 0,
		}
	}
	return members
}

// peersToIdentify returns the configured processes, the registered spares and the
// members, each name once, without this process and the members with recent contact: who
// they are is known, and a busy one would delay the repair.
func (s *Server) peersToIdentify(status replica.Status) []repair.Peer {
	var peers []repair.Peer
	listed := s.knownMembers(status)
	for _, peer := range s.Peers {
		if listed[peer.Name] {
			continue
		}
		listed[peer.Name] = true
		peers = append(peers, repair.Peer{
			Name:          peer.Name,
			Address:       peer.Address,
			FailureDomain: peer.FailureDomain,
		})
	}
	for _, peer := range s.spares.list() {
		if !listed[peer.Name] {
			listed[peer.Name] = true
			peers = append(peers, repair.Peer{Name: peer.Name, Address: peer.Address, FailureDomain: peer.FailureDomain})
		}
	}
	for _, infos := range [][]*apiv1.MemberInfo{status.Membership.GetVoters(), status.Membership.GetLearners()} {
		for _, info := range infos {
			if listed[info.GetName()] {
				continue
			}
			listed[info.GetName()] = true
			peers = append(peers, repair.Peer{
				Name:          info.GetName(),
				Address:       info.GetAddress(),
				FailureDomain: info.GetFailureDomain(),
			})
		}
	}
	return peers
}

// knownMembers returns the names of this process and of the members with recent contact,
// except those that a silent member has as well.
func (s *Server) knownMembers(status replica.Status) map[string]bool {
	known := map[string]bool{s.Name: true}
	members := slices.Concat(status.Membership.GetVoters(), status.Membership.GetLearners())
	isSilent := func(member *apiv1.MemberInfo) bool {
		return status.Progress[member.GetIncarnation()].SinceContact >= s.RepairPolicy.UnreachableAfter
	}
	for _, member := range members {
		if !isSilent(member) {
			known[member.GetName()] = true
		}
	}
	for _, member := range members {
		if isSilent(member) {
			delete(known, member.GetName())
		}
	}
	return known
}
