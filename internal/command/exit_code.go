package command

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitError       = 1
	ExitUsage       = 2
	ExitFindings    = 3
	ExitRefused     = 4
	ExitConflict    = 5
	ExitUnreachable = 6
	ExitNotInForce  = 7
)

// Marks for errors that have an exit code of their own.
var (
	errUsage      = errors.New("wrong arguments")
	errConflict   = errors.New("conflict")
	errNotInForce = errors.New("not yet in force")
)

// exitCode returns the tool's exit code for an error.
func exitCode(err error) int {
	var findings *finding.Error
	switch {
	case errors.As(err, &findings):
		return ExitFindings
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case isUnreachable(err):
		return ExitUnreachable
	case isRefused(err):
		return ExitRefused
	default:
		return ExitError
	}
}

// isUnreachable reports whether no control process that can serve the call answered
// in time, so that a retry may succeed.
func isUnreachable(err error) bool {
	if errors.Is(err, rpc.ErrUnreachable) || errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var twirpError twirp.Error
	return errors.As(err, &twirpError) &&
		(twirpError.Code() == twirp.Unavailable || twirpError.Code() == twirp.DeadlineExceeded)
}

// isRefused reports whether the cell rejected the call, so that a retry would fail
// too.
func isRefused(err error) bool {
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return false
	}
	switch twirpError.Code() {
	case twirp.InvalidArgument, twirp.Malformed, twirp.OutOfRange, twirp.NotFound, twirp.AlreadyExists,
		twirp.PermissionDenied, twirp.Unauthenticated, twirp.FailedPrecondition, twirp.Aborted,
		twirp.ResourceExhausted, twirp.BadRoute, twirp.Unimplemented:
		return true
	default:
		return false
	}
}
