package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// claim is a call's claim of its key.
type claim struct {
	key       string
	attempt   string
	generated bool // the entry made the key
	digest    []byte
}

var errNoClaimResult = errors.New("control answered without a result for the claim change")

// commitClaimChange commits one claim change and asks again until it is answered or ctx
// ends; all changes are idempotent. An error means that its fate is not known.
func (s *Server) commitClaimChange(ctx context.Context, change *apiv1.ClaimChange) (*apiv1.ClaimResult, error) {
	batch := &apiv1.ClaimBatch{Changes: []*apiv1.ClaimChange{change}}
	for {
		result, err := s.claims.Change(ctx, batch)
		if err == nil && len(result.GetResults()) == 1 {
			return result.GetResults()[0], nil
		}
		if err == nil {
			err = errNoClaimResult
		}
		if sleep(ctx, claimRetryInterval) != nil {
			return nil, errors.Wrapf(err, "change claim of key %q", change.GetKey())
		}
	}
}

// claimRetryInterval is the time between two tries of one claim change.
const claimRetryInterval = 50 * time.Millisecond

// takeClaim asks for the sole right to send the request.
func (s *Server) takeClaim(ctx context.Context, c *call, k *claim) (*apiv1.ClaimResult, error) {
	return s.commitClaimChange(ctx, &apiv1.ClaimChange{
		Key: k.key,
		Change: &apiv1.ClaimChange_Take{Take: &apiv1.ClaimTake{
			RequestDigest:  k.digest,
			Entry:          s.session,
			Service:        c.service.name,
			DeadlineUnixMs: c.deadline.UnixMilli(),
			Attempt:        k.attempt,
			GeneratedKey:   k.generated,
		}},
	})
}

// keyStatus is what is known of a key after an attempt's abort.
type keyStatus int

const (
	keyStatusUnknown keyStatus = iota // the abort may not be committed
	keyFree                           // no attempt holds the key
	keyTaken                          // another attempt holds the key, or has settled it
)

// abortClaim commits that the attempt was not and will never be sent.
func (s *Server) abortClaim(c *call, k *claim, reason string) keyStatus {
	ctx, cancel := context.WithTimeout(s.background, max(0, c.timeLeft())+s.limits.ClaimTimeout)
	defer cancel()
	s.metrics.aborts.Inc(1)
	result, err := s.commitClaimChange(ctx, &apiv1.ClaimChange{
		Key: k.key,
		Change: &apiv1.ClaimChange_Abort{Abort: &apiv1.ClaimAbort{
			Entry:   s.session,
			Reason:  reason,
			Attempt: k.attempt,
		}},
	})
	switch {
	case err != nil || !result.GetWon():
		return keyStatusUnknown
	case isKeyFree(result.GetState()):
		return keyFree
	default:
		return keyTaken
	}
}

// settleClaim records the outcome for callers that send again. It goes on after
// the caller was answered; Drain waits for it.
func (s *Server) settleClaim(k *claim, outcome apiv1.Outcome, answer *apiv1.KeptAnswer) {
	s.pendingSettles.Add(1)
	go func() {
		defer s.pendingSettles.Done()
		ctx, cancel := context.WithTimeout(s.background, settleTimeout)
		defer cancel()
		_, err := s.commitClaimChange(ctx, &apiv1.ClaimChange{
			Key: k.key,
			Change: &apiv1.ClaimChange_Settle{Settle: &apiv1.ClaimSettle{
				Entry:   s.session,
				Outcome: outcome,
				Answer:  answer,
				Attempt: k.attempt,
			}},
		})
		if err != nil {
			s.metrics.unsettled.Inc(1)
		}
	}()
}

// settleTimeout bounds how long an outcome is offered to control. A claim that
// is never settled stays in progress until this entry is gone, then unknown.
const settleTimeout = 10 * time.Second
