package bodybudget

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headerFactor is the memory for each byte of a header: the server's copy and the request's.
	headerFactor = 2
	// headerLineBytes is the memory for each line of a header beside its text: an entry of a map and a slice. A run
	// with lines of six bytes has shown 106 bytes a line.
	headerLineBytes = 120
	// ordinaryHeaderCost is the memory that every request's header may take, also if the budget is full, so that calls
	// without a body and the log's messages are never refused: one read of 4 KB with 16 lines.
	ordinaryHeaderCost = headerFactor*4<<10 + 16*headerLineBytes
	// refusalText answers a connection whose header finds no room. Nothing of the request was handled.
	refusalText    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTimeout = 50 * time.Millisecond
)

// HeaderListener takes the memory for the headers of requests from a portion. Set ConnState as the
// server's callback of the same name.
type HeaderListener struct {
	net.Listener
	portion *Portion
}

// NewHeaderListener returns a listener that wraps inner.
func NewHeaderListener(inner net.Listener, portion *Portion) *HeaderListener {
	return &HeaderListener{inner, portion}
}

// Accept implements net.Listener.
func (l *HeaderListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &headerConn{Conn: conn, first: true}
	c.hold = l.portion.newHold(hostOf(conn.RemoteAddr().String()), func() { _ = conn.Close() })
	c.inHeader.Store(true)
	return c, nil
}

// ConnState records a change of the state of a connection, which may be wrapped.
func (l *HeaderListener) ConnState(conn net.Conn, state http.ConnState) {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	c, ok := conn.(*headerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHeader.Store(false)
		c.hold.arrived()
	case http.StateIdle:
		c.hold.release()
		c.first = true // the server reads no header before this call returns
		c.inHeader.Store(true)
	case http.StateClosed, http.StateHijacked:
		c.hold.release()
	}
}

// headerConn is a connection whose headers are taken from a portion. The memory is held to the end of
// the request.
type headerConn struct {
	net.Conn
	hold     *hold
	inHeader atomic.Bool // the header of a request is being read
	first    bool        // nothing of the header has been read
}

// Read implements net.Conn. It fails if there is no room for the header.
func (c *headerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || !c.inHeader.Load() {
		return n, err
	}
	lines := bytes.Count(buffer[:n], []byte{'\n'})
	cost := headerFactor*int64(n) + headerLineBytes*int64(lines)
	if c.first && cost <= ordinaryHeaderCost {
		c.first = false
		c.hold.force(cost)
		return n, err
	}
	if takeErr := c.hold.portion.budget.take(c.hold, cost); takeErr != nil {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Write([]byte(refusalText)) // the client may have gone
		return 0, takeErr
	}
	return n, err
}

// NetConn returns the wrapped connection.
func (c *headerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the connection for writing, which the server does so that a client gets the answer before the
// connection ends.
func (c *headerConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *headerConn) Close() error {
	c.hold.release()
	return c.Conn.Close()
}
