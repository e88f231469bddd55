package raft

// readRound is a read-index round that waits for the responses of a majority.
type readRound struct {
	id       uint64 // chosen by the caller of ReadIndex
	sequence uint64 // sent in heartbeats; ascending within a leader's term
	index    uint64 // commit index when the round began
}

// readRounds holds the read-index rounds of a leader.
type readRounds struct {
	lastSequence uint64      // of the latest round, or given out by nextSequence after it
	inFlight     []readRound // by ascending sequence
	postponed    []uint64    // identifiers of rounds that wait for the first commit of the leader's term
}

func (r *readRounds) begin(id, commit uint64) {
	r.inFlight = append(r.inFlight, readRound{id: id, sequence: r.nextSequence(), index: commit})
}

// nextSequence returns a sequence that only heartbeats sent from now on carry, and their
// responses.
func (r *readRounds) nextSequence() uint64 {
	r.lastSequence++
	return r.lastSequence
}

// confirm removes the rounds up to sequence and returns them.
func (r *readRounds) confirm(sequence uint64) []ReadState {
	var reads []ReadState
	for len(r.inFlight) > 0 && r.inFlight[0].sequence <= sequence {
		reads = append(reads, ReadState{Round: r.inFlight[0].id, Index: r.inFlight[0].index})
		r.inFlight = r.inFlight[1:]
	}
	return reads
}
