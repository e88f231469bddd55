package control

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// discoveryService registers endpoints and renews their leases. Entries forward the
// endpoints' calls to it.
type discoveryService struct {
	*Server
}

var _ apiv1.Discovery = discoveryService{}

// Announce registers or changes an endpoint and starts its lease.
func (s discoveryService) Announce(ctx context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	l, err := s.currentLeadership()
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
	if !l.isCurrent() || !l.endpointLeases.GrantRenewal(endpoint.GetId()) {
		return nil, s.notLeader()
	}
	return &apiv1.AnnounceResponse{
		Revision: revision,
		LeaseMs:  l.endpointLeases.Length().Milliseconds(),
	}, nil
}

// announce commits the announcement, unless it changes nothing, and returns the
// endpoint's revision. The lease is recorded before the endpoint becomes visible
// in the state: otherwise the endpoint would look like one that has not renewed
// in this term and would be expired.
func (s discoveryService) announce(ctx context.Context, l *leadership, endpoint *apiv1.Endpoint) (uint64, error) {
	if err := l.confirm(ctx); err != nil {
		return 0, err
	}
	if !l.endpointLeases.GrantRenewal(endpoint.GetId()) {
		return 0, s.notLeader() // it is being expired; the caller retries
	}
	if existing, ok := s.Store.Endpoint(endpoint.GetId()); ok {
		updated := proto.CloneOf(endpoint)
		updated.Revision = existing.GetRevision()
		if proto.Equal(updated, existing) {
			return existing.GetRevision(), nil
		}
	}
	command := &apiv1.EndpointCommand{Announce: []*apiv1.Endpoint{endpoint}}
	revision, err := s.proposeEndpoint(ctx, command)
	if _, known := s.Store.Endpoint(endpoint.GetId()); !known {
		l.endpointLeases.RemoveHolder(endpoint.GetId())
	}
	return revision, err
}

// proposeEndpoint commits the command and returns its revision, or the refusal as
// a Twirp error.
func (s discoveryService) proposeEndpoint(ctx context.Context, command *apiv1.EndpointCommand) (uint64, error) {
	result, err := s.propose(ctx, &apiv1.Command{Body: &apiv1.Command_Endpoint{Endpoint: command}})
	if err != nil {
		return 0, err
	}
	if result.GetRefusalCode() != "" {
		return 0, twirp.NewError(twirp.FailedPrecondition, result.GetRefusal()).
			WithMeta(refusalMetaKey, result.GetRefusalCode())
	}
	for _, refusal := range result.GetEndpoint().GetRefused() {
		return 0, twirp.NewError(twirpRefusalCode(refusal), refusal.GetDetail()).
			WithMeta(refusalMetaKey, refusal.GetCode())
	}
	return result.GetEndpoint().GetRevision(), nil
}

func twirpRefusalCode(refusal *apiv1.EndpointRefusal) twirp.ErrorCode {
	switch state.RefusalCode(refusal.GetCode()) {
	case state.RefusalInvalid:
		return twirp.InvalidArgument
	case state.RefusalTableFull:
		return twirp.ResourceExhausted
	default:
		return twirp.FailedPrecondition
	}
}

// Renew extends an endpoint's lease, which only the leader tracks. The lease is
// extended before the state is read: an expiry committed earlier is then visible,
// and no new one starts before the extended lease has expired.
func (s discoveryService) Renew(ctx context.Context, request *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	l, err := s.confirmedLeadership(ctx)
	if err != nil {
		return nil, err
	}
	id := request.GetId()
	if !l.endpointLeases.GrantRenewal(id) {
		return &apiv1.RenewEndpointResponse{}, nil // it is being expired
	}
	if _, known := s.Store.Endpoint(id); !known {
		l.endpointLeases.RemoveHolder(id)
		return &apiv1.RenewEndpointResponse{}, nil
	}
	return &apiv1.RenewEndpointResponse{
		Known:   true,
		LeaseMs: l.endpointLeases.Length().Milliseconds(),
	}, nil
}

// Withdraw removes an endpoint permanently: its id can't be announced again.
func (s discoveryService) Withdraw(ctx context.Context, request *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	l, err := s.currentLeadership()
	if err != nil {
		return nil, err
	}
	revision, err := s.proposeEndpoint(ctx, &apiv1.EndpointCommand{Withdraw: []string{request.GetId()}})
	if err != nil {
		return nil, err
	}
	return &apiv1.WithdrawResponse{
		Revision:     revision,
		QuietAfterMs: l.entryLeases.Length().Milliseconds(),
	}, nil
}
