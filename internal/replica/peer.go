package replica

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// peerService serves the calls of other members.
type peerService struct {
	replica *Replica
}

var _ apiv1.Peer = (*peerService)(nil)

// Step queues messages for the loop. The response only confirms that they
// arrived. Errors: FailedPrecondition for messages of another cluster, and for those to
// another incarnation, whose disk was lost; ResourceExhausted if the queue is full.
func (s *peerService) Step(_ context.Context, request *apiv1.StepRequest) (*apiv1.StepResponse, error) {
	own := s.replica.store.Identity().ClusterID
	if request.GetClusterId() == "" || own != "" && own != request.GetClusterId() {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"this member belongs to cluster %q, not %q", own, request.GetClusterId())
	}
	if err := s.checkAddressee(request); err != nil {
		return nil, err
	}
	s.replica.transport.learnAddress(request.GetFrom(), request.GetFromAddress())
	select {
	case s.replica.inbox <- request:
		return &apiv1.StepResponse{}, nil
	default:
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages wait")
	}
}

// checkAddressee returns an error if a message is for another incarnation. Without it, its sender would take the response
// for one of a voter that is gone.
func (s *peerService) checkAddressee(request *apiv1.StepRequest) error {
	own := s.replica.store.Identity().Incarnation
	for _, message := range request.GetMessages() {
		if message.GetTo() != own {
			return twirp.NewErrorf(twirp.FailedPrecondition,
				"the message is for incarnation %s; this member is %s", formatIncarnation(message.GetTo()), formatIncarnation(own)).
				WithMeta(metaIncarnation, formatIncarnation(own))
		}
	}
	return nil
}

// metaIncarnation is the key of the incarnation that refuses messages to another one, in the error's metadata.
const metaIncarnation = "incarnation"

// isOtherIncarnation reports whether the error of a call says that another incarnation responds at the address.
func isOtherIncarnation(err error) bool {
	var refusal twirp.Error
	return errors.As(err, &refusal) && refusal.Code() == twirp.FailedPrecondition && refusal.Meta(metaIncarnation) != ""
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
