package raft

import "github.com/cockroachdb/errors"

// Errors of Core. After any of them the log is unchanged.
var (
	ErrNotLeader          = errors.New("this member does not lead")
	ErrTransferInProgress = errors.New("leadership is being transferred")
	ErrChangeInProgress   = errors.New("a membership change is in progress")
	ErrNotCaughtUp        = errors.New("the learner has not caught up")
	ErrInvalidChange      = errors.New("the membership change is invalid")
)
