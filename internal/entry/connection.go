package entry

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pistachioport/pistachioport/internal/balance"
)

// connection is a connection to an endpoint that counts its traffic.
type connection struct {
	net.Conn
	bytesWritten atomic.Int64
	link         *balance.LinkBudget // charged with the traffic; nil within the region
	closed       sync.Once
	onClose      func()
}

// Write implements net.Conn. Bytes are counted before they are written, so that
// a write that fails midway counts as sent.
func (c *connection) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	if c.link != nil {
		c.link.Spend(len(p))
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.link != nil && n > 0 {
		c.link.Spend(n)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}
