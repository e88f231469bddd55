package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance"
	"github.com/pistachioport/pistachioport/internal/state/claims"
)

// serveNonIdempotent claims the request's key, sends the request at most once,
// and records the outcome.
func (s *Server) serveNonIdempotent(c *call) *problem {
	b, k, refusal := s.readNonIdempotentBody(c)
	if refusal != nil {
		return refusal
	}
	defer s.bodyMemory.unreserve(int64(len(b.data)))
	w := c.waiter()
	w.avoid = make(map[string]bool)
	slot, answered, refusal := s.acquireForKey(c, k, w)
	if refusal != nil || answered {
		return refusal
	}
	return s.claimAndSend(c, k, w, slot, b)
}

// readNonIdempotentBody returns the body and the claim to take. If the caller
// gave a key, the body is buffered, since its digest is part of the claim.
func (s *Server) readNonIdempotentBody(c *call) (*body, *claim, *problem) {
	if c.key == "" {
		k := &claim{key: generatedKeyPrefix + c.id, attempt: c.id, generated: true}
		return newStreamedBody(c.r, s.limits.MaxBodyBytes), k, nil
	}
	size := s.limits.MaxBufferedBodyBytes
	if c.r.ContentLength >= 0 {
		size = c.r.ContentLength
	}
	if size > s.limits.MaxBufferedBodyBytes {
		return nil, nil, s.verifyNotRun(c, notRun(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			"a request with an %s may have at most %d bytes", headerIdempotencyKey, s.limits.MaxBufferedBodyBytes))
	}
	if !s.bodyMemory.reserve(size) {
		return nil, nil, s.verifyNotRun(c, notRun(http.StatusServiceUnavailable, codeMemoryExhausted, "too many request bodies are buffered"))
	}
	b, err := readBuffered(c.r, s.limits.MaxBufferedBodyBytes)
	if err != nil {
		s.bodyMemory.unreserve(size)
		return nil, nil, s.verifyNotRun(c, bodyReadProblem(err))
	}
	s.bodyMemory.unreserve(size - int64(len(b.data)))
	return b, &claim{key: c.key, attempt: c.id, digest: digest(c.r, b.data)}, nil
}

// generatedKeyPrefix marks keys that the entry generated for requests without
// one.
const generatedKeyPrefix = "entry/"

// digest returns a hash of the request by which reuse of its key for another
// request is detected: of method, URI, Content-Type and body.
func digest(r *http.Request, body []byte) []byte {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hash.Sum(nil)
}

// acquireForKey acquires a slot. If none is free, it looks up a caller's key
// before it waits, since a resend that can be answered needs no slot.
func (s *Server) acquireForKey(c *call, k *claim, w *waiter) (slot *balance.Slot, answered bool, refusal *problem) {
	if slot, ok := c.service.tryAcquire(w); ok {
		return slot, false, nil
	}
	if !k.generated {
		answered, refusal := s.respondIfKeyTaken(c, k)
		if answered || refusal != nil {
			return nil, answered, refusal
		}
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	slot, refusal = c.service.acquire(ctx, w)
	if refusal != nil {
		return nil, false, s.verifyNotRun(c, refusal)
	}
	return slot, false, nil
}

// claimAndSend commits the claim while holding the slot, then sends the request.
// If the slot was released because the claim took long, it acquires another one
// first.
func (s *Server) claimAndSend(c *call, k *claim, w *waiter, slot *balance.Slot, b *body) *problem {
	ctx, cancel := context.WithDeadline(s.background, c.deadline)
	defer cancel()
	slot, result, err := s.takeClaimWithSlot(ctx, c, k, w, slot)
	if err != nil {
		s.releaseUnused(c, w, slot)
		return s.abortAndRefuse(c, k, notRun(http.StatusServiceUnavailable, codeControlUnavailable, "the claim could not be committed before the deadline"))
	}
	if !result.GetWon() {
		s.releaseUnused(c, w, slot)
		return s.respondToRefusedTake(c, k, result)
	}
	if slot == nil {
		var refusal *problem
		if slot, refusal = c.service.acquire(ctx, w); refusal != nil {
			return s.abortAndRefuse(c, k, refusal)
		}
	}
	if reason := s.checkBeforeSend(c); reason != nil {
		s.releaseUnused(c, w, slot)
		return s.abortAndRefuse(c, k, reason)
	}
	return s.sendOnce(ctx, c, k, w, slot, b)
}

// maxSlotHoldDuringClaim is how long a request holds its slot while its claim is
// being committed. If control is slow or unavailable for longer, the slot is
// released to other requests.
const maxSlotHoldDuringClaim = 250 * time.Millisecond

// takeClaimWithSlot takes the claim. The returned slot is nil if it was released
// meanwhile.
func (s *Server) takeClaimWithSlot(ctx context.Context, c *call, k *claim, w *waiter, slot *balance.Slot) (*balance.Slot, *apiv1.ClaimResult, error) {
	hold := time.NewTimer(maxSlotHoldDuringClaim)
	defer hold.Stop()
	taken := make(chan struct{})
	var result *apiv1.ClaimResult
	var err error
	go func() {
		defer close(taken)
		result, err = s.takeClaimInTime(ctx, c, k)
	}()
	select {
	case <-taken:
	case <-hold.C:
		s.releaseUnused(c, w, slot)
		slot = nil
		<-taken
	}
	return slot, result, err
}

// releaseUnused releases a slot over which nothing was sent. The slot may be nil.
func (s *Server) releaseUnused(c *call, w *waiter, slot *balance.Slot) {
	if slot != nil {
		c.service.release(w, slot, 0, balance.Result{Inconclusive: true})
	}
}

// takeClaimInTime takes the claim within three quarters of the time left, which
// leaves the rest to abort it.
func (s *Server) takeClaimInTime(ctx context.Context, c *call, k *claim) (*apiv1.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeLeft()*3/4)
	defer cancel()
	return s.takeClaim(ctx, c, k)
}

