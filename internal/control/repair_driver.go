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
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
)

const (
	defaultRepairInterval  = 200 * time.Millisecond // a replacement takes several checks, one for each step
	repairLogInterval      = time.Second            // between two log lines about what a repair waits for
	promotionRetryInterval = 20 * time.Millisecond  // while the learner lacks the entry that removed its predecessor
	memberChangeTimeout    = 10 * time.Second
	learnerPollInterval    = 20 * time.Millisecond // between two looks whether a learner has caught up
	maxLearnerLag          = 500                   // entries that a learner may be behind the commit index to be promoted; less than the log's own limit
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
		if !checks.awaitNext(ctx, ticker.C) {
			return nil
		}
		// Until the lost voters are replaced, the next loss may leave no majority.
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

	noticed time.Time // when the checks began to find something to repair; zero: they don't

	promotionWaits bool // the last check found a learner that can't be promoted yet
	caughtUp       int  // learners that had caught up at the last check
	behind         int  // learners that had not
}

// awaitNext waits for the next check: that is due, or a learner has caught up. It returns false if ctx has ended.
func (c *membershipChecks) awaitNext(ctx context.Context, due <-chan time.Time) bool {
	var poll <-chan time.Time
	if c.behind > 0 {
		ticker := time.NewTicker(learnerPollInterval)
		defer ticker.Stop()
		poll = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-poll:
			status := c.server.Log.Status()
			if caughtUp, _ := countCaughtUp(repairMembers(status, status.Membership.GetLearners())); caughtUp > c.caughtUp {
				return true
			}
		}
	}
}

func countCaughtUp(learners []repair.Member) (caughtUp, behind int) {
	for _, learner := range learners {
		if learner.CaughtUp {
			caughtUp++
		}
	}
	return caughtUp, len(learners) - caughtUp
}

// changesVoters checks the membership once. It reports whether the voters have changed, or a promotion is to be tried again
// after a pause that it has made.
func (c *membershipChecks) changesVoters(ctx context.Context) bool {
	change := c.next(ctx)
	changesVoters := change == repair.RemoveMember || change == repair.PromoteLearner || change == repair.ReplaceVoter
	return changesVoters || c.promotionWaits && sleep(ctx, promotionRetryInterval)
}

// next checks the membership once, and returns the kind of the changes that it made.
func (c *membershipChecks) next(ctx context.Context) repair.Kind {
	c.promotionWaits = false
	status := c.server.Log.Status()
	c.caughtUp, c.behind = countCaughtUp(repairMembers(status, status.Membership.GetLearners()))
	if !c.server.needsRepair(status) {
		c.probes.reset()
		c.noticed = time.Time{}
		return repair.None
	}
	if c.noticed.IsZero() {
		c.noticed = time.Now()
	}
	view := c.server.repairView(ctx, status, &c.probes)
	actions := repair.Next(view)
	if !c.isCurrent() {
		current := c.server.Log.Status()
		c.server.Logger.Info("membership repair skipped by an ended leadership", "term", c.term,
			"current_term", current.Term, "leads", current.IsLeader)
		return repair.None
	}
	if len(actions) > 0 {
		return c.changeMembership(ctx, actions, view)
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

// changeMembership performs one step and records it in the audit trail. It returns the
// kind of the changes if they were made. A step that is not possible yet is tried again with
// the next check.
func (c *membershipChecks) changeMembership(ctx context.Context, actions []repair.Action, view repair.View) repair.Kind {
	s := c.server
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	begin, kind := time.Now(), actions[len(actions)-1].Kind
	err := s.Log.ChangeMembership(ctx, logChanges(actions)...)
	if errors.IsAny(err, replica.ErrChangeInProgress, replica.ErrNotCaughtUp, replica.ErrNotLeader) {
		c.promotionWaits = kind != repair.AddLearner && errors.Is(err, replica.ErrNotCaughtUp)
		c.logWait(view, err)
		return repair.None
	}
	if kind == repair.AddLearner {
		c.behind += len(actions)
	}
	for _, action := range actions {
		c.recordChange(action, err, time.Since(begin))
	}
	if err != nil {
		return repair.None
	}
	return kind
}

// recordChange logs one change of a step, counts it and records it in the audit trail.
func (c *membershipChecks) recordChange(action repair.Action, err error, took time.Duration) {
	s := c.server
	outcome, detail := state.OutcomeApplied, action.Reason
	if err != nil {
		outcome, detail = state.OutcomeFailed, err.Error()
	}
	s.Logger.Info("membership change attempted", "change", action.Kind.String(), "member", action.Member.GetName(),
		"incarnation", action.Member.GetIncarnation(), "replaced", action.Replaced.GetIncarnation(), "outcome", outcome,
		"duration_ms", took.Milliseconds(), "since_noticed_ms", time.Since(c.noticed).Milliseconds(), "detail", detail)
	counter(s.Metrics, "control.repair."+action.Kind.String()).Inc(1)
	for _, change := range logChanges([]repair.Action{action}) {
		c.audit.record(&apiv1.AuditRecord{
			Actor:   s.Name,
			Action:  auditActions[change.Kind],
			Object:  change.Member.GetName(),
			Outcome: outcome,
			Detail:  detail,
		})
	}
}

// logChanges returns the changes of the log's membership that make up a step.
func logChanges(actions []repair.Action) []raft.Change {
	var changes []raft.Change
	for _, action := range actions {
		switch action.Kind {
		case repair.AddLearner:
			changes = append(changes, raft.Change{Kind: raft.AddLearner, Member: action.Member})
		case repair.PromoteLearner:
			changes = append(changes, raft.Change{Kind: raft.PromoteLearner, Member: action.Member})
		case repair.RemoveMember:
			changes = append(changes, raft.Change{Kind: raft.RemoveMember, Member: action.Member})
		case repair.ReplaceVoter:
			changes = append(changes, raft.Change{Kind: raft.RemoveMember, Member: action.Replaced},
				raft.Change{Kind: raft.PromoteLearner, Member: action.Member})
		case repair.None:
		}
	}
	return changes
}

// auditActions maps membership changes to their names in the audit trail.
var auditActions = map[raft.ChangeKind]string{
	raft.AddLearner:     state.ActionMemberAdd,
	raft.PromoteLearner: state.ActionMemberPromote,
	raft.RemoveMember:   state.ActionMemberRemove,
}
