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
	firstLookupPause   = 20 * time.Millisecond
	longestLookupPause = 500 * time.Millisecond
	verifyTimeout      = time.Second // of the lookup that verifies a refusal
	maxVerifying       = 64          // such lookups at once
)

// awaitOutcome answers a resend whose take was refused: with the kept answer once the first request is
// settled, or that it is unknown or in progress.
func (s *Server) awaitOutcome(c *call, k *claim) *problem {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	for pause := firstLookupPause; ; pause = min(2*pause, longestLookupPause) {
		found, err := s.claims.Lookup(ctx, &apiv1.LookupRequest{Key: k.key})
		if err == nil && found.GetFound() && isFree(found.GetState()) {
			return s.abandon(c, k, notRun(http.StatusServiceUnavailable, codeNotRun,
				"the earlier request with this key was not run").withRetry(time.Second))
		}
		if err == nil {
			if answered, refusal := s.answerFound(c, k, found); answered || refusal != nil {
				return refusal
			}
		}
		select {
		case <-ctx.Done():
			return inProgress()
		case <-time.After(pause):
		}
	}
}

func inProgress() *problem {
	return unknown(http.StatusConflict, codeInProgress, "an earlier request with the same %s is in flight", headerKey).
		withRetry(time.Second)
}

// answerKnownKey answers the request if its key is settled, and waits while an
// earlier request with it is in flight. It neither answers nor refuses if the
// key is free: the request can run.
func (s *Server) answerKnownKey(c *call, k *claim) (answered bool, refusal *problem) {
	ctx, cancel := context.WithTimeout(c.r.Context(), min(c.left(), verifyTimeout))
	defer cancel()
	found, err := s.claims.Lookup(ctx, &apiv1.LookupRequest{Key: k.key})
	if err != nil || !found.GetFound() || isFree(found.GetState()) {
		return false, nil
	}
	if answered, refusal := s.answerFound(c, k, found); answered || refusal != nil {
		return answered, refusal
	}
	refusal = s.awaitOutcome(c, k)
	return refusal == nil, refusal
}

func isFree(state *apiv1.ClaimState) bool {
	return state.GetSettled() && state.GetOutcome() == apiv1.Outcome_OUTCOME_NOT_RUN
}

// answerFound answers from a key's state, or neither answers nor refuses if
// the first request is still in flight.
func (s *Server) answerFound(c *call, k *claim, found *apiv1.LookupResponse) (answered bool, refusal *problem) {
	state := found.GetState()
	switch {
	case !found.GetFound():
		return false, unknown(http.StatusConflict, codeKeyExpired, "the %s is no longer kept", headerKey)
	case !bytes.Equal(state.GetRequestDigest(), k.digest):
		return false, keyReused()
	case state.GetSettled() && state.GetOutcome() == apiv1.Outcome_OUTCOME_DONE:
		return s.replay(c, state.GetAnswer())
	case state.GetSettled() || found.GetHolderGone():
		return false, unknown(http.StatusConflict, codeHolderGone, "the request was sent before and its outcome is unknown")
	default:
		return false, nil
	}
}

// replay sends a kept answer.
func (s *Server) replay(c *call, answer *apiv1.KeptAnswer) (answered bool, refusal *problem) {
	if answer == nil || answer.GetTruncated() {
		p := notRun(http.StatusConflict, codeAnswerGone, "the request was done before, with status %d; its answer was not kept", answer.GetStatus())
		p.outcome = apiv1.Outcome_OUTCOME_DONE
		return false, p
	}
	header := c.w.Header()
	for _, field := range answer.GetHeader() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.GetBody())))
	header.Set(headerOutcome, outcomeText(apiv1.Outcome_OUTCOME_DONE))
	header.Set(headerRequest, c.id)
	c.w.WriteHeader(int(answer.GetStatus()))
	_, _ = c.w.Write(answer.GetBody())
	s.metrics.replays.Inc(1)
	return true, nil
}

// unverified corrects a refusal of a request with a caller's key. The request
// itself was not sent, but an earlier one with the key may have been, so that
// "not run" is said only if control knows nothing of the key.
func (s *Server) unverified(c *call, refusal *problem) *problem {
	if c.key == "" || refusal.outcome != apiv1.Outcome_OUTCOME_NOT_RUN || s.isIdempotent(c) {
		return refusal
	}
	if s.keyIsFree(c.key) {
		return refusal
	}
	corrected := *refusal
	corrected.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	return &corrected
}

// isIdempotent reports whether the request's route, as last known, is
// idempotent: its keys are never claimed.
func (s *Server) isIdempotent(c *call) bool {
	found, ok := s.view.Load().routes.find(c.r.URL.Path)
	return ok && !found.GetNonIdempotent()
}

// keyIsFree reports whether control knows for certain that no request with the
// key was sent. It asks for a bounded number of keys at once.
func (s *Server) keyIsFree(key string) bool {
	select {
	case s.verifying <- struct{}{}:
		defer func() { <-s.verifying }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(s.background, verifyTimeout)
	defer cancel()
	found, err := s.claims.Lookup(ctx, &apiv1.LookupRequest{Key: key})
	return err == nil && (!found.GetFound() || isFree(found.GetState()))
}
