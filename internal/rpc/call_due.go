package rpc

import "time"

// waitBeforeNext returns how long to wait for a response of the address before another is
// asked as well. A suspect process has let other calls wait already.
func (c *call) waitBeforeNext(address string) time.Duration {
	timeout := c.client.attemptTimeout(c.request.Context())
	if c.client.directory.suspects(address) {
		return timeout / suspectWaitDivisor
	}
	return timeout
}

const suspectWaitDivisor = 4

// isDue reports whether the request may be sent to the address now.
func (c *call) isDue(address string) bool {
	state := c.states[address]
	switch {
	case state == nil:
		return !c.isHeldBack(address)
	case state.inFlight == 0:
		return time.Since(state.sentAt) >= c.client.options.RetryBackoff<<min(state.sent-1, maxBackoffDoublings)
	case time.Since(state.sentAt) < c.resendDelay(state):
		return false
	}
	return c.isOvertaken(address) || c.client.peers.isSilent(address, c.method(), c.client.attemptTimeout(c.request.Context()))
}

// isHeldBack reports whether the request is kept from a process that is suspect and has
// answered nothing for the suspectPeriod: it may be frozen while the others still name it
// as the leader, and a call that isn't sent there certainly has no effect. The attempts in
// flight show when it answers again.
func (c *call) isHeldBack(address string) bool {
	peers := c.client.peers
	return c.client.directory.suspects(address) && peers.isBusy(address) &&
		!peers.respondedSince(address, time.Now().Add(-suspectPeriod))
}

// resendDelay returns how long after the latest attempt in flight the request may be sent
// to the same address again.
func (c *call) resendDelay(state *addressState) time.Duration {
	return c.client.attemptTimeout(c.request.Context()) << min(state.sent, maxBackoffDoublings)
}

// isOvertaken reports whether the process has answered requests that were sent so much
// later than the attempt in flight that its connection must be dead.
func (c *call) isOvertaken(address string) bool {
	state := c.states[address]
	return c.client.peers.hasAnswered(address, c.method(), state.sentAt.Add(c.resendDelay(state)))
}
