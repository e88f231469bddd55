package rpc

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// ErrUnreachable marks the failure of a call that no leader answered in time.
var ErrUnreachable = errors.New("no control process answered")

// IsUnreachable reports whether a call failed because no leader responded in time. The
// call may have had an effect.
func IsUnreachable(err error) bool {
	if err == nil {
		return false
	}
	if errors.IsAny(err, ErrUnreachable, context.DeadlineExceeded, context.Canceled) {
		return true
	}
	switch twirpCode(err) {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled:
		return true
	default:
		return false
	}
}

// IsRefused reports whether a control process refused a call. The call had no effect.
func IsRefused(err error) bool {
	if err == nil || IsUnreachable(err) {
		return false
	}
	switch twirpCode(err) {
	case twirp.NoError, twirp.Internal, twirp.Unknown, twirp.DataLoss:
		return false
	default:
		return true
	}
}

// twirpCode returns the code of a Twirp error, or twirp.NoError for other errors.
func twirpCode(err error) twirp.ErrorCode {
	var twirpError twirp.Error
	if errors.As(err, &twirpError) {
		return twirpError.Code()
	}
	return twirp.NoError
}
