package rpc

import (
	"context"
	"net/http"
	"time"
)

type refusalCheckKey struct{}

// WithRefusals makes a call return a leader's refusal only if no other process may still carry the call out. isRefusal
// tells refusals from other responses by their body. If that stays unknown, the call fails, and may have had an effect.
//
// Around a change of leader a call may be on its way to two leaders: the refusal of one would not keep the other from
// accepting it.
func WithRefusals(ctx context.Context, isRefusal func(body []byte) bool) context.Context {
	return context.WithValue(ctx, refusalCheckKey{}, isRefusal)
}

// isRefusal reports whether the attempt was answered by a leader that refuses the call.
func (c *call) isRefusal(a *attempt) bool {
	check, ok := c.request.Context().Value(refusalCheckKey{}).(func([]byte) bool)
	return ok && a.result.response.StatusCode == http.StatusOK && check(a.result.body)
}

// awaitOthers waits until it is known whether the refusal of the call is final. It returns the response of a leader that
// has accepted the call, or the refusal, or reports that it stays unknown.
func (c *call) awaitOthers() (response *http.Response, known bool, err error) {
	ctx := c.request.Context()
	for ctx.Err() == nil {
		inFlight, uncertain := c.others(c.refusal)
		if uncertain {
			break
		}
		if !inFlight {
			return c.refusal.result.response, true, nil
		}
		if response, done, err := c.handleNext(ctx); done {
			return response, true, err
		}
	}
	return nil, false, nil
}

// others reports whether attempts at other processes than that of the refusal are in flight, and whether any has ended
// since the refused one was sent without telling that it had no effect.
func (c *call) others(refusal *attempt) (inFlight, uncertain bool) {
	for a := range c.inFlight {
		inFlight = inFlight || a.address != refusal.address
	}
	for address, state := range c.states {
		uncertain = uncertain || (address != refusal.address && state.uncertainAt.After(refusal.sentAt))
	}
	return inFlight, uncertain
}

// recordUncertain records that an attempt at the address has ended and may have had an effect.
func (s *addressState) recordUncertain() { s.uncertainAt = time.Now() }

// handleNext waits for the end of an attempt or of the context, and handles it.
func (c *call) handleNext(ctx context.Context) (response *http.Response, done bool, err error) {
	select {
	case a := <-c.results:
		return c.handle(a)
	case <-ctx.Done():
		return nil, false, nil
	}
}
