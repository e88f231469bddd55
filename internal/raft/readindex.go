package raft

// readRound is a read-index round that waits for a majority's answers.
type readRound struct {
	id    uint64 // of the caller
	stamp uint64 // sent with heartbeats; ascending within a leader's term
	index uint64 // commit index when the round began
}

// readIndex holds a leader's read-index rounds.
type readIndex struct {
	lastStamp uint64
	begun     []readRound
	postponed []uint64 // rounds that wait for the first commit of the leader's term
}

func (r *readIndex) begin(id, commit uint64) {
	r.lastStamp++
	r.begun = append(r.begun, readRound{id: id, stamp: r.lastStamp, index: commit})
}

// confirm returns the rounds up to stamp and drops them.
func (r *readIndex) confirm(stamp uint64) []ReadState {
	var reads []ReadState
	for len(r.begun) > 0 && r.begun[0].stamp <= stamp {
		reads = append(reads, ReadState{Round: r.begun[0].id, Index: r.begun[0].index})
		r.begun = r.begun[1:]
	}
	return reads
}
