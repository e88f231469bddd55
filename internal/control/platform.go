package control

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// platformService serves the lease renewals of the workers.
type platformService struct {
	*Server
}

var _ apiv1.Platform = platformService{}

// Renew forwards a worker's renewal to the placement controller.
func (s platformService) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	if _, err := s.currentLeadership(); err != nil {
		return nil, err
	}
	if s.Placement == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process serves no workers")
	}
	response, err := s.Placement.Renew(ctx, request)
	if err != nil {
		return nil, s.rpcError(ctx, err)
	}
	return response, nil
}
