package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
)

// maxDials is how many endpoints are tried for a connection. Nothing of the
// request has been sent while there is none.
const maxDials = 3

// sendOnce sends the request to one endpoint. While no connection can be made
// it turns to another.
func (s *Server) sendOnce(ctx context.Context, c *call, k *claim, w *waiter, slot *balance.Slot, b *body) *problem {
	for dial := 1; ; dial++ {
		x, err := s.exchange(ctx, c, slot, b)
		if err == nil {
			return s.finish(c, k, w, slot, x)
		}
		nothingSent := x.nothingSent()
		x.close()
		s.failedTry(x, err)
		c.service.release(w, slot, time.Since(x.begin), s.verdict(ctx, c, x, err))
		if !nothingSent {
			return s.lost(c, k, err)
		}
		if slot = s.otherSlot(ctx, c, w, slot, b, dial); slot == nil {
			return s.abandon(c, k, notRun(http.StatusBadGateway, codeUnreachable,
				"no endpoint of service %q could be reached", c.service.name).withRetry(time.Second))
		}
	}
}

// otherSlot returns a slot of another endpoint, or nil.
func (s *Server) otherSlot(ctx context.Context, c *call, w *waiter, failed *balance.Slot, b *body, dial int) *balance.Slot {
	if dial >= maxDials || !b.repeatable() || !s.lease.Valid() {
		return nil
	}
	w.avoid[failed.ID] = true
	w.domain = failed.Domain
	slot, refusal := c.service.acquire(ctx, w)
	if refusal != nil {
		return nil
	}
	if s.mayNotSend(c) != nil {
		s.giveBack(c, w, slot)
		return nil
	}
	return slot
}

// lost answers for a request that may have run without a whole answer.
func (s *Server) lost(c *call, k *claim, err error) *problem {
	s.settle(k, apiv1.Outcome_OUTCOME_UNKNOWN, nil)
	if errors.Is(err, errBodyTooLarge) {
		return unknown(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body is too large")
	}
	if c.left() <= 0 {
		return unknown(http.StatusGatewayTimeout, codeNoAnswer, "the endpoint did not answer before the deadline")
	}
	return unknown(http.StatusBadGateway, codeNoAnswer, "the endpoint gave no whole answer")
}

// finish sends the answer to the caller and records it.
func (s *Server) finish(c *call, k *claim, w *waiter, slot *balance.Slot, x *exchange) *problem {
	defer x.close()
	kept := s.kept(x)
	if x.whole {
		s.settle(k, apiv1.Outcome_OUTCOME_DONE, kept)
	}
	err := s.deliver(x)
	ours := err != nil && !errors.Is(err, errCaller)
	c.service.release(w, slot, time.Since(x.begin), balance.Result{Latency: time.Since(x.begin), Failed: ours})
	if !x.whole {
		outcome := apiv1.Outcome_OUTCOME_DONE
		if ours {
			outcome = apiv1.Outcome_OUTCOME_UNKNOWN
		}
		s.settle(k, outcome, kept)
	}
	s.counted(err)
	breakOff(err)
	return nil
}

// kept returns the answer to keep for a resend, without its body if that is
// too large.
func (s *Server) kept(x *exchange) *apiv1.KeptAnswer {
	answer := &apiv1.KeptAnswer{Status: int32(x.response.StatusCode)}
	if !x.whole || len(x.head) > s.limits.MaxKeptAnswer {
		answer.Truncated = true
		return answer
	}
	header := make(http.Header)
	copyHeader(header, x.response.Header)
	for name, values := range header {
		for _, value := range values {
			answer.Header = append(answer.Header, &apiv1.HeaderField{Name: name, Value: value})
		}
	}
	answer.Body = x.head
	return answer
}
