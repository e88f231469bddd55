package raft

import "github.com/cockroachdb/errors"

// Errors returned by Core. If a call returns one of them, it did not change the
// log.
var (
	ErrNotLeader          = errors.New("this member does not lead")
	ErrTransferInProgress = errors.New("leadership is being transferred")
	ErrChangeInProgress   = errors.New("a membership change is in progress")
	ErrNotCaughtUp        = errors.New("the learner has not caught up")
	ErrInvalidChange      = errors.New("the membership change is invalid")
)
