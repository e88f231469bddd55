package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// runOnLoop runs the function on the loop's goroutine and returns its error.
// Errors: ErrNotLeader if Run has returned, or the error of ctx.
func (r *Replica) runOnLoop(ctx context.Context, run func() error) error {
	done := make(chan error, 1)
	select {
	case r.loopCalls <- func() { done <- run() }:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return ErrNotLeader
	}
	return <-done
}

// AddLearner adds a member that receives the log but is not counted in quorums.
// It has no effect if the incarnation is a member already.
func (r *Replica) AddLearner(ctx context.Context, member *apiv1.MemberInfo) error {
	return r.ChangeMembership(ctx, raft.Change{Kind: raft.AddLearner, Member: member})
}

// PromoteLearner makes a learner a voter. It has no effect if the incarnation is
// a voter already.
func (r *Replica) PromoteLearner(ctx context.Context, incarnation uint64) error {
	return r.ChangeMembership(ctx, raft.Change{Kind: raft.PromoteLearner, Member: &apiv1.MemberInfo{Incarnation: incarnation}})
}

// RemoveMember removes a voter or learner from the membership. It has no effect
// if the incarnation is not a member.
func (r *Replica) RemoveMember(ctx context.Context, incarnation uint64) error {
	return r.ChangeMembership(ctx, raft.Change{Kind: raft.RemoveMember, Member: &apiv1.MemberInfo{Incarnation: incarnation}})
}

// ChangeMembership proposes the changes in one entry and waits until it is applied.
func (r *Replica) ChangeMembership(ctx context.Context, changes ...raft.Change) error {
	p := newProposal(nil)
	err := r.runOnLoop(ctx, func() error {
		index, err := r.core.ChangeMembership(changes...)
		if err != nil {
			return err
		}
		if index == 0 {
			p.done <- outcome{}
			return nil
		}
		p.term = r.core.Term()
		r.pending.add(index, p)
		return nil
	})
	if err != nil {
		return toLogError(err)
	}
	_, err = r.awaitOutcome(ctx, p)
	return err
}

// TransferLeadership transfers leadership to the most up-to-date voter and
// returns once this member is no longer the leader. It returns an error if that
// takes longer than transferTimeout.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	changed := r.Changed()
	if err := r.runOnLoop(ctx, func() error { return r.core.TransferLeadership() }); err != nil {
		return toLogError(err)
	}
	timeout := time.NewTimer(transferTimeout)
	defer timeout.Stop()
	for r.Status().IsLeader {
		select {
		case <-changed:
			changed = r.Changed()
		case <-timeout.C:
			return errors.New("the leadership transfer timed out")
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stopped:
			return nil
		}
	}
	return nil
}
