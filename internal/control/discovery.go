package control

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// discovery serves the endpoints, by way of the entries.
type discovery struct {
	*Server
}

var _ apiv1.Discovery = discovery{}

// Announce makes an endpoint known or changes it, and begins its lease.
func (s discovery) Announce(ctx context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	endpoint := request.GetEndpoint()
	if err := state.ValidateEndpoint(endpoint); err != nil {
		return nil, twirp.InvalidArgumentError("endpoint", err.Error())
	}
	revision, err := s.announce(ctx, l, endpoint)
	if err != nil {
		return nil, err
	}
	if !l.current() || !l.endpoints.Answer(endpoint.GetId()) {
		return nil, s.notLeader()
	}
	return &apiv1.AnnounceResponse{
		Revision: revision,
		LeaseMs:  l.endpoints.Length().Milliseconds(),
	}, nil
}

// announce commits the announcement, unless it changes nothing. The lease is
// accounted for from before the endpoint can be seen: otherwise it would look
// like one of which nothing was heard in this term.
func (s discovery) announce(ctx context.Context, l *leadership, endpoint *apiv1.Endpoint) (uint64, error) {
	if err := l.confirm(ctx); err != nil {
		return 0, err
	}
	if !l.endpoints.Answer(endpoint.GetId()) {
		return 0, s.notLeader() // it is being removed; the caller tries again
	}
	if present, ok := s.Store.Endpoint(endpoint.GetId()); ok {
		same := proto.CloneOf(endpoint)
		same.Revision = present.GetRevision()
		if proto.Equal(same, present) {
			return present.GetRevision(), nil
		}
	}
	command := &apiv1.EndpointCommand{Announce: []*apiv1.Endpoint{endpoint}}
	revision, err := s.proposeEndpoint(ctx, command)
	if _, known := s.Store.Endpoint(endpoint.GetId()); !known {
		l.endpoints.Forget(endpoint.GetId())
	}
	return revision, err
}

func (s discovery) proposeEndpoint(ctx context.Context, command *apiv1.EndpointCommand) (uint64, error) {
	result, err := s.propose(ctx, &apiv1.Command{Body: &apiv1.Command_Endpoint{Endpoint: command}})
	if err != nil {
		return 0, err
	}
	if result.GetRefusalCode() != "" {
		return 0, twirp.NewError(twirp.FailedPrecondition, result.GetRefusal()).
			WithMeta(refusalMeta, result.GetRefusalCode())
	}
	for _, refusal := range result.GetEndpoint().GetRefused() {
		return 0, twirp.NewError(refusalCode(refusal), refusal.GetDetail()).
			WithMeta(refusalMeta, refusal.GetCode())
	}
	return result.GetEndpoint().GetRevision(), nil
}

func refusalCode(refusal *apiv1.EndpointRefusal) twirp.ErrorCode {
	switch state.RefusalCode(refusal.GetCode()) {
	case state.RefusalInvalid:
		return twirp.InvalidArgument
	case state.RefusalTooMany:
		return twirp.ResourceExhausted
	default:
		return twirp.FailedPrecondition
	}
}

// Renew extends an endpoint's lease, which the leader alone keeps. The answer
// is accounted for before the state is read: an expiry committed earlier then
// shows, and none begins until the lease has run out again.
func (s discovery) Renew(ctx context.Context, request *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	l, err := s.reading(ctx)
	if err != nil {
		return nil, err
	}
	id := request.GetId()
	if !l.endpoints.Answer(id) {
		return &apiv1.RenewEndpointResponse{}, nil // it is being removed
	}
	if _, known := s.Store.Endpoint(id); !known {
		l.endpoints.Forget(id)
		return &apiv1.RenewEndpointResponse{}, nil
	}
	return &apiv1.RenewEndpointResponse{
		Known:   true,
		LeaseMs: l.endpoints.Length().Milliseconds(),
	}, nil
}

// Withdraw removes an endpoint for good.
func (s discovery) Withdraw(ctx context.Context, request *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	revision, err := s.proposeEndpoint(ctx, &apiv1.EndpointCommand{Withdraw: []string{request.GetId()}})
	if err != nil {
		return nil, err
	}
	return &apiv1.WithdrawResponse{
		Revision:     revision,
		QuietAfterMs: l.entries.Length().Milliseconds(),
	}, nil
}
