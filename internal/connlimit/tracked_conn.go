package connlimit

import (
	"net"
	"sync/atomic"
	"time"
)

// trackedConn is a connection that tells how long the server has waited for bytes from it.
type trackedConn struct {
	net.Conn
	readSince atomic.Pointer[time.Time] // begin of the read in progress; nil: there is none
}

// Read implements net.Conn.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	now := time.Now()
	c.readSince.Store(&now)
	defer c.readSince.Store(nil)
	return c.Conn.Read(buffer)
}

// isSilent reports whether the server has waited for bytes for the time of silence.
func (c *trackedConn) isSilent(now time.Time) bool {
	since := c.readSince.Load()
	return since != nil && now.Sub(*since) >= silence
}

// NetConn returns the wrapped connection.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the connection for writing, which the server does so that a client gets the answer before the
// connection ends.
func (c *trackedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
