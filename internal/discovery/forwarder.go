package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// forwardTimeout limits a forwarded call, including the search for the leader.
const forwardTimeout = 5 * time.Second

// forwarder checks calls and forwards them to the leader.
type forwarder struct {
	leader apiv1.Discovery
}

var _ apiv1.Discovery = (*forwarder)(nil)

// Announce implements apiv1.Discovery.
func (f *forwarder) Announce(ctx context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	if err := checkEndpoint(request.GetEndpoint()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := f.leader.Announce(ctx, request)
	return response, clientError(err)
}

// Renew implements apiv1.Discovery.
func (f *forwarder) Renew(ctx context.Context, request *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	if err := checkID(request.GetId()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := f.leader.Renew(ctx, request)
	return response, clientError(err)
}

// Withdraw implements apiv1.Discovery.
func (f *forwarder) Withdraw(ctx context.Context, request *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	if err := checkID(request.GetId()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := f.leader.Withdraw(ctx, request)
	return response, clientError(err)
}

// clientError returns the error to send to the caller: the leader's own refusal, or
// Unavailable for anything else.
func clientError(err error) error {
	var refusal twirp.Error
	if err == nil || errors.As(err, &refusal) && refusal.Code() != twirp.Internal {
		return err
	}
	return twirp.NewError(twirp.Unavailable, "no control process answered; try again")
}
