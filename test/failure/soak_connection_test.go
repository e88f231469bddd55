package failure_test

import (
	"context"
	"net"
	"time"
)

// soakConnection is a connection to a worker over which polls may come.
type soakConnection struct {
	polled time.Time // start of the incarnation that has answered a poll over it; zero: none has
}

type soakConnectionKey struct{}

func withSoakConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, soakConnectionKey{}, &soakConnection{})
}

// endedWith reports whether an incarnation before the one that was born then has answered over the
// connection. It ended with that one, also where a crash keeps the connections, which is for requests that
// could have been sent on new ones.
func (c *soakConnection) endedWith(born time.Time) bool {
	return !c.polled.IsZero() && !c.polled.Equal(born)
}
