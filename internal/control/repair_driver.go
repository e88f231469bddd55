package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
)

const (
	repairInterval      = time.Second
	memberChangeTimeout = 10 * time.Second
	maxPromotionLag     = 500 // log entries that a learner may be behind
)

// repairMembership looks for lost voters and replaces them, one step a time.
// Nothing but the replicated membership is kept between two steps.
func (l *leadership) repairMembership(ctx context.Context) error {
	for pause(ctx, l.server.RepairInterval) {
		status := l.server.Log.Status()
		if !l.server.needsRepair(status) {
			continue
		}
		action := repair.Next(l.server.repairView(ctx, status))
		if action.Kind != repair.None && l.current() {
			l.server.changeMembership(ctx, action)
		}
	}
	return nil
}

// needsRepair reports whether the membership is not as it should be. Only then
// are other processes asked who they are.
func (s *Server) needsRepair(status replica.Status) bool {
	membership := status.Membership
	voters := len(membership.GetVoters())
	if len(membership.GetLearners()) > 0 || voters%2 == 0 || voters < s.RepairPolicy.TargetVoters {
		return true
	}
	for _, voter := range membership.GetVoters() {
		if status.Progress[voter.GetIncarnation()].LastContact >= s.RepairPolicy.UnreachableAfter {
			return true
		}
	}
	return false
}

func (s *Server) repairView(ctx context.Context, status replica.Status) repair.View {
	view := repair.View{
		ClusterID: status.ClusterID,
		Voters:    repairMembers(status, status.Membership.GetVoters()),
		Learners:  repairMembers(status, status.Membership.GetLearners()),
		Peers:     s.askPeers(ctx, status),
		Policy:    s.RepairPolicy,
	}
	return view
}

func repairMembers(status replica.Status, infos []*apiv1.MemberInfo) []repair.Member {
	members := make([]repair.Member, len(infos))
	for i, info := range infos {
		progress := status.Progress[info.GetIncarnation()]
		members[i] = repair.Member{
			Info:         info,
			SinceContact: progress.LastContact,
			CaughtUp:     progress.Match+maxPromotionLag >= status.Commit && progress.Match > 0,
		}
	}
	return members
}

// askPeers asks every configured process who it is, and every member that the
// settings don't name.
func (s *Server) askPeers(ctx context.Context, status replica.Status) []repair.Peer {
	peers := s.repairPeers(status)
	var calls sync.WaitGroup
	for i := range peers {
		calls.Go(func() {
			answer, err := s.peers.identify(ctx, peers[i].Address)
			if err == nil {
				peers[i].Identity = answer
			}
		})
	}
	calls.Wait()
	return peers
}

func (s *Server) repairPeers(status replica.Status) []repair.Peer {
	var peers []repair.Peer
	named := make(map[string]bool)
	for _, peer := range s.Peers {
		named[peer.Name] = true
		peers = append(peers, repair.Peer{
			Name:          peer.Name,
			Address:       peer.Address,
			FailureDomain: peer.FailureDomain,
		})
	}
	for _, peer := range s.candidates.all() {
		if !named[peer.Name] {
			named[peer.Name] = true
			peers = append(peers, repair.Peer{Name: peer.Name, Address: peer.Address, FailureDomain: peer.FailureDomain})
		}
	}
	for _, infos := range [][]*apiv1.MemberInfo{status.Membership.GetVoters(), status.Membership.GetLearners()} {
		for _, info := range infos {
			if named[info.GetName()] {
				continue
			}
			named[info.GetName()] = true
			peers = append(peers, repair.Peer{
				Name:          info.GetName(),
				Address:       info.GetAddress(),
				FailureDomain: info.GetFailureDomain(),
			})
		}
	}
	return peers
}

// changeMembership does one step and records it in the audit trail. A change
// that can't be made yet is tried again with the next look.
func (s *Server) changeMembership(ctx context.Context, action repair.Action) {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	member := action.Member
	err := s.commitMembership(ctx, action)
	if errors.IsAny(err, replica.ErrChangeInProgress, replica.ErrNotCaughtUp, replica.ErrNotLeader) {
		return
	}
	outcome, detail := state.OutcomeApplied, action.Reason
	if err != nil {
		outcome, detail = state.OutcomeFailed, err.Error()
	}
	s.Logger.Info("membership changed", "change", action.Kind.String(), "member", member.GetName(),
		"incarnation", member.GetIncarnation(), "outcome", outcome, "detail", detail)
	counter(s.Metrics, "control.repair."+action.Kind.String()).Inc(1)
	err = s.recordAudit(ctx, &apiv1.AuditRecord{
		Actor:   s.Name,
		Action:  memberActions[action.Kind],
		Object:  member.GetName(),
		Outcome: outcome,
		Detail:  detail,
	})
	if err != nil {
		s.Logger.Warn("a membership change was not recorded in the audit trail", "error", err)
	}
}

func (s *Server) commitMembership(ctx context.Context, action repair.Action) error {
	switch action.Kind {
	case repair.AddLearner:
		return s.Log.AddLearner(ctx, action.Member)
	case repair.Promote:
		return s.Log.Promote(ctx, action.Member.GetIncarnation())
	case repair.Remove:
		return s.Log.Remove(ctx, action.Member.GetIncarnation())
	default:
		return errors.Newf("unknown membership change %v", action.Kind)
	}
}

// memberActions names membership changes in the audit trail.
var memberActions = map[repair.Kind]string{
	repair.AddLearner: state.ActionMemberAdd,
	repair.Promote:    state.ActionMemberVote,
	repair.Remove:     state.ActionMemberRemove,
}
