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
