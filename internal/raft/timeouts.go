package raft

// Members write votes and entries to disk before they respond, and do nothing else meanwhile. If that
// takes as long as the timeouts, candidates begin the next term before the voters have stored their votes for
// the last one, and leaders are deposed while they write: no leadership lasts for as long as the disks
// are slow. The same holds for messages that take as long to arrive. So the timeouts follow the time that syncs and
// messages take here, and the number of failed campaigns, which shows how slow the others are.

const (
	// syncsPerElectionTimeout is how many syncs fit in the shortest election timeout: the leader may be silent for
	// one, and the follower has to notice the end of it.
	syncsPerElectionTimeout = 3
	// messagesPerElectionTimeout is how many messages, one after the other, fit in the shortest election timeout besides:
	// a vote and the leader's first message, and the same again as a margin.
	messagesPerElectionTimeout = 4
	// messagesPerCampaign fit in the wait for votes: the request, the response, and one as a margin.
	messagesPerCampaign = 3
	// responseMargin is how many times as long as lately the responses of a majority may take: a vote and a first append
	// need as long as that each, and the same again as a margin.
	responseMargin = 4
	// silenceMargin is how many times as long as lately a leader may be silent.
	silenceMargin = 2
	// maxElectionStretch limits the timeouts, as a multiple of Options.ElectionTicks.
	maxElectionStretch = 16
	maxDoublings       = 5 // from the shortest wait for votes to that limit
	// promptCampaigns is how many campaigns follow each other without a longer wait: split votes are more frequent
	// than slow voters.
	promptCampaigns = 2
)

// SetSyncTicks tells the core how many ticks a sync takes on this member at present.
func (c *Core) SetSyncTicks(n int) { c.syncTicks = n }

// SetMessageTicks tells the core how many ticks a message to the others takes at present.
func (c *Core) SetMessageTicks(n int) { c.messageTicks = n }

// shortestElectionTicks returns the shortest election timeout.
func (c *Core) shortestElectionTicks() int {
	shortest := c.options.ElectionTicks
	needed := syncsPerElectionTimeout*c.syncTicks + messagesPerElectionTimeout*c.messageTicks
	return min(max(shortest, needed), maxElectionStretch*shortest)
}

// followerPatience returns the shortest time that a follower waits for the leader, or for one to be elected. Messages of a
// leader follow each other at shorter intervals than each of them takes: once some have arrived, only their intervals count.
func (c *Core) followerPatience() int {
	shortest := c.shortestElectionTicks()
	if c.leader == 0 || c.silences.value() == 0 {
		return shortest
	}
	shown := max(c.options.ElectionTicks, syncsPerElectionTimeout*c.syncTicks, silenceMargin*c.silences.value())
	return min(shortest, shown)
}

// shortestCampaignTicks returns the shortest wait for votes, unless campaigns have failed.
func (c *Core) shortestCampaignTicks() int {
	return max(1, c.shortestElectionTicks()/campaignRetryDivisor, messagesPerCampaign*c.messageTicks)
}

// stretch doubles a number of ticks for each failed campaign beyond promptCampaigns, up to the limit.
func (c *Core) stretch(ticks int) int {
	doublings := min(max(c.campaigns-promptCampaigns, 0), maxDoublings)
	return min(ticks<<doublings, maxElectionStretch*c.options.ElectionTicks)
}

// responsePatience returns how long a leader waits for the responses of a majority. It follows how long they have taken
// lately, beginning with the votes: messages to the fastest members and back can take longer than those to them.
func (c *Core) responsePatience() int {
	shown := min(responseMargin*c.responses.value(), maxElectionStretch*c.options.ElectionTicks)
	return max(c.stretch(c.shortestElectionTicks()), shown)
}
