package connlimit

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackedConn is a connection that tells how long the server has waited for bytes from it.
type trackedConn struct {
	net.Conn
	socket    syscall.RawConn           // nil: it is not a TCP connection
	readSince atomic.Pointer[time.Time] // begin of the read in progress; nil: there is none
	readBytes atomic.Uint64             // returned by the reads before
}

func newTrackedConn(conn net.Conn) *trackedConn {
	return &trackedConn{Conn: conn, socket: socketOf(conn)}
}

// socketOf returns the socket below a connection that may be wrapped, or nil.
func socketOf(conn net.Conn) syscall.RawConn {
	for {
		switch inner := conn.(type) {
		case *net.TCPConn:
			socket, err := inner.SyscallConn()
			if err != nil {
				return nil
			}
			return socket
		case interface{ NetConn() net.Conn }:
			conn = inner.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	now := time.Now()
	c.readSince.Store(&now)
	n, err := c.Conn.Read(buffer)
	c.readSince.Store(nil) // before readBytes changes, see isWaiting
	c.readBytes.Add(uint64(max(n, 0)))
	return n, err
}

// isSilent reports whether the server has waited for bytes for the time of silence, and none have arrived. A read that
// lasts is no proof of that: the process may have had no processor time to end it.
func (c *trackedConn) isSilent(now time.Time) bool {
	since := c.readSince.Load()
	return since != nil && now.Sub(*since) >= silence && c.isWaiting() && c.readSince.Load() == since
}

// isWaiting reports whether the server is waiting for bytes, and none have arrived: neither a request that was not read nor
// one that was read and is being handled. The bytes are looked at first: a read that returned them before has
// reset readSince.
func (c *trackedConn) isWaiting() bool {
	return !c.hasUnreadBytes() && c.readSince.Load() != nil
}

// States of a TCP connection, as the kernel numbers them.
const (
	tcpClosed    = 7
	tcpCloseWait = 8 // the peer has closed it
)

// hasUnreadBytes reports whether more bytes have arrived than reads have returned.
func (c *trackedConn) hasUnreadBytes() bool {
	if c.socket == nil {
		return false
	}
	read, arrived := c.readBytes.Load(), uint64(0)
	err := c.socket.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil || info.State == tcpClosed:
		case info.State == tcpCloseWait:
			arrived = info.Bytes_received - min(1, info.Bytes_received) // the end of the peer's bytes counts as one
		default:
			arrived = info.Bytes_received
		}
	})
	return err == nil && arrived > read
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
