package rpc

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// ErrUnreachable says that no control process answered within the deadline.
var ErrUnreachable = errors.New("no control process answered")

// IsUnreachable reports whether a call failed because no leader answered it in
// time. What it asked for may have happened.
func IsUnreachable(err error) bool {
	if err == nil {
		return false
	}
	if errors.IsAny(err, ErrUnreachable, context.DeadlineExceeded, context.Canceled) {
		return true
	}
	switch code(err) {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled:
		return true
	default:
		return false
	}
}

// IsRefused reports whether a control process answered that it will not do what
// the call asked for. It has not happened.
func IsRefused(err error) bool {
	if err == nil || IsUnreachable(err) {
		return false
	}
	switch code(err) {
	case twirp.NoError, twirp.Internal, twirp.Unknown, twirp.DataLoss:
		return false
	default:
		return true
	}
}

func code(err error) twirp.ErrorCode {
	var answer twirp.Error
	if errors.As(err, &answer) {
		return answer.Code()
	}
	return twirp.NoError
}
