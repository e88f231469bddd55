package workercall

import "github.com/cockroachdb/errors"

// Errors that a Leader returns, and that of an invalid renewal.
var (
	ErrNotLeader      = errors.New("this process does not lead")
	ErrSuperseded     = errors.New("a later boot of this worker is registered")
	ErrLeaseEnding    = errors.New("the worker's lease is being ended")
	ErrInvalidRenewal = errors.New("the renewal is incomplete")
)
