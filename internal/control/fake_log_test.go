package control_test

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// fakeLog is a log of one member, which keeps nothing and applies at once.
type fakeLog struct {
	mu       sync.Mutex
	machine  replica.StateMachine
	status   replica.Status
	index    uint64
	changed  chan struct{}
	barriers int
	gate     chan struct{} // when set, barriers wait until it is closed
	handed   int           // transfers of leadership
	commands []*apiv1.Command
	changes  []string             // membership changes asked for
	failure  error                // of every proposal, which is not applied
	applied  func(*apiv1.Command) // when set, called before a proposal is answered
}

// otherLeader is the address of the process that leads when this one does not.
const otherLeader = "127.0.0.1:2"

var _ replica.Log = (*fakeLog)(nil)

func newFakeLog(machine replica.StateMachine) *fakeLog {
	return &fakeLog{
		machine: machine,
		changed: make(chan struct{}),
		status: replica.Status{
			ClusterID:   "cluster",
			Incarnation: 1,
			Membership: &apiv1.Membership{Voters: []*apiv1.MemberInfo{
				{Incarnation: 1, Name: "control-1", Address: "127.0.0.1:1"},
			}},
		},
	}
}

// lead makes the member lead a new term.
func (f *fakeLog) lead() {
	f.update(func() {
		f.status.Term++
		f.status.IsLeader = true
		f.status.Leader = 1
		f.status.LeaderAddr = "127.0.0.1:1"
	})
}

// follow makes another process lead a new term.
func (f *fakeLog) follow() {
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

// hold makes barriers wait until release is called.
func (f *fakeLog) hold() (release func()) {
	gate := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate = gate
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.gate = nil
		close(gate)
	}
}

func (f *fakeLog) membershipChanges() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.changes)
}

func (f *fakeLog) barrierCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.barriers
}

// claimBatches returns the claim changes of each command so far.
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
	if f.failure != nil {
		return nil, nil, f.failure
	}
	f.index++
	f.commands = append(f.commands, proto.CloneOf(command))
	return f.machine.Apply(f.index, command), f.applied, nil
}

// fail makes proposals fail with the error; nil ends that.
func (f *fakeLog) fail(failure error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = failure
}

// onApplied calls the function with each command before its proposal returns.
func (f *fakeLog) onApplied(hook func(*apiv1.Command)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = hook
}

func (f *fakeLog) Barrier(ctx context.Context) error {
	f.mu.Lock()
	f.barriers++
	gate := f.gate
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
		f.changes = append(f.changes, "add "+member.GetName())
		f.status.Membership = proto.CloneOf(f.status.Membership)
		f.status.Membership.Learners = append(f.status.Membership.Learners, member)
	})
	return nil
}

func (f *fakeLog) Promote(_ context.Context, incarnation uint64) error {
	f.update(func() {
		membership := &apiv1.Membership{Voters: f.status.Membership.GetVoters()}
		for _, learner := range f.status.Membership.GetLearners() {
			if learner.GetIncarnation() == incarnation {
				f.changes = append(f.changes, "promote "+learner.GetName())
				membership.Voters = append(membership.Voters, learner)
			} else {
				membership.Learners = append(membership.Learners, learner)
			}
		}
		f.status.Membership = membership
	})
	return nil
}

func (f *fakeLog) Remove(_ context.Context, incarnation uint64) error {
	f.update(func() {
		membership := &apiv1.Membership{}
		for _, voter := range f.status.Membership.GetVoters() {
			if voter.GetIncarnation() == incarnation {
				f.changes = append(f.changes, "remove "+voter.GetName())
			} else {
				membership.Voters = append(membership.Voters, voter)
			}
		}
		for _, learner := range f.status.Membership.GetLearners() {
			if learner.GetIncarnation() == incarnation {
				f.changes = append(f.changes, "remove "+learner.GetName())
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
		f.handed++
		f.status.IsLeader = false
	})
	return nil
}
