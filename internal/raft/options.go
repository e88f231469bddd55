package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Options sets a Core up.
type Options struct {
	ID                   uint64 // this member's incarnation; not 0
	ElectionTicks        int    // shortest election timeout; also the leader's lease on votes
	HeartbeatTicks       int
	SnapshotTimeoutTicks int    // after which an unanswered snapshot is sent again
	MaxInflight          int    // unacknowledged append messages a follower
	MaxAppendBytes       int    // of entries in one append message
	MaxLearnerLag        uint64 // entries a learner may be behind when promoted
	Seed                 uint64 // of the election timeouts

	// State found on disk. Snapshot is nil in an empty data folder. Entries
	// follow it without a gap.
	HardState HardState
	Snapshot  *apiv1.SnapshotMeta
	Entries   []*apiv1.LogEntry
}
