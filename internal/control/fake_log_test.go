package control_test

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// fakeLog is a replicated log of one member that applies commands at once and
// persists nothing.
type fakeLog struct {
	mu                  sync.Mutex
	stateMachine        replica.StateMachine
	status              replica.Status
	index               uint64
	changed             chan struct{}
	barrierCalls        int
	barrierGate         chan struct{} // when set, barriers wait until it is closed
	leadershipTransfers int           // calls of TransferLeadership
	commands            []*apiv1.Command
	memberChanges       []string             // membership changes, in order
	proposeErr          error                // when set, proposals fail with it and are not applied
	onApply             func(*apiv1.Command) // when set, called with each command before its proposal returns
}

// otherLeader is the address of the process that leads when this one does not.
const otherLeader = "127.0.0.1:2"

var _ replica.Log = (*fakeLog)(nil)

func newFakeLog(stateMachine replica.StateMachine) *fakeLog {
	return &fakeLog{
		stateMachine: stateMachine,
		changed:      make(chan struct{}),
		status: replica.Status{
			ClusterID:   "cluster",
			Incarnation: 1,
			Membership: &apiv1.Membership{Voters: []*apiv1.MemberInfo{
				{Incarnation: 1, Name: "control-1", Address: "127.0.0.1:1"},
			}},
		},
	}
}

// becomeLeader makes this member the leader of a new term.
func (f *fakeLog) becomeLeader() {
	f.update(func() {
		f.status.Term++
		f.status.IsLeader = true
		f.status.Leader = 1
		f.status.LeaderAddr = "127.0.0.1:1"
	})
}

// becomeFollower makes another process the leader of a new term.
func (f *fakeLog) becomeFollower() {
	f.update(func() {
		f.status.Term++
		f.status.IsLeader = false
		f.status.Leader = 2
		f.status.LeaderAddr = otherLeader
	})
}

func (f *fakeLog) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// blockBarriers makes calls of Barrier wait until release is called.
func (f *fakeLog) blockBarriers() (release func()) {
	gate := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.barrierGate = gate
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.barrierGate = nil
		close(gate)
	}
}

func (f *fakeLog) membershipChanges() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.memberChanges)
}

func (f *fakeLog) barrierCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.barrierCalls
}

// claimBatches returns the claim batches of all commands so far.
func (f *fakeLog) claimBatches() []*apiv1.ClaimBatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	var batches []*apiv1.ClaimBatch
	for _, command := range f.commands {
		if batch := command.GetClaims(); batch != nil {
			batches = append(batches, batch)
		}
	}
	return batches
}

func (f *fakeLog) Propose(_ context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	result, applied, err := f.apply(command)
	if err == nil && applied != nil {
		applied(command)
	}
	return result, err
}

func (f *fakeLog) apply(command *apiv1.Command) (*apiv1.CommandResult, func(*apiv1.Command), error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.IsLeader {
		return nil, nil, replica.ErrNotLeader
	}
	if f.proposeErr != nil {
		return nil, nil, f.proposeErr
	}
	f.index++
	f.commands = append(f.commands, proto.CloneOf(command))
	return f.stateMachine.Apply(f.index, command), f.onApply, nil
}

// failProposals makes all proposals fail with the error, or none if it is nil.
func (f *fakeLog) failProposals(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposeErr = err
}

// setOnApply sets a function that is called with each command before its proposal
// returns.
func (f *fakeLog) setOnApply(hook func(*apiv1.Command)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onApply = hook
}

func (f *fakeLog) Barrier(ctx context.Context) error {
	f.mu.Lock()
	f.barrierCalls++
	gate := f.barrierGate
	f.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.IsLeader {
		return replica.ErrNotLeader
	}
	return nil
}

func (f *fakeLog) Status() replica.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *fakeLog) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeLog) Form(_ context.Context, clusterID string, _ []*apiv1.MemberInfo) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.ClusterID != "" {
		return replica.ErrAlreadyFormed
	}
	f.status.ClusterID = clusterID
	return nil
}

func (f *fakeLog) AddLearner(_ context.Context, member *apiv1.MemberInfo) error {
	f.update(func() {
		f.memberChanges = append(f.memberChanges, "add "+member.GetName())
		f.status.Membership = proto.CloneOf(f.status.Membership)
		f.status.Membership.Learners = append(f.status.Membership.Learners, member)
	})
	return nil
}

func (f *fakeLog) PromoteLearner(_ context.Context, incarnation uint64) error {
	f.update(func() {
		membership := &apiv1.Membership{Voters: f.status.Membership.GetVoters()}
		for _, learner := range f.status.Membership.GetLearners() {
			if learner.GetIncarnation() == incarnation {
				f.memberChanges = append(f.memberChanges, "promote "+learner.GetName())
				membership.Voters = append(membership.Voters, learner)
			} else {
				membership.Learners = append(membership.Learners, learner)
			}
		}
		f.status.Membership = membership
	})
	return nil
}

func (f *fakeLog) RemoveMember(_ context.Context, incarnation uint64) error {
	f.update(func() {
		membership := &apiv1.Membership{}
		for _, voter := range f.status.Membership.GetVoters() {
			if voter.GetIncarnation() == incarnation {
				f.memberChanges = append(f.memberChanges, "remove "+voter.GetName())
			} else {
				membership.Voters = append(membership.Voters, voter)
			}
		}
		for _, learner := range f.status.Membership.GetLearners() {
			if learner.GetIncarnation() == incarnation {
				f.memberChanges = append(f.memberChanges, "remove "+learner.GetName())
			} else {
				membership.Learners = append(membership.Learners, learner)
			}
		}
		f.status.Membership = membership
	})
	return nil
}

func (f *fakeLog) TransferLeadership(context.Context) error {
	f.update(func() {
		f.leadershipTransfers++
		f.status.IsLeader = false
	})
	return nil
}

func (f *fakeLog) ChangeMembership(ctx context.Context, changes ...raft.Change) error {
	for _, change := range changes {
		var err error
		switch change.Kind {
		case raft.AddLearner:
			err = f.AddLearner(ctx, change.Member)
		case raft.PromoteLearner:
			err = f.PromoteLearner(ctx, change.Member.GetIncarnation())
		case raft.RemoveMember:
			err = f.RemoveMember(ctx, change.Member.GetIncarnation())
		}
		if err != nil {
			return err
		}
	}
	return nil
}
