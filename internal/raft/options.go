package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Options configures a Core. Durations are in ticks.
type Options struct {
	ID                   uint64 // this member's incarnation; not 0
	ElectionTicks        int    // shortest election timeout; members refuse votes this long after hearing from a leader
	HeartbeatTicks       int    // interval between a leader's heartbeats
	SnapshotTimeoutTicks int    // after which an unacknowledged snapshot is sent again
	MaxInflight          int    // unacknowledged append messages per follower
	MaxAppendBytes       int    // total size of the entries in one append message
	MaxLearnerLag        uint64 // entries that a learner may be behind the commit index when it is promoted
	Seed                 uint64 // of the randomized election timeouts

	// State found on disk. Snapshot is nil if the data folder is empty. Entries
	// begin right after the snapshot and have no gaps.
	HardState HardState
	Snapshot  *apiv1.SnapshotMeta
	Entries   []*apiv1.LogEntry
}
