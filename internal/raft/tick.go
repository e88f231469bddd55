package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Tick advances the timers by one interval.
func (c *Core) Tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionTicks++
	if c.electionTicks >= c.electionLimit {
		c.electionTicks = 0
		c.preCampaign()
	}
}

func (c *Core) tickLeader() {
	c.tickProgress()
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.term, 0)
		return
	}
	c.tickTransfer()
	c.heartbeatTicks++
	if c.heartbeatTicks >= c.options.HeartbeatTicks {
		c.heartbeatTicks = 0
		c.broadcastHeartbeat()
	}
}

func (c *Core) tickProgress() {
	for id, p := range c.progress {
		if id == c.id {
			continue
		}
		p.idleTicks++
		if p.state != snapshotting {
			continue
		}
		p.snapshotTicks++
		if p.snapshotTicks >= c.options.SnapshotTimeoutTicks {
			p.become(probing)
		}
	}
}

// hasActiveQuorum reports whether a majority of the voters answered within the
// election timeout. A leader without one steps down: it may be cut off.
func (c *Core) hasActiveQuorum() bool {
	membership := c.Membership()
	return c.activeVoters(membership) >= quorum(membership)
}

// activeVoters counts the voters that answered within the election timeout.
func (c *Core) activeVoters(membership *apiv1.Membership) int {
	active := 0
	for _, voter := range membership.GetVoters() {
		if c.progress[voter.GetIncarnation()].idleTicks < c.options.ElectionTicks {
			active++
		}
	}
	return active
}
