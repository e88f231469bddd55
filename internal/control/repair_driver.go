package control

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
)

const (
	defaultRepairInterval  = 200 * time.Millisecond // a replacement takes several checks, one for each step
	repairLogInterval      = time.Second            // between two log lines about what a repair waits for
	promotionRetryInterval = 20 * time.Millisecond  // while the learner lacks the entry that removed its predecessor
	memberChangeTimeout    = 10 * time.Second
	maxLearnerLag          = 500 // entries that a learner may be behind the commit index to be promoted; less than the log's own limit
)

// repairMembership periodically checks the membership and replaces lost voters, one
// step at a time. Between two steps it keeps no state but the replicated membership, and
// which processes don't identify themselves. The interval between two checks includes the
// time that a check takes, or else processes that don't answer would double it.
func (l *leadership) repairMembership(ctx context.Context) error {
	checks := &membershipChecks{leadership: l, audit: repairAudit{leadership: l}}
	ticker := time.NewTicker(l.server.RepairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		// Between the removal of a voter and the promotion of its successor, the next loss may leave no majority.
		for checks.changesVoters(ctx) {
		}
	}
}

// membershipChecks is what the checks of one leadership remember.
type membershipChecks struct {
	*leadership
	probes identityProbes
	audit  repairAudit
	logged time.Time // when a check last logged what the repair waits for

	promotionWaits bool // the last check found a vacancy and a learner that can't be promoted yet
}

// changesVoters checks the membership once. It reports whether the voters have changed, or a promotion is to be tried again
// after a pause that it has made.
func (c *membershipChecks) changesVoters(ctx context.Context) bool {
	change := c.next(ctx)
	return change == repair.RemoveMember || change == repair.PromoteLearner || c.promotionWaits && sleep(ctx, promotionRetryInterval)
}

// next checks the membership once, and returns the kind of the change that it made.
func (c *membershipChecks) next(ctx context.Context) repair.Kind {
	c.promotionWaits = false
	status := c.server.Log.Status()
	if !c.server.needsRepair(status) {
		c.probes.reset()
		return repair.None
	}
	view := c.server.repairView(ctx, status, &c.probes)
	action := repair.Next(view)
	if !c.isCurrent() {
		current := c.server.Log.Status()
		c.server.Logger.Info("membership repair skipped by an ended leadership", "term", c.term,
			"current_term", current.Term, "leads", current.IsLeader)
		return repair.None
	}
	if action.Kind != repair.None {
		return c.changeMembership(ctx, action, view)
	}
	c.logWait(view, nil)
	return repair.None
}

// logWait logs what the repair waits for, once in each repairLogInterval.
func (c *membershipChecks) logWait(view repair.View, err error) {
	if time.Since(c.logged) >= repairLogInterval {
		c.logged = time.Now()
		c.server.logRepairWait(view, err)
	}
}

// logRepairWait logs what a repair waits for: the voters without recent contact, the
// processes that don't answer, and the learners that are behind. err is the error of the
// change that is not possible yet; nil if none was tried.
func (s *Server) logRepairWait(view repair.View, err error) {
	var silentVoters, unanswered, behind []string
	for _, voter := range view.Voters {
		if voter.SinceContact >= s.RepairPolicy.UnreachableAfter {
			silentVoters = append(silentVoters, voter.Info.GetName())
		}
	}
	for _, peer := range view.Peers {
		if peer.Identity == nil {
			unanswered = append(unanswered, peer.Name)
		}
	}
	for _, learner := range view.Learners {
		if !learner.CaughtUp {
			behind = append(behind, learner.Info.GetName())
		}
	}
	s.Logger.Info("membership repair waits", "voters", len(view.Voters), "silent_voters", silentVoters,
		"learners", len(view.Learners), "learners_behind", behind, "peers", len(view.Peers), "unanswered", unanswered, "error", err,
		slog.Group("replication", replicationAttrs(s.Log.Status())...))
}

// replicationAttrs returns, by name, how each other member is replicated to and how many
// entries it is behind the commit index.
func replicationAttrs(status replica.Status) []any {
	attrs := []any{slog.Uint64("commit", status.CommitIndex)}
	members := slices.Concat(status.Membership.GetVoters(), status.Membership.GetLearners())
	for _, member := range members {
		if progress, ok := status.Progress[member.GetIncarnation()]; ok {
			behind := int64(status.CommitIndex) - int64(progress.MatchIndex) //nolint:gosec // indexes are far below 2^63
			attrs = append(attrs, slog.String(member.GetName(), fmt.Sprintf("%s, %d behind", progress.State, behind)))
		}
	}
	return attrs
}

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

// changeMembership performs one step and records it in the audit trail. It returns the
// kind of the change if it was made. A change that is not possible yet is tried again with
// the next check.
func (c *membershipChecks) changeMembership(ctx context.Context, action repair.Action, view repair.View) repair.Kind {
	s := c.server
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	member := action.Member
	err := s.applyMembershipChange(ctx, action)
	if errors.IsAny(err, replica.ErrChangeInProgress, replica.ErrNotCaughtUp, replica.ErrNotLeader) {
		c.promotionWaits = action.Kind == repair.PromoteLearner && errors.Is(err, replica.ErrNotCaughtUp)
		c.logWait(view, err)
		return repair.None
	}
	made, outcome, detail := action.Kind, state.OutcomeApplied, action.Reason
	if err != nil {
		made, outcome, detail = repair.None, state.OutcomeFailed, err.Error()
	}
	s.Logger.Info("membership change attempted", "change", action.Kind.String(), "member", member.GetName(),
		"incarnation", member.GetIncarnation(), "outcome", outcome, "detail", detail)
	counter(s.Metrics, "control.repair."+action.Kind.String()).Inc(1)
	c.audit.record(&apiv1.AuditRecord{
		Actor:   s.Name,
		Action:  auditActions[action.Kind],
		Object:  member.GetName(),
		Outcome: outcome,
		Detail:  detail,
	})
	return made
}

func (s *Server) applyMembershipChange(ctx context.Context, action repair.Action) error {
	switch action.Kind {
	case repair.AddLearner:
		return s.Log.AddLearner(ctx, action.Member)
	case repair.PromoteLearner:
		return s.Log.PromoteLearner(ctx, action.Member.GetIncarnation())
	case repair.RemoveMember:
		return s.Log.RemoveMember(ctx, action.Member.GetIncarnation())
	default:
		return errors.Newf("unknown membership change %v", action.Kind)
	}
}

// auditActions maps membership changes to their names in the audit trail.
var auditActions = map[repair.Kind]string{
	repair.AddLearner:     state.ActionMemberAdd,
	repair.PromoteLearner: state.ActionMemberPromote,
	repair.RemoveMember:   state.ActionMemberRemove,
}
