package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/balance"
)

const (
	maxTries           = 3
	minTryTimeout      = time.Second // a try is not given up earlier, but for the deadline
	tryTimeoutFactor   = 10          // times the mean service time after which a silent try is given up
	minRetriableStatus = 502
)

// serveIdempotent sends the request until one endpoint answers, within the
// deadline and the retry budget.
func (s *Server) serveIdempotent(c *call) *problem {
	b, refusal := s.readIdempotentBody(c)
	if refusal != nil {
		return refusal
	}
	defer s.bodyMemory.unreserve(int64(len(b.data)))
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.service.retryBudget.Deposit()

	w := c.waiter()
	w.avoid = make(map[string]bool)
	sent := false
	for try := 1; ; try++ {
		slot, refusal := c.service.acquire(ctx, w)
		if refusal != nil {
			return refusalAfterSend(refusal, sent)
		}
		if !s.awaitLease(ctx) {
			c.service.release(w, slot, 0, balance.Result{Unused: true})
			return refusalAfterSend(s.leaseExpiredProblem(), sent)
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
		w.domain = result.domain
	}
}

// readIdempotentBody keeps a small body for retries and streams a large one.
func (s *Server) readIdempotentBody(c *call) (*body, *problem) {
	length := c.r.ContentLength
	if length < 0 || length > s.limits.MaxBufferedBody || !s.bodyMemory.reserve(length) {
		return newStreamedBody(c.r, s.limits.MaxBody), nil
	}
	b, err := readBuffered(c.r, s.limits.MaxBufferedBody)
	if err != nil {
		s.bodyMemory.unreserve(length)
		return nil, bodyReadProblem(err)
	}
	return b, nil
}

func bodyReadProblem(err error) *problem {
	if errors.Is(err, errBodyTooLarge) {
		return notRun(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body is too large")
	}
	return notRun(http.StatusBadRequest, codeBodyUnreadable, "the body could not be read whole")
}

// tryResult is what one try of an idempotent request came to.
type tryResult struct {
	answered bool // the caller has the answer, or its connection is broken
	sent     bool
	domain   string
	err      error
}

// tryOnce sends the request to the slot's endpoint. Unless it is the last try,
// an answer that says the endpoint is unavailable counts as none.
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
	result := tryResult{domain: slot.Domain, err: err}
	if err != nil {
		result.sent = !x.nothingSent()
		s.recordFailedTry(x, err)
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
	err = s.deliverResponse(x)
	c.service.release(w, slot, time.Since(x.start), balance.Result{
		Latency: time.Since(x.start),
		Failed:  unavailable || err != nil && !errors.Is(err, errCallerWrite),
	})
	s.countDelivery(err)
	abortIfIncomplete(err)
	return result
}

// abortIfIncomplete breaks the caller's connection if its answer is incomplete, so that
// it can't look complete.
func abortIfIncomplete(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// tryTimeout returns how long a try may take until the answer begins. One that is
// not the last leaves time for another, since the connection may be silent.
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

// failureResult says what a failed send tells about the endpoint: nothing if the
// caller left or gave it little time.
func (s *Server) failureResult(ctx context.Context, c *call, x *exchange, err error) balance.Result {
	callerGone := c.r.Context().Err() != nil
	ours := errors.Is(err, errEndpointChanged) || errors.Is(err, errConnectionLimit)
	impatient := ctx.Err() != nil && time.Since(x.start) < minTryTimeout
	if ours || callerGone || impatient {
		return balance.Result{Unused: true}
	}
	return balance.Result{Failed: true}
}

// recordFailedTry drops the endpoint's idle connections: they may have gone silent
// with this one.
func (s *Server) recordFailedTry(x *exchange, err error) {
	s.metrics.failedTries.Inc(1)
	if x.upstream != nil && !errors.Is(err, errConnectionLimit) {
		x.upstream.closeIdle()
	}
}

func (s *Server) mayRetry(ctx context.Context, c *call, b *body, try int) bool {
	if try >= maxTries || !b.canResend() || ctx.Err() != nil {
		return false
	}
	if !c.service.retryBudget.Withdraw() {
		return false
	}
	s.metrics.retries.Inc(1)
	return true
}

// refusalAfterSend corrects a refusal to what holds when an earlier try was sent.
func refusalAfterSend(refusal *problem, sent bool) *problem {
	if !sent {
		return refusal
	}
	return unknownOutcome(http.StatusBadGateway, codeNoAnswer, "an endpoint received the request and did not answer; then: %s", refusal.message)
}

// allTriesFailed is the answer when no try gave one.
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
	if time.Now().After(c.deadline) {
		return unknownOutcome(http.StatusGatewayTimeout, codeNoAnswer, "no endpoint of service %q answered before the deadline", c.service.name)
	}
	return unknownOutcome(http.StatusBadGateway, codeNoAnswer, "no endpoint of service %q gave a whole answer", c.service.name)
}
