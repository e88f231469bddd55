package raft

import "maps"

// MemberProgress is what the leader knows about another member's replication.
type MemberProgress struct {
	MatchIndex         uint64 // last index known to be on the member's disk
	TicksSinceResponse int
	State              string // how entries are sent to the member
}

// Progress returns the progress of the other members by incarnation, or nil if
// this member is not the leader.
func (c *Core) Progress() map[uint64]MemberProgress {
	if c.role != Leader {
		return nil
	}
	all := make(map[uint64]MemberProgress, len(c.progress))
	for id, p := range c.progress {
		if id != c.id {
			all[id] = MemberProgress{MatchIndex: p.match, TicksSinceResponse: p.ticksSinceResponse, State: p.state.String()}
		}
	}
	return all
}

// Election is what a member that knows no leader does about that.
type Election struct {
	Role        Role
	Votes       map[uint64]bool // responses to its campaign by incarnation; true: granted
	MayCampaign bool
	LastIndex   uint64 // of the log
	LastTerm    uint64
	Campaigns   int // begun since a leader was last known
}

// Election returns the state of this member's search for a leader.
func (c *Core) Election() Election {
	votes := c.votes
	if c.role == PreCandidate {
		votes = c.preVotes
	}
	return Election{
		Role: c.role, Votes: maps.Clone(votes), MayCampaign: c.mayCampaign(),
		LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), Campaigns: c.campaigns,
	}
}
