package control

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxEndpointExpiries limits the endpoints that one command removes.
const maxEndpointExpiries = 1024

// expireEndpoints proposes the removal of the endpoints whose leases have expired.
// Their renewals and announcements are refused until the outcome of the proposal is
// known. After an error the outcome is unknown and they stay refused by this
// leadership. An endpoint that is announced again gets a new revision, which a
// proposal applied late does not match.
func (l *leadership) expireEndpoints(ctx context.Context) error {
	var expiries []*apiv1.EndpointExpiry
	for _, endpoint := range l.server.Store.Endpoints("") {
		if len(expiries) == maxEndpointExpiries {
			break
		}
		if !l.endpointLeases.BeginExpiry(endpoint.GetId()) {
			continue
		}
		expiries = append(expiries, &apiv1.EndpointExpiry{
			Id:       endpoint.GetId(),
			Revision: endpoint.GetRevision(),
		})
	}
	if len(expiries) == 0 {
		return nil
	}
	command := &apiv1.EndpointCommand{Expire: expiries}
	if _, err := l.server.propose(ctx, &apiv1.Command{Body: &apiv1.Command_Endpoint{Endpoint: command}}); err != nil {
		return err
	}
	for _, expiry := range expiries {
		l.endpointLeases.EndExpiry(expiry.GetId())
		l.endpointLeases.RemoveHolder(expiry.GetId())
	}
	return nil
}
