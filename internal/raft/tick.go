package raft

// Tick advances the timers by one tick.
func (c *Core) Tick() {
	c.responses.tick()
	c.campaignTicks++
	c.promiseTicks++
	c.silences.tick()
	c.silenceTicks++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionTicks++
	if c.role == Follower {
		c.scaleElectionTimeout(c.followerPatience())
	}
	if c.electionTicks >= c.electionTimeoutTicks {
		c.electionTicks = 0
		c.continueElection()
	}
	c.tickRetry()
}

// SkipTicks tells the core that n ticks were missed while the member was busy. They count
// towards the interval between heartbeats only: the messages of that time may not have
// been read yet, so they say nothing about the silence of others.
func (c *Core) SkipTicks(n int) {
	if c.role == Leader {
		c.heartbeatTicks += n
	}
}

func (c *Core) tickLeader() {
	c.tickProgress()
	c.measureQuorum()
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

// tickProgress advances the timers of the members' progress. A snapshot that is
// not acknowledged in time is given up, so that probing can send another.
func (c *Core) tickProgress() {
	for id, p := range c.progress {
		if id == c.id {
			continue
		}
		p.ticksSinceResponse++
		if p.state != snapshotting {
			continue
		}
		p.ticksSinceSnapshot++
		if p.ticksSinceSnapshot >= c.options.SnapshotTimeoutTicks {
			p.become(probing)
		}
	}
}

// hasActiveQuorum reports whether a majority of the voters responded within the
// time that it may take to. A leader without one steps down, as it may be
// partitioned from the others.
func (c *Core) hasActiveQuorum() bool {
	return c.electorate().hasMajority(func(id uint64) bool { return c.respondedWithin(id, c.responsePatience()) })
}

// isActive reports whether the member responded within the election timeout.
func (c *Core) isActive(id uint64) bool {
	return c.respondedWithin(id, c.stretch(c.shortestElectionTicks()))
}

// respondedWithin reports whether the member responded less than the given ticks ago.
func (c *Core) respondedWithin(id uint64, ticks int) bool {
	p := c.progress[id]
	return p != nil && p.ticksSinceResponse < ticks
}

// measureQuorum records how long a majority was silent, once it has responded.
func (c *Core) measureQuorum() {
	silence := c.electorate().majoritySilence(func(id uint64) int { return c.progress[id].ticksSinceResponse })
	if silence < c.quorumSilence {
		c.responses.record(c.quorumSilence)
	}
	c.quorumSilence = silence
}
