package control

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Limits of one call of Change.
const (
	maxClaimChanges   = 4096
	maxClaimCallBytes = 3 << 20 // below the size limit of a command in the log
)

// claimsService serves the claims by which entries run non-idempotent requests at
// most once.
type claimsService struct {
	*Server
}

var _ apiv1.Claims = claimsService{}

// Change commits claim changes and returns their results in the same order.
func (s claimsService) Change(ctx context.Context, batch *apiv1.ClaimBatch) (*apiv1.ClaimBatchResult, error) {
	l, err := s.currentLeadership()
	if err != nil {
		return nil, err
	}
	if len(batch.GetChanges()) > maxClaimChanges || proto.Size(batch) > maxClaimCallBytes {
		return nil, twirp.InvalidArgumentError("changes", "too many in one call")
	}
	if len(batch.GetChanges()) == 0 {
		return &apiv1.ClaimBatchResult{}, nil
	}
	results, err := l.claims.commit(ctx, batch.GetChanges())
	if err != nil {
		return nil, s.rpcError(ctx, err)
	}
	return &apiv1.ClaimBatchResult{Results: results}, nil
}

// Lookup returns the state of a key's claim, and whether the lease of the entry
// that holds it has expired.
func (s claimsService) Lookup(ctx context.Context, request *apiv1.LookupRequest) (*apiv1.LookupResponse, error) {
	l, err := s.confirmedLeadership(ctx)
	if err != nil {
		return nil, err
	}
	table := s.Store.Claims()
	if table == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process keeps no claims")
	}
	claim, found := table.Lookup(request.GetKey())
	if !found {
		return &apiv1.LookupResponse{}, nil
	}
	return &apiv1.LookupResponse{
		Found:      true,
		State:      claim,
		HolderGone: !claim.GetSettled() && l.entryLeaseExpired(claim.GetEntry()),
	}, nil
}
