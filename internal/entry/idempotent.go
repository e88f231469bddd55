package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/balance"
)

const (
	maxTries           = 3           // sends of one request
	minTryTimeout      = time.Second // of a try, if the deadline allows it
	tryTimeoutFactor   = 10          // a try without a response is cancelled after this multiple of the mean service time
	minRetriableStatus = 502         // 502 to 504 say that the endpoint is unavailable
)

// serveIdempotent sends the request to one endpoint after another until one
// responds, within the deadline, the retry budget and maxTries.
func (s *Server) serveIdempotent(c *call) *problem {
	b, refusal := s.readIdempotentBody(c)
	if refusal != nil {
		return refusal
	}
	defer s.bodyMemory.unreserve(int64(len(b.data)))
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	w := c.waiter()
	w.avoid = make(map[string]bool)
	if refusal := s.admitSuspect(c, w, b); refusal != nil {
		return refusal
	}
	defer c.endProbe()
	c.service.retryBudget.Deposit()

	sent := c.crashes.suspect // an earlier send of the same request may have run
	for try := 1; ; try++ {
		slot, refusal := c.service.acquire(ctx, w)
		if refusal != nil {
			return refusalAfterSend(refusal, sent)
		}
		if !s.awaitLease(ctx) {
			c.service.release(w, slot, 0, balance.Result{Inconclusive: true})
			return refusalAfterSend(s.leaseExpiredProblem(), sent)
		}
		if refusal := s.recheckSuspect(c, b); refusal != nil {
			c.service.release(w, slot, 0, balance.Result{Inconclusive: true})
			return refusal
		}
		last := try == maxTries || !b.buffered
		result := s.tryOnce(ctx, c, w, slot, b, last)
		if result.answered {
			return nil
		}
		sent = sent || result.sent
		if !s.mayRetry(ctx, c, b, try) {
			return allTriesFailed(c, sent, result.err)
		}
		w.avoid[slot.ID] = true
		w.avoidDomain = result.domain
		if c.crashes.suspect {
			w.markSuspect(c.identity, time.Now())
		}
	}
}

// readIdempotentBody buffers a small body, so that it can be resent, and streams
// one that is large or of unknown length.
func (s *Server) readIdempotentBody(c *call) (*body, *problem) {
	length := c.r.ContentLength
	if length < 0 || length > s.limits.MaxBufferedBodyBytes || !s.bodyMemory.reserve(length) {
		return newStreamedBody(c.r, s.limits.MaxBodyBytes), nil
	}
	b, err := readBuffered(c.r, s.limits.MaxBufferedBodyBytes)
	if err != nil {
		s.bodyMemory.unreserve(length)
		return nil, bodyReadProblem(err)
	}
	return b, nil
}

