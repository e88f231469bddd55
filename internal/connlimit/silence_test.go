package connlimit_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/connlimit"
)

// heldListener accepts connections whose reads begin and don't proceed until release is closed, as while the process has
// no processor time.
type heldListener struct {
	net.Listener
	reading chan struct{} // receives one element for each read that begins
	release chan struct{}
}

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
	<-c.listener.release
	return c.Conn.Read(buffer)
}

// newHeldServer returns a server with at most one connection whose reads are held.
func newHeldServer(t *testing.T) (*floodedServer, *heldListener) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: socket, reading: make(chan struct{}, 8), release: make(chan struct{})}
	limited := connlimit.NewListener(held, "test", 1, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	server := &http.Server{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ReadHeaderTimeout: time.Minute, ConnState: limited.ConnState,
	}
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return &floodedServer{t: t, address: socket.Addr().String()}, held
}

// A connection was closed for a new one although its request had arrived, if the server had no processor time to read it.
func TestConnectionWithAnUnreadRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	s, held := newHeldServer(t)
	first := s.dial()
	first.send("/")
	<-held.reading
	s.dial()
	time.Sleep(50 * time.Millisecond)
	close(held.release)
	is.Equal(first.status(), http.StatusOK)
}

// A connection that has sent a part of a request makes room, as one that has sent nothing.
func TestConnectionWithAPartOfARequestIsEvicted(t *testing.T) {
	is := is.New(t)
	s, held := newHeldServer(t)
	close(held.release)
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
