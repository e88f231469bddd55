package raft

// HardState is what a member must find again after a restart, besides its log.
type HardState struct {
	Term   uint64
	Vote   uint64 // incarnation voted for in Term; 0: none
	Commit uint64 // index; a lower bound after a restart
}

// needsSync reports whether the change from earlier must be on disk before any
// message that depends on it leaves. The commit index can be learned again.
func (h HardState) needsSync(earlier HardState) bool {
	return h.Term != earlier.Term || h.Vote != earlier.Vote
}
