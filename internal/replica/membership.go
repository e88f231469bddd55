package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// request runs the function on the loop and returns its error.
func (r *Replica) request(ctx context.Context, run func() error) error {
	done := make(chan error, 1)
	select {
	case r.requests <- func() { done <- run() }:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return ErrNotLeader
	}
	return <-done
}

// AddLearner adds a member that gets the log but does not vote. It has no
// effect on a member.
func (r *Replica) AddLearner(ctx context.Context, member *apiv1.MemberInfo) error {
	return r.change(ctx, raft.Change{Kind: raft.AddLearner, Member: member})
}

// PromoteLearner makes a learner a voter. It has no effect on a voter.
func (r *Replica) PromoteLearner(ctx context.Context, incarnation uint64) error {
	return r.change(ctx, raft.Change{Kind: raft.PromoteLearner, Member: &apiv1.MemberInfo{Incarnation: incarnation}})
}

// RemoveMember takes a voter or learner out of the membership. It has no effect on
// others.
func (r *Replica) RemoveMember(ctx context.Context, incarnation uint64) error {
	return r.change(ctx, raft.Change{Kind: raft.RemoveMember, Member: &apiv1.MemberInfo{Incarnation: incarnation}})
}

func (r *Replica) change(ctx context.Context, change raft.Change) error {
	p := newProposal(nil)
	err := r.request(ctx, func() error {
		index, err := r.core.ChangeMembership(change)
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
		return translate(err)
	}
	_, err = r.await(ctx, p)
	return err
}

// TransferLeadership hands leadership to the voter that is most up to date and
// returns once this member no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	changed := r.Changed()
	if err := r.request(ctx, func() error { return r.core.TransferLeadership() }); err != nil {
		return translate(err)
	}
	timeout := time.NewTimer(handoverTimeout)
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
