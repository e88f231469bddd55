package raft

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

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
	membership := c.Membership()
	return c.countVotersHeardWithin(membership, c.responsePatience()) >= quorum(membership)
}

// countActiveVoters returns how many voters of the membership responded within
// the election timeout.
func (c *Core) countActiveVoters(membership *apiv1.Membership) int {
	return c.countVotersHeardWithin(membership, c.stretch(c.shortestElectionTicks()))
}

// countVotersHeardWithin returns how many voters of the membership responded less
// than the given ticks ago.
func (c *Core) countVotersHeardWithin(membership *apiv1.Membership, ticks int) int {
	heard := 0
	for _, voter := range membership.GetVoters() {
		if c.progress[voter.GetIncarnation()].ticksSinceResponse < ticks {
			heard++
		}
	}
	return heard
}

// measureQuorum records how long a majority was silent, once it has responded.
func (c *Core) measureQuorum() {
	membership := c.Membership()
	silences := make([]int, 0, len(membership.GetVoters()))
	for _, voter := range membership.GetVoters() {
		silences = append(silences, c.progress[voter.GetIncarnation()].ticksSinceResponse)
	}
	slices.Sort(silences)
	silence := silences[quorum(membership)-1]
	if silence < c.quorumSilence {
		c.responses.record(c.quorumSilence)
	}
	c.quorumSilence = silence
}
