package raft

// Members write votes and entries to disk before they respond, and do nothing else meanwhile. If that
// takes as long as the timeouts, candidates begin the next term before the voters have stored their votes for
// the last one, and leaders are deposed while they write: no leadership lasts for as long as the disks
// are slow. So the timeouts follow the time that syncs take here, and the number of failed campaigns, which
// shows how slow the others are.

const (
	// syncsPerElectionTimeout is how many syncs fit in the shortest election timeout: the leader may be silent for
	// one, and the follower has to notice the end of it.
	syncsPerElectionTimeout = 3
	// maxElectionStretch limits the timeouts, as a multiple of Options.ElectionTicks.
	maxElectionStretch = 16
	maxDoublings       = 5 // from the shortest wait for votes to that limit
	// promptCampaigns is how many campaigns follow each other without a longer wait: split votes are more frequent
	// than slow voters.
	promptCampaigns = 2
)

// SetSyncTicks tells the core how many ticks a sync takes on this member at present.
func (c *Core) SetSyncTicks(n int) {
	before := c.shortestElectionTicks()
	c.syncTicks = n
	if c.role == Follower && c.shortestElectionTicks() != before {
		c.drawElectionTimeout(c.shortestElectionTicks())
	}
}

// shortestElectionTicks returns the shortest election timeout.
func (c *Core) shortestElectionTicks() int {
	shortest := c.options.ElectionTicks
	return min(max(shortest, syncsPerElectionTimeout*c.syncTicks), maxElectionStretch*shortest)
}

// stretch doubles a number of ticks for each failed campaign beyond promptCampaigns, up to the limit.
func (c *Core) stretch(ticks int) int {
	doublings := min(max(c.campaigns-promptCampaigns, 0), maxDoublings)
	return min(ticks<<doublings, maxElectionStretch*c.options.ElectionTicks)
}
