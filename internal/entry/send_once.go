package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

// maxDials is how many endpoints are tried for a connection. No byte of the
// request is sent before there is one.
const maxDials = 3

// sendOnce sends the request to one endpoint, and tries another endpoint only
// while no byte was sent.
func (s *Server) sendOnce(ctx context.Context, c *call, k *claim, w *waiter, slot *balance.Slot, b *body) *problem {
	for dial := 1; ; dial++ {
		x, err := s.exchange(ctx, c, slot, b)
		if err == nil {
			return s.completeExchange(c, k, w, slot, x)
		}
		nothingSent := x.nothingSent()
		x.close()
		s.recordFailedTry(x, err)
		c.service.release(w, slot, time.Since(x.start), s.failureResult(ctx, c, x, err))
		if !nothingSent {
			return s.responseLost(c, k, err)
		}
		if slot = s.acquireOtherEndpoint(ctx, c, w, slot, b, dial); slot == nil {
			return s.abortAndRefuse(c, k, notRun(http.StatusBadGateway, codeEndpointUnreachable,
				"no endpoint of service %q could be reached", c.service.name).withRetry(time.Second))
		}
	}
}

// acquireOtherEndpoint acquires a slot, preferably of an endpoint that was not
// tried. It returns nil if there is none or the request must not be sent.
func (s *Server) acquireOtherEndpoint(ctx context.Context, c *call, w *waiter, failed *balance.Slot, b *body, dial int) *balance.Slot {
	if dial >= maxDials || !b.canResend() || !s.lease.Valid() {
		return nil
	}
	w.avoid[failed.ID] = true
	w.avoidDomain = failed.FailureDomain
	slot, refusal := c.service.acquire(ctx, w)
	if refusal != nil {
		return nil
	}
	if s.checkBeforeSend(c) != nil {
		s.releaseUnused(c, w, slot)
		return nil
	}
	return slot
}

// responseLost settles the claim as unknown and returns the problem for a request
// that may have run without a complete response.
func (s *Server) responseLost(c *call, k *claim, err error) *problem {
	s.settleClaim(k, apiv1.Outcome_OUTCOME_UNKNOWN, nil)
	if errors.Is(err, errBodyTooLarge) {
		return unknownOutcome(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body is too large")
	}
	if c.timeLeft() <= 0 {
		return unknownOutcome(http.StatusGatewayTimeout, codeNoAnswer, "the endpoint did not answer before the deadline")
	}
	return unknownOutcome(http.StatusBadGateway, codeNoAnswer, "the endpoint gave no whole answer")
}

// completeExchange forwards the response, releases the slot and settles the
// claim: before forwarding if the response is complete, else after it.
func (s *Server) completeExchange(c *call, k *claim, w *waiter, slot *balance.Slot, x *exchange) *problem {
	defer x.close()
	keptAnswer := s.keptAnswer(x)
	if x.bodyComplete {
		s.settleClaim(k, apiv1.Outcome_OUTCOME_DONE, keptAnswer)
	}
	err := s.deliverResponse(x)
	endpointFailed := err != nil && !errors.Is(err, errCallerWrite)
	c.service.release(w, slot, time.Since(x.start), balance.Result{Latency: time.Since(x.start), Failed: endpointFailed})
	if !x.bodyComplete {
		outcome := apiv1.Outcome_OUTCOME_DONE
		if endpointFailed {
			outcome = apiv1.Outcome_OUTCOME_UNKNOWN
		}
		s.settleClaim(k, outcome, keptAnswer)
	}
	s.countDelivery(err)
	abortIfIncomplete(err)
	return nil
}

// keptAnswer returns the response to store for replay, without header and body if
// the body is longer than MaxKeptAnswerBytes.
func (s *Server) keptAnswer(x *exchange) *apiv1.KeptAnswer {
	answer := &apiv1.KeptAnswer{Status: int32(x.response.StatusCode)}
	if !x.bodyComplete || len(x.bodyPrefix) > s.limits.MaxKeptAnswerBytes {
		answer.Truncated = true
		return answer
	}
	header := make(http.Header)
	copyEndToEndHeaders(header, x.response.Header)
	for name, values := range header {
		for _, value := range values {
			answer.Header = append(answer.Header, &apiv1.HeaderField{Name: name, Value: value})
		}
	}
	answer.Body = x.bodyPrefix
	return answer
}
