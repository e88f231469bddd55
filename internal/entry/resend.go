package entry

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	minLookupInterval    = 20 * time.Millisecond
	maxLookupInterval    = 500 * time.Millisecond
	keyLookupTimeout     = time.Second // of a lookup before the claim is taken or "not run" is reported
	maxConcurrentLookups = 64          // of confirmKeyFree
)

// awaitOutcome responds to a resend whose key is taken by another attempt. It
// polls the claim until that attempt is settled and replays its response, or
// returns a problem: not run, outcome unknown, or in progress at the deadline. It
// returns nil if the response was written.
func (s *Server) awaitOutcome(c *call, k *claim) *problem {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	for backoff := minLookupInterval; ; backoff = min(2*backoff, maxLookupInterval) {
		found, err := s.claims.Lookup(ctx, &apiv1.LookupRequest{Key: k.key})
		if err == nil && found.GetFound() && isKeyFree(found.GetState()) {
			return s.abortAndRefuse(c, k, notRun(http.StatusServiceUnavailable, codeNotRun,
				"the earlier request with this key was not run").withRetry(time.Second))
		}
		if err == nil {
			if answered, refusal := s.respondFromClaim(c, k, found); answered || refusal != nil {
				return refusal
			}
		}
		select {
		case <-ctx.Done():
			return inProgressProblem()
		case <-time.After(backoff):
		}
	}
}

func inProgressProblem() *problem {
	return unknownOutcome(http.StatusConflict, codeInProgress, "an earlier request with the same %s is in flight", headerIdempotencyKey).
		withRetry(time.Second)
}

// respondIfKeyTaken responds to the request if its key is settled, and waits
// while an earlier request with the key is in flight. It neither answers nor
// refuses if the key is free or the lookup fails: the request can take its claim.
func (s *Server) respondIfKeyTaken(c *call, k *claim) (answered bool, refusal *problem) {
	ctx, cancel := context.WithTimeout(c.r.Context(), min(c.timeLeft(), keyLookupTimeout))
	defer cancel()
	found, err := s.claims.Lookup(ctx, &apiv1.LookupRequest{Key: k.key})
	if err != nil || !found.GetFound() || isKeyFree(found.GetState()) {
		return false, nil
	}
	if answered, refusal := s.respondFromClaim(c, k, found); answered || refusal != nil {
		return answered, refusal
	}
	refusal = s.awaitOutcome(c, k)
	return refusal == nil, refusal
}

// isKeyFree reports whether the claim's state allows another attempt to run:
// no attempt was sent.
func isKeyFree(state *apiv1.ClaimState) bool {
	return state.GetSettled() && state.GetOutcome() == apiv1.Outcome_OUTCOME_NOT_RUN
}

// respondFromClaim responds according to the claim's state. It neither answers
// nor refuses if the earlier request is still in flight.
func (s *Server) respondFromClaim(c *call, k *claim, found *apiv1.LookupResponse) (answered bool, refusal *problem) {
	state := found.GetState()
	switch {
	case !found.GetFound():
		return false, unknownOutcome(http.StatusConflict, codeKeyExpired, "the %s is no longer kept", headerIdempotencyKey)
	case !bytes.Equal(state.GetRequestDigest(), k.digest):
		return false, keyReusedProblem()
	case state.GetSettled() && state.GetOutcome() == apiv1.Outcome_OUTCOME_DONE:
		return s.replay(c, state.GetAnswer())
	case state.GetSettled() || found.GetHolderGone():
		return false, unknownOutcome(http.StatusConflict, codeOutcomeUnknown, "the request was sent before and its outcome is unknown")
	default:
		return false, nil
	}
}

// replay sends the stored response of an earlier request with the key. If its
// body was not kept, it returns a problem with the outcome "done".
func (s *Server) replay(c *call, answer *apiv1.KeptAnswer) (answered bool, refusal *problem) {
	if answer == nil || answer.GetTruncated() {
		p := notRun(http.StatusConflict, codeAnswerNotKept, "the request was done before, with status %d; its answer was not kept", answer.GetStatus())
		p.outcome = apiv1.Outcome_OUTCOME_DONE
		return false, p
	}
	header := c.w.Header()
	for _, field := range answer.GetHeader() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.GetBody())))
	header.Set(headerOutcome, outcomeName(apiv1.Outcome_OUTCOME_DONE))
	header.Set(headerRequestID, c.id)
	c.w.WriteHeader(int(answer.GetStatus()))
	_, _ = c.w.Write(answer.GetBody())
	s.metrics.replays.Inc(1)
	return true, nil
}

// verifyNotRun verifies the outcome "not run" of a refusal if the request has a
// caller's key. The request itself was not sent, but an earlier one with the key
// may have been, so the outcome is unknown unless control confirms that the key
// is free.
func (s *Server) verifyNotRun(c *call, refusal *problem) *problem {
	if c.key == "" || refusal.outcome != apiv1.Outcome_OUTCOME_NOT_RUN || s.isIdempotent(c) {
		return refusal
	}
	if s.confirmKeyFree(c.key) {
		return refusal
	}
	corrected := *refusal
	corrected.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	return &corrected
}

// isIdempotent reports whether the request's route is idempotent in the current
// view. Keys on such routes are never claimed.
func (s *Server) isIdempotent(c *call) bool {
	found, ok := s.view.Load().routes.find(c.r.URL.Path)
	return ok && !found.GetNonIdempotent()
}

// confirmKeyFree reports whether control confirms that no request with the key
// was sent. It returns false at once if maxConcurrentLookups are in flight.
func (s *Server) confirmKeyFree(key string) bool {
	select {
	case s.lookupSemaphore <- struct{}{}:
		defer func() { <-s.lookupSemaphore }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(s.background, keyLookupTimeout)
	defer cancel()
	found, err := s.claims.Lookup(ctx, &apiv1.LookupRequest{Key: key})
	return err == nil && (!found.GetFound() || isKeyFree(found.GetState()))
}
