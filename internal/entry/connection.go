package entry

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pistachioport/pistachioport/internal/balance"
)

// connection counts what goes over one connection to an endpoint.
type connection struct {
	net.Conn
	bytesWritten atomic.Int64 // bytes
	link         *balance.Link
	closed       sync.Once
	onClose      func()
}

// Write implements net.Conn. Bytes count before they are written, so that an
// interrupted write never looks like none.
func (c *connection) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	if c.link != nil {
		c.link.Count(len(p))
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.link != nil && n > 0 {
		c.link.Count(n)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}
