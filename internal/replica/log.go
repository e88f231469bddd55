package replica

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// Log is the interface of the replicated log that the control process uses.
type Log interface {
	// Propose replicates the command and returns its result once it is applied
	// to this member's state machine. Errors: ErrNotLeader if the command was
	// certainly not appended; ErrIndeterminate or the error of ctx if it may or
	// may not be committed.
	Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error)

	// Barrier makes reads of the state machine linearizable. It starts a
	// read-index round and returns once the round has confirmed that this member
	// is the leader, an entry of its term is applied, and the state machine has
	// applied everything that was committed when the round began. Errors:
	// ErrNotLeader, or the error of ctx.
	Barrier(ctx context.Context) error

	// Status returns the current status of this member. The caller must not
	// modify the membership and progress in it.
	Status() Status

	// Changed returns a channel that is closed at the next change of cluster,
	// term, leader or membership.
	Changed() <-chan struct{}

	// Form makes this member, whose data folder must be empty, one of the initial
	// voters of a new cluster. It must be called on each of them with the same
	// arguments. Calling it again with the same clusterID has no effect. Error:
	// ErrAlreadyFormed if the member belongs to another cluster.
	Form(ctx context.Context, clusterID string, voters []*apiv1.MemberInfo) error

	// AddLearner, PromoteLearner and RemoveMember change the membership by one
	// incarnation and return once the change is committed and applied. They have
	// no effect if the change is already in effect. Errors: ErrNotLeader,
	// ErrChangeInProgress, ErrNotCaughtUp, ErrIndeterminate.
	AddLearner(ctx context.Context, member *apiv1.MemberInfo) error
	PromoteLearner(ctx context.Context, incarnation uint64) error
	RemoveMember(ctx context.Context, incarnation uint64) error

	// ChangeMembership makes all of the changes in one log entry and returns once it
	// is committed and applied. Errors: as those of the single changes.
	ChangeMembership(ctx context.Context, changes ...raft.Change) error

	// TransferLeadership transfers leadership to the most up-to-date voter.
	// Error: ErrNotLeader.
	TransferLeadership(ctx context.Context) error
}

// StateMachine applies committed commands. All its methods are called from a
// single goroutine, but readers of its state may run concurrently.
type StateMachine interface {
	Apply(index uint64, command *apiv1.Command) *apiv1.CommandResult
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}
