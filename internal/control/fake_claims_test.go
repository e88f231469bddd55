package control_test

import (
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// fakeClaims is a claim table in which the first session to claim a key wins it.
type fakeClaims struct {
	mu     sync.Mutex
	claims map[string]*apiv1.ClaimState
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{claims: make(map[string]*apiv1.ClaimState)}
}

func (f *fakeClaims) Apply(now int64, batch *apiv1.ClaimBatch) *apiv1.ClaimBatchResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := &apiv1.ClaimBatchResult{}
	for _, change := range batch.GetChanges() {
		claim, taken := f.claims[change.GetKey()]
		if !taken {
			claim = &apiv1.ClaimState{Key: change.GetKey(), Entry: change.GetTake().GetEntry(), TakenUnixMs: now}
			f.claims[change.GetKey()] = claim
		}
		result.Results = append(result.Results, &apiv1.ClaimResult{Won: !taken, State: claim})
	}
	return result
}

func (f *fakeClaims) Lookup(key string) (*apiv1.ClaimState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	claim, ok := f.claims[key]
	return claim, ok
}

func (f *fakeClaims) Snapshot() ([]byte, error) { return nil, nil }

func (f *fakeClaims) Restore([]byte) error { return nil }
