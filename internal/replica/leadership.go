package replica

import (
	"github.com/pistachioport/pistachioport/internal/raft"
)

// updateLeadership records whether this member is the leader and in which term.
// When a leadership has ended, it fails the proposals and barriers that depend on
// it.
func (r *Replica) updateLeadership() {
	term := uint64(0)
	if r.core.Role() == raft.Leader {
		term = r.core.Term()
	}
	if term == r.leaderTerm {
		return
	}
	if r.leaderTerm != 0 {
		// The applier still completes proposals up to the commit index.
		r.pending.failAfter(r.core.CommitIndex(), ErrIndeterminate)
		r.reads.fail(ErrNotLeader)
		r.config.Logger.Info("leadership ended", "term", r.leaderTerm, "reason", r.endOfLeadership(), "new_term", r.core.Term(),
			"silence_ms", r.silence())
	}
	r.leaderTerm = term
	if term != 0 {
		r.config.Logger.Info("leadership began", "term", term)
	}
}

// endOfLeadership returns why this member no longer leads leaderTerm. A core that steps
// down in its own term does so for lack of a quorum or because it has been removed.
func (r *Replica) endOfLeadership() string {
	switch {
	case r.core.Term() > r.leaderTerm:
		return "higher term"
	case !r.isVoter():
		return "removed from the voters"
	}
	return "quorum lost"
}

// isVoter reports whether this member is a voter in the latest membership of its log.
func (r *Replica) isVoter() bool {
	for _, voter := range r.core.Membership().GetVoters() {
		if voter.GetIncarnation() == r.store.Identity().Incarnation {
			return true
		}
	}
	return false
}

// silence returns the silence of the other members at the last tick as leader, in
// milliseconds by address.
func (r *Replica) silence() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	silence := make(map[string]int64, len(r.status.Progress))
	for id, progress := range r.status.Progress {
		silence[r.transport.addressOf(id)] = progress.SinceContact.Milliseconds()
	}
	return silence
}
