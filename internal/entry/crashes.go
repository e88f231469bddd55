package entry

import (
	"encoding/hex"
	"net/http"
	"time"
)

// maxBreaks is how many endpoints may close their connections while one request is
// under way. At the first, any of the requests in flight there may have crashed the
// endpoint; this one was kept apart from them at the second.
const maxBreaks = 2

// loggedDigestBytes is how much of a request's digest is logged.
const loggedDigestBytes = 8

// identify returns the digest by which the request is recognized when it is sent
// again.
func (c *call) identify(b *body) string {
	if c.identity == "" {
		c.identity = string(digest(c.r, b.data))
	}
	return c.identity
}

// admitSuspect refuses a request if endpoints closed their connections while it was
// under way before, and marks the waiter if it may be sent in spite of that.
func (s *Server) admitSuspect(c *call, w *waiter, b *body) *problem {
	if !b.buffered || c.service.crashes.empty() {
		return nil
	}
	now := time.Now()
	c.crashes = c.service.crashes.admit(c.identify(b), now)
	if c.crashes.refusedFor > 0 {
		return s.refuseSuspect(c)
	}
	if c.crashes.suspect {
		w.markSuspect(c.identity, now)
	}
	return nil
}

// recheckSuspect refuses a request if others like it have broken connections while it
// waited for a slot.
func (s *Server) recheckSuspect(c *call, b *body) *problem {
	if !b.buffered || c.service.crashes.empty() {
		return nil
	}
	c.crashes.breaks, c.crashes.refusedFor = c.service.crashes.refusal(c.identify(b), time.Now())
	if c.crashes.refusedFor == 0 {
		return nil
	}
	return s.refuseSuspect(c)
}

// endProbe ends the probe if the call was one.
func (c *call) endProbe() {
	if c.crashes.probe {
		c.service.crashes.endProbe(c.identity, time.Now())
	}
}

// recordIfBroken records that the endpoint closed its connection while the request
// was under way, if it did. From then on the request is a suspect.
func (s *Server) recordIfBroken(x *exchange, b *body) {
	if !x.brokenByEndpoint() {
		return
	}
	c, now := x.call, time.Now()
	c.breaks++
	s.metrics.brokenTries.Inc(1)
	c.crashes.suspect = true
	if identity := c.identify(b); b.buffered {
		c.crashes.breaks, c.crashes.refusedFor = c.service.crashes.recordBreak(identity, x.start, now)
	}
	if !c.stopped() {
		return
	}
	s.metrics.suspectsStopped.Inc(1)
	s.logger.Warn("request is not sent again: endpoints closed their connections while it was under way",
		"service", c.service.name, "route", c.route.GetPathPrefix(), "request", c.id, "digest", loggedDigest(c),
		"endpoint", x.slot.ID, "breaks", c.crashes.breaks, "refused_for", c.crashes.refusedFor)
}

// stopped reports whether the request must not be sent again: after maxBreaks
// breaks of its own, or while requests like it are refused.
func (c *call) stopped() bool {
	return c.breaks >= maxBreaks || c.breaks > 0 && c.crashes.refusedFor > 0
}

// forgetBreaks forgets the breaks under a request that an endpoint answered.
func (s *Server) forgetBreaks(c *call, b *body) {
	if !b.buffered || c.service.crashes.empty() {
		return
	}
	if breaks := c.service.crashes.forget(c.identify(b), time.Now()); breaks >= maxBreaks {
		s.logger.Info("request was answered: it is no longer refused",
			"service", c.service.name, "route", c.route.GetPathPrefix(), "request", c.id, "digest", loggedDigest(c), "breaks", breaks)
	}
}

func loggedDigest(c *call) string {
	return hex.EncodeToString([]byte(c.identity[:loggedDigestBytes]))
}

// endpointCrashesProblem returns the problem for a request that may crash the
// endpoints that get it. It may have run on each of them.
func endpointCrashesProblem(c *call) *problem {
	return unknownOutcome(http.StatusBadGateway, codeEndpointCrashes,
		"endpoints of service %q closed their connections while the request was under way", c.service.name).
		withRetry(max(minRefusal, c.crashes.refusedFor))
}

// refuseSuspect returns the problem for a request that is refused because of breaks
// under earlier sends. It is not sent now, but may have run then.
func (s *Server) refuseSuspect(c *call) *problem {
	s.metrics.suspectsRefused.Inc(1)
	return unknownOutcome(http.StatusServiceUnavailable, codeEndpointCrashes,
		"refused for now: endpoints of service %q closed their connections %d times while the same request was under way",
		c.service.name, c.crashes.breaks).
		withRetry(c.crashes.refusedFor)
}
