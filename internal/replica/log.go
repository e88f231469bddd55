package replica

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Log is the replicated log as the control process uses it.
type Log interface {
	// Propose replicates the command and returns its result once it is applied
	// here. Errors: ErrNotLeader when the command was certainly not appended;
	// ErrIndeterminate (or ctx's error) when it may still commit.
	Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error)

	// Barrier returns after a read-index round that began after the call has
	// confirmed that this member leads, an entry of its own term has been
	// applied, and the state machine has applied all that was committed when
	// the round began. Error: ErrNotLeader, or ctx's.
	Barrier(ctx context.Context) error

	// Status returns what this member knows at present.
	Status() Status

	// Changed returns a channel that is closed at the next change of leader,
	// term or membership.
	Changed() <-chan struct{}

	// Form makes this member, whose data folder must be empty, one of a new
	// cluster's first voters. All of them are called with the same arguments.
	Form(ctx context.Context, clusterID string, voters []*apiv1.MemberInfo) error

	// AddLearner, Promote and Remove change the membership by one incarnation
	// and return when the change is committed. Error: ErrNotLeader,
	// ErrChangeInProgress, ErrNotCaughtUp.
	AddLearner(ctx context.Context, member *apiv1.MemberInfo) error
	PromoteLearner(ctx context.Context, incarnation uint64) error
	RemoveMember(ctx context.Context, incarnation uint64) error

	// TransferLeadership hands leadership to the voter that is most up to date.
	TransferLeadership(ctx context.Context) error
}

// StateMachine consumes committed commands. The log calls it from one
// goroutine; readers may run beside it.
type StateMachine interface {
	Apply(index uint64, command *apiv1.Command) *apiv1.CommandResult
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}
