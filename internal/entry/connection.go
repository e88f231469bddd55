package entry

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/balance"
)

// connection is a connection to an endpoint that counts its traffic.
type connection struct {
	net.Conn
	bytesWritten atomic.Int64
	broken       atomic.Bool         // closed or reset by the endpoint
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
	n, err := c.Conn.Write(p)
	c.noteError(err)
	return n, err
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.noteError(err)
	if c.link != nil && n > 0 {
		c.link.Spend(n)
	}
	return n, err
}

// noteError records whether the endpoint ended the connection. A connection that
// this entry closed or that went silent says nothing of a crash.
func (c *connection) noteError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.broken.Store(true)
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}
