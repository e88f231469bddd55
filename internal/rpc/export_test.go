package rpc

import (
	"context"
	"net"
)

// SetDial replaces the way in which the client opens connections.
func (c *Client) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.transports.dial = dial
}
