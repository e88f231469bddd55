package connlimit_test

import (
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

// acceptCounter counts the connections that a listener has accepted.
type acceptCounter struct {
	net.Listener
	accepted atomic.Int64
}

func (a *acceptCounter) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if err == nil {
		a.accepted.Add(1)
	}
	return conn, err
}

// A reserved connection was refused that arrived while the server had read the requests of all others and not
// told their kinds apart yet.
func TestReservedConnectionWaitsForTheKindsOfOthers(t *testing.T) {
	is := is.New(t)
	const limit, reserved = 4, 2
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counter := &acceptCounter{Listener: socket}
	limited := connlimit.NewListener(counter, "test", limit, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	limited.SetLimits(connlimit.Limits{Connections: limit, Reserved: reserved})
	var active atomic.Int64
	release := make(chan struct{})
	isReserved := func(r *http.Request) bool { return r.URL.Path == "/reserved" }
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{
		Handler: limited.Reserve(isReserved, refuse, answer), ReadHeaderTimeout: time.Minute, ConnContext: limited.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			limited.ConnState(conn, state)
			if state == http.StateActive {
				active.Add(1)
				<-release // in place of a wait for processor time
			}
		},
	}
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	s := &floodedServer{t: t, address: socket.Addr().String()}
	for range limit {
		s.dial().send("/")
	}
	for active.Load() < limit {
		time.Sleep(time.Millisecond)
	}
	member := s.dial()
	member.send("/reserved")
	for counter.accepted.Load() <= limit {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(release)
	is.Equal(member.status(), http.StatusOK)
}
