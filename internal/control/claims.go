package control

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Bounds of one call.
const (
	maxClaimChanges   = 4096
	maxClaimCallBytes = 3 << 20 // less than the log takes in one command
)

// claimsService serves the claims of non-idempotent requests.
type claimsService struct {
	*Server
}

var _ apiv1.Claims = claimsService{}

// Change commits claim changes and answers each in order.
func (s claimsService) Change(ctx context.Context, batch *apiv1.ClaimBatch) (*apiv1.ClaimBatchResult, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	if len(batch.GetChanges()) > maxClaimChanges || proto.Size(batch) > maxClaimCallBytes {
		return nil, twirp.InvalidArgumentError("changes", "too many in one call")
	}
	if len(batch.GetChanges()) == 0 {
		return &apiv1.ClaimBatchResult{}, nil
	}
	results, err := l.claims.change(ctx, batch.GetChanges())
	if err != nil {
		return nil, s.retryable(ctx, err)
	}
	return &apiv1.ClaimBatchResult{Results: results}, nil
}

// Lookup returns the state of a key.
func (s claimsService) Lookup(ctx context.Context, request *apiv1.LookupRequest) (*apiv1.LookupResponse, error) {
	l, err := s.reading(ctx)
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
		HolderGone: !claim.GetSettled() && l.entryGone(claim.GetEntry()),
	}, nil
}
