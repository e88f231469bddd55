package raft

// HardState is the state besides the log that a member stores on disk and needs
// after a restart.
type HardState struct {
	Term   uint64
	Vote   uint64 // incarnation voted for in Term; 0: none
	Commit uint64 // commit index; after a restart only a lower bound
}

// needsSync reports whether the state differs from earlier such that it must be
// on disk before any message that depends on it is sent. A changed commit index
// need not be, since a member can learn it again from the leader, unless an election needs it (see Core.mustStoreCommit).
func (h HardState) needsSync(earlier HardState) bool {
	return h.Term != earlier.Term || h.Vote != earlier.Vote
}
