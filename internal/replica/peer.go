package replica

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// peerService takes in the calls of other members.
type peerService struct {
	replica *Replica
}

var _ apiv1.Peer = (*peerService)(nil)

// Step hands messages to the loop. The answer only says that they arrived.
// Errors: FailedPrecondition for another cluster's messages, ResourceExhausted
// while the loop is behind.
func (s *peerService) Step(_ context.Context, request *apiv1.StepRequest) (*apiv1.StepResponse, error) {
	own := s.replica.store.Identity().ClusterID
	if request.GetClusterId() == "" || own != "" && own != request.GetClusterId() {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"this member belongs to cluster %q, not %q", own, request.GetClusterId())
	}
	s.replica.transport.learn(request.GetFrom(), request.GetFromAddress())
	select {
	case s.replica.inbox <- request:
		return &apiv1.StepResponse{}, nil
	default:
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages wait")
	}
}

// Identify tells who this member is.
func (s *peerService) Identify(context.Context, *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	identity := s.replica.store.Identity()
	return &apiv1.IdentifyResponse{
		Incarnation:   identity.Incarnation,
		Name:          s.replica.config.Name,
		ClusterId:     identity.ClusterID,
		FailureDomain: s.replica.config.FailureDomain,
	}, nil
}
