package command

import (
	"context"

	"github.com/pistachioport/pistachioport/internal/rpc"
)

// call makes one call within the deadline.
func call[Q, A any](ctx context.Context, s *session, method func(context.Context, Q) (A, error), request Q) (A, error) {
	ctx, cancel := s.callContext(ctx)
	defer cancel()
	return method(ctx, request)
}

// withClient connects, runs f and drops the connections.
func (s *session) withClient(f func(client *rpc.Client) error) error {
	client, err := s.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	return f(client)
}