// bodyReadProblem returns the problem for an error of readBuffered.
func bodyReadProblem(err error) *problem {
	if errors.Is(err, errBodyTooLarge) {
		return notRun(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body is too large")
	}
	return notRun(http.StatusBadRequest, codeBodyUnreadable, "the body could not be read whole")
}

// tryResult is the result of one try of an idempotent request.
type tryResult struct {
	answered bool   // the response was sent to the caller
	sent     bool   // the endpoint may have received the request
	domain   string // failure domain of the endpoint
	err      error  // why there was no response
}

// tryOnce sends the request to the slot's endpoint, forwards the response and
// releases the slot. Unless this is the last try, a response that says that the
// endpoint is unavailable counts as a failure. It panics with
// http.ErrAbortHandler if the response to the caller is incomplete.
func (s *Server) tryOnce(ctx context.Context, c *call, w *waiter, slot *balance.Slot, b *body, last bool) tryResult {
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(s.tryTimeout(c, last), cancel)
	defer timer.Stop()
	x, err := s.exchange(tryCtx, c, slot, b)
	defer x.close()
	if !timer.Stop() && err == nil {
		err = errors.Newf("endpoint %q answered as its time ran out", slot.ID)
	}
	result := tryResult{domain: slot.FailureDomain, err: err}
	if err != nil {
		result.sent = !x.nothingSent()
		s.recordFailedTry(x, err)
		s.recordIfBroken(x, b) // before another request like it gets the slot
		c.service.release(w, slot, time.Since(x.start), s.failureResult(ctx, c, x, err))
		return result
	}
	unavailable := x.response.StatusCode >= minRetriableStatus && x.response.StatusCode <= http.StatusGatewayTimeout
	if unavailable && !last {
		result.sent = true
		result.err = errors.Newf("endpoint %q answered with status %d", slot.ID, x.response.StatusCode)
		c.service.release(w, slot, time.Since(x.start), balance.Result{Failed: true})
		return result
	}
	result.answered = true
	if !unavailable {
		s.forgetBreaks(c, b)
	}
	err = s.deliverResponse(x)
	c.service.release(w, slot, time.Since(x.start), balance.Result{
		Latency: time.Since(x.start),
		Failed:  unavailable || err != nil && !errors.Is(err, errCallerWrite),
	})
	s.countDelivery(err)
	abortIfIncomplete(err)
	return result
}

// abortIfIncomplete closes the caller's connection after an error of
// deliverResponse, so that the caller can't take an incomplete response for a
// complete one.
func abortIfIncomplete(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// tryTimeout returns the time within which exchange must return. A try that is not
// the last one leaves time for another, since its connection may be dead.
func (s *Server) tryTimeout(c *call, last bool) time.Duration {
	if last {
		return c.timeLeft()
	}
	limit := c.timeLeft() / 2
	if mean := c.service.meanServiceTime(); mean > 0 {
		limit = min(limit, max(minTryTimeout, tryTimeoutFactor*mean))
	}
	return limit
}

// failureResult returns the result with which the slot of a failed send is
// released. It doesn't count against the endpoint if the endpoint was not
// contacted, the caller left, or the deadline left less than minTryTimeout.
func (s *Server) failureResult(ctx context.Context, c *call, x *exchange, err error) balance.Result {
	callerGone := c.r.Context().Err() != nil
	notContacted := errors.Is(err, errEndpointChanged) || errors.Is(err, errConnectionLimit)
	deadlineTooShort := ctx.Err() != nil && time.Since(x.start) < minTryTimeout
	if notContacted || callerGone || deadlineTooShort {
		return balance.Result{Inconclusive: true}
	}
	return balance.Result{Failed: true}
}

// recordFailedTry counts a failed try and closes the endpoint's idle connections,
// which may be dead like this one.
func (s *Server) recordFailedTry(x *exchange, err error) {
	s.metrics.failedTries.Inc(1)
	if x.upstream != nil && !errors.Is(err, errConnectionLimit) {
		x.upstream.closeIdle()
	}
}

// mayRetry reports whether the request may be sent again, and takes the retry
// from the budget if so.
func (s *Server) mayRetry(ctx context.Context, c *call, b *body, try int) bool {
	if try >= maxTries || c.stopped() || !b.canResend() || ctx.Err() != nil {
		return false
	}
	if !c.service.retryBudget.Withdraw() {
		return false
	}
	s.metrics.retries.Inc(1)
	return true
}

// refusalAfterSend returns the refusal, with the outcome unknown if an earlier
// try was sent.
func refusalAfterSend(refusal *problem, sent bool) *problem {
	if !sent {
		return refusal
	}
	return unknownOutcome(http.StatusBadGateway, codeNoAnswer, "an endpoint received the request and did not answer; then: %s", refusal.message)
}

// allTriesFailed returns the problem for a request to which no endpoint
// responded. err is that of the last try.
func allTriesFailed(c *call, sent bool, err error) *problem {
	if c.r.Context().Err() != nil {
		return unknownOutcome(statusClientClosedRequest, codeCallerGone, "the caller closed its connection")
	}
	if errors.Is(err, errBodyTooLarge) {
		return unknownOutcome(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body is too large")
	}
	if !sent {
		return notRun(http.StatusBadGateway, codeEndpointUnreachable, "no endpoint of service %q could be reached", c.service.name).
			withRetry(time.Second)
	}
	if c.stopped() {
		return endpointCrashesProblem(c)
	}
	if time.Now().After(c.deadline) {
		return unknownOutcome(http.StatusGatewayTimeout, codeNoAnswer, "no endpoint of service %q answered before the deadline", c.service.name)
	}
	return unknownOutcome(http.StatusBadGateway, codeNoAnswer, "no endpoint of service %q gave a whole answer", c.service.name)
}
