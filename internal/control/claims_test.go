package control_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func takeClaim(key, session string) *apiv1.ClaimChange {
	return &apiv1.ClaimChange{
		Key:    key,
		Change: &apiv1.ClaimChange_Take{Take: &apiv1.ClaimTake{Entry: session}},
	}
}

func TestConcurrentClaimsGetTheirOwnResults(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	const callers, keys = 32, 10
	var calls sync.WaitGroup
	var won, wrong atomic.Int64
	for caller := range callers {
		calls.Go(func() {
			batch := &apiv1.ClaimBatch{}
			for key := range keys {
				batch.Changes = append(batch.Changes, takeClaim(fmt.Sprintf("key-%d", key), fmt.Sprintf("s%d", caller)))
			}
			result, err := r.claims().Change(t.Context(), batch)
			if err != nil || len(result.GetResults()) != keys {
				wrong.Add(1)
				return
			}
			for i, each := range result.GetResults() {
				if each.GetState().GetKey() != fmt.Sprintf("key-%d", i) {
					wrong.Add(1)
				}
				if each.GetWon() {
					won.Add(1)
				}
			}
		})
	}
	calls.Wait()
	is.Equal(wrong.Load(), int64(0))
	is.Equal(won.Load(), int64(keys))
	is.True(len(r.log.claimBatches()) <= callers)
}

func TestHolderIsGoneOnlyOnceItsLeaseExpired(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	r.becomeLeader()
	_, err := r.claims().Change(t.Context(), &apiv1.ClaimBatch{Changes: []*apiv1.ClaimChange{takeClaim("k", "s")}})
	is.NoErr(err)
	holderGone := func() bool {
		answer, err := r.claims().Lookup(t.Context(), &apiv1.LookupRequest{Key: "k"})
		is.NoErr(err)
		is.True(answer.GetFound())
		return answer.GetHolderGone()
	}
	is.True(!holderGone()) // an earlier leader may have granted it a lease
	r.expireEarlierLeases()
	r.renew("s", 0)
	is.True(!holderGone())
	r.clock.Advance(entryLease)
	is.True(!holderGone())
	r.clock.Advance(leaseExpiryWait - entryLease)
	is.True(holderGone())
}
