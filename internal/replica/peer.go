package replica

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// peerService serves the calls of other members.
type peerService struct {
	replica *Replica
}

var _ apiv1.Peer = (*peerService)(nil)

// Step queues messages for the loop. The response only confirms that they
// arrived. Errors: FailedPrecondition for messages of another cluster,
// ResourceExhausted if the queue is full.
func (s *peerService) Step(_ context.Context, request *apiv1.StepRequest) (*apiv1.StepResponse, error) {
	own := s.replica.store.Identity().ClusterID
	if request.GetClusterId() == "" || own != "" && own != request.GetClusterId() {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"this member belongs to cluster %q, not %q", own, request.GetClusterId())
	}
	s.replica.transport.learnAddress(request.GetFrom(), request.GetFromAddress())
	select {
	case s.replica.inbox <- request:
		return &apiv1.StepResponse{}, nil
	default:
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages wait")
	}
}

// Identify returns the identity of this member.
func (s *peerService) Identify(context.Context, *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	identity := s.replica.store.Identity()
	return &apiv1.IdentifyResponse{
		Incarnation:   identity.Incarnation,
		Name:          s.replica.config.Name,
		ClusterId:     identity.ClusterID,
		FailureDomain: s.replica.config.FailureDomain,
		Problem:       s.replica.disk.problem(),
	}, nil
}
