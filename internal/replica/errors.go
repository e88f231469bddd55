package replica

import "github.com/cockroachdb/errors"

// Errors returned by Log.
var (
	ErrNotLeader        = errors.New("this member does not lead")
	ErrIndeterminate    = errors.New("the command may or may not be committed")
	ErrChangeInProgress = errors.New("a membership change is in progress")
	ErrNotCaughtUp      = errors.New("the learner has not caught up")
	ErrAlreadyFormed    = errors.New("this member already belongs to a cluster")
)
