package raft

// MemberProgress is how far a member has come, as the leader knows.
type MemberProgress struct {
	MatchIndex         uint64 // last index known to be on the member's disk
	TicksSinceResponse int    // since the member last answered
}

// Progress returns the progress of the other members; nil unless this member
// leads.
func (c *Core) Progress() map[uint64]MemberProgress {
	if c.role != Leader {
		return nil
	}
	all := make(map[uint64]MemberProgress, len(c.progress))
	for id, p := range c.progress {
		if id != c.id {
			all[id] = MemberProgress{MatchIndex: p.match, TicksSinceResponse: p.idleTicks}
		}
	}
	return all
}