// checkBeforeSend is the last check before the request is sent. It returns the
// reason for which it must not be sent, or nil.
func (s *Server) checkBeforeSend(c *call) *problem {
	switch {
	case !s.lease.Valid():
		return s.leaseExpiredProblem()
	case c.r.Context().Err() != nil:
		return notRun(statusClientClosedRequest, codeCallerGone, "the caller closed its connection")
	case c.timeLeft() <= 0:
		return notRun(http.StatusServiceUnavailable, codeDeadlinePassed, "the deadline passed before the request was sent")
	default:
		return nil
	}
}

// abortAndRefuse aborts the claim and returns the reason, which says that the
// request was not run. If another attempt holds the key, it responds as
// awaitOutcome does; if the abort may not be committed, the outcome is unknown.
func (s *Server) abortAndRefuse(c *call, k *claim, reason *problem) *problem {
	switch s.abortClaim(c, k, reason.code) {
	case keyFree:
		return reason
	case keyTaken:
		return s.awaitOutcome(c, k)
	default:
		return unknownOutcome(http.StatusServiceUnavailable, reason.code, "%s; this could not be recorded", reason.message)
	}
}

// respondToRefusedTake responds to a request whose claim was refused. A duplicate
// of the take may still arrive at control, so "not run" requires an abort here
// too. It returns nil if the response was written.
func (s *Server) respondToRefusedTake(c *call, k *claim, result *apiv1.ClaimResult) *problem {
	switch result.GetRefusal() {
	case claims.RefusalOtherBody:
		return s.abortAndRefuse(c, k, keyReusedProblem())
	case claims.RefusalSettled, claims.RefusalTaken:
		return s.awaitOutcome(c, k)
	case claims.RefusalFull, claims.RefusalAbortLimit:
		return s.abortAndRefuse(c, k, notRun(http.StatusServiceUnavailable, codeClaimsFull, "the claim was refused: %s", result.GetRefusal()))
	case claims.RefusalKeyFuture:
		return s.abortAndRefuse(c, k, notRun(http.StatusBadRequest, codeBadRequest, "the %s names a time in the future", headerIdempotencyKey))
	case claims.RefusalKeyExpired:
		return unknownOutcome(http.StatusConflict, codeKeyExpired, "the %s is older than keys are kept", headerIdempotencyKey)
	default:
		return unknownOutcome(http.StatusInternalServerError, codeControlUnavailable, "the claim was refused: %s", result.GetRefusal())
	}
}

func keyReusedProblem() *problem {
	return notRun(http.StatusUnprocessableEntity, codeKeyReused, "the %s was used with another request", headerIdempotencyKey)
}
