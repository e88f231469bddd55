package connlimit_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/connlimit"
)

// heldListener accepts connections whose reads don't return while they are held, as while the process has no processor
// time.
type heldListener struct {
	net.Listener
	reading  chan struct{}                 // receives one element for each read that begins
	released atomic.Pointer[chan struct{}] // closed unless reads are held
}

func (l *heldListener) hold() {
	released := make(chan struct{})
	l.released.Store(&released)
}

func (l *heldListener) release() { close(*l.released.Load()) }

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{conn, l}, nil
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (c *heldConn) NetConn() net.Conn { return c.Conn }

func (c *heldConn) Read(buffer []byte) (int, error) {
	select {
	case c.listener.reading <- struct{}{}:
	default:
	}
	n, err := c.Conn.Read(buffer)
	<-*c.listener.released.Load()
	return n, err
}

// newHeldServer returns a server with at most the given number of connections, whose reads are held.
func newHeldServer(t *testing.T, limit int) (*floodedServer, *heldListener) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: socket, reading: make(chan struct{}, 8)}
	held.hold()
	s := &floodedServer{t: t, address: socket.Addr().String()}
	s.limited = connlimit.NewListener(held, "test", limit, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	server := &http.Server{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ReadHeaderTimeout: time.Minute, ConnState: s.connState,
	}
	go func() { _ = server.Serve(s.limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return s, held
}

// A connection was closed for a new one although its request had arrived, if the server had no processor time to read it.
func TestConnectionWithAnUnreadRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	s, held := newHeldServer(t, 1)
	first := s.dial()
	first.send("/")
	<-held.reading
	s.dial()
	time.Sleep(50 * time.Millisecond)
	held.release()
	is.Equal(first.status(), http.StatusOK)
}

// An idle connection was closed for a new one although its next request had arrived.
func TestIdleConnectionWithAnUnreadRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	s, held := newHeldServer(t, 2)
	held.release()
	first, second := s.dial(), s.dial()
	for i, c := range []*client{first, second} {
		c.send("/")
		is.Equal(c.status(), http.StatusOK)
		s.awaitIdle(int64(i + 1))
	}
	held.hold()
	first.send("/")
	time.Sleep(50 * time.Millisecond) // the request is on its way
	s.dial().send("/")
	is.Equal(second.status(), 0) // closed in place of the one that has been idle longer
	held.release()
	is.Equal(first.status(), http.StatusOK)
}

// A request that was read, and of which the listener has not been told yet, was taken for none.
func TestIdleConnectionWhoseRequestWasReadIsNotEvicted(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &floodedServer{t: t, address: socket.Addr().String()}
	s.limited = connlimit.NewListener(socket, "test", 2, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	var held atomic.Bool
	active, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive && held.CompareAndSwap(true, false) {
				active <- struct{}{}
				<-release
			}
			s.connState(conn, state)
		},
	}
	go func() { _ = server.Serve(s.limited) }()
	t.Cleanup(func() { _ = server.Close() })
	first, second := s.dial(), s.dial()
	for i, c := range []*client{first, second} {
		c.send("/")
		is.Equal(c.status(), http.StatusOK)
		s.awaitIdle(int64(i + 1))
	}
	held.Store(true)
	first.send("/")
	<-active
	s.dial()
	is.Equal(second.status(), 0) // closed in place of the one that has been idle longer
	close(release)
	is.Equal(first.status(), http.StatusOK)
}

// Connections that their clients have closed make room, although the server has not noticed yet.
func TestIdleConnectionsClosedByClientsAreEvicted(t *testing.T) {
	is := is.New(t)
	const limit = 20 // more than are passed over
	s, held := newHeldServer(t, limit)
	held.release()
	var clients []*client
	for i := range limit {
		c := s.dial()
		c.send("/")
		is.Equal(c.status(), http.StatusOK)
		s.awaitIdle(int64(i + 1))
		clients = append(clients, c)
	}
	held.hold()
	for _, c := range clients[:limit-1] {
		_ = c.conn.Close()
	}
	time.Sleep(50 * time.Millisecond) // the closes are on their way
	c := s.dial()
	c.send("/")
	time.Sleep(50 * time.Millisecond)
	held.release()
	is.Equal(c.status(), http.StatusOK)
}

// A connection that has sent a part of a request makes room, as one that has sent nothing.
func TestConnectionWithAPartOfARequestIsEvicted(t *testing.T) {
	is := is.New(t)
	s, held := newHeldServer(t, 1)
	held.release()
	first := s.dial()
	_, err := io.WriteString(first.conn, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	<-held.reading
	<-held.reading // the part was read
	second := s.dial()
	second.send("/")
	is.Equal(second.status(), http.StatusOK)
	is.Equal(first.status(), 0)
}
