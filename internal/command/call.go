package command

import (
	"context"

	"github.com/pistachioport/pistachioport/internal/rpc"
)

// call calls the method of a control process with the deadline of --timeout.
func call[Req, Resp any](ctx context.Context, s *session, method func(context.Context, Req) (Resp, error), request Req) (Resp, error) {
	ctx, cancel := s.callContext(ctx)
	defer cancel()
	return method(ctx, request)
}

// withClient calls f with a client of the control processes, and then closes it.
func (s *session) withClient(f func(client *rpc.Client) error) error {
	client, err := s.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	return f(client)
}
