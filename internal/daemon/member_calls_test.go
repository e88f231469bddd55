package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/connlimit"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/claims"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
	"github.com/pistachioport/pistachioport/platform"
)

// testMemoryMB leaves room for few calls with testBodyBytes.
const (
	testMemoryMB  = 4
	testBodyBytes = 64 << 10
)

// internalServer is a control process's listener for members, entries and spares.
type internalServer struct {
	t       *testing.T
	address string
	limit   int
	process *platformProcess
	waiting chan struct{} // receives one element for each call to /wait
	release chan struct{} // closed to answer them
	answers atomic.Int64  // calls of others that were answered
	refused atomic.Int64  // calls of others that found no memory
	serve   func()
}

// newInternalServer opens the listener. Connections wait for serve to be called.
func newInternalServer(t *testing.T) *internalServer {
	t.Helper()
	registry, logger := gometrics.NewRegistry(), slog.New(slog.DiscardHandler)
	settings := &platform.Settings{Serves: []string{"control"}, Limits: platform.Limits{MemoryMB: testMemoryMB}}
	plan := connlimit.ControlPlan(0)
	p := &platformProcess{
		settings: settings, logger: logger, registry: registry, connections: plan,
		budgets: newMemoryBudgets(settings, logger, registry),
	}
	s := &internalServer{t: t, limit: plan.Internal, process: p, waiting: make(chan struct{}, 4096), release: make(chan struct{})}
	log, err := replica.New(replica.Config{
		DataDir: t.TempDir(), Name: "a", Address: "a:1", Logger: logger, Metrics: registry,
		StateMachine: state.New(state.Options{Claims: claims.New(claims.Options{}), Tasks: tasks.New(), Jobs: jobs.New()}),
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := p.listenInternal("127.0.0.1:0", log.PeerHandler(), http.HandlerFunc(s.handle))
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.socket.Addr().String()
	served := make(chan struct{})
	s.serve = sync.OnceFunc(func() {
		go func() {
			defer close(served)
			_ = l.serve()
		}()
	})
	t.Cleanup(func() {
		s.serve()
		_ = l.server.Close()
		<-served
	})
	return s
}

func (s *internalServer) handle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.refused.Add(1)
		return
	}
	if r.URL.Path == "/wait" {
		s.waiting <- struct{}{}
		<-s.release
	}
	w.WriteHeader(http.StatusServiceUnavailable) // as a process answers that does not lead
}

// open opens a connection of another caller and sends a call over it.
func (s *internalServer) open(path string, body ...byte) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// openWaiting opens connections of other callers, more than there may be, with calls that wait.
func (s *internalServer) openWaiting(body []byte) {
	s.t.Helper()
	for range 2 * s.limit {
		conn, ended := s.open("/wait", body...), make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = conn.Read(make([]byte, 1))
		}()
		select {
		case <-s.waiting:
		case <-ended: // refused
		}
	}
}

// call opens a connection, makes a call over it and leaves it open.
func (s *internalServer) call() {
	s.t.Helper()
	conn := s.open("/")
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		s.answers.Add(1)
	}
}

// member calls the process as another member of the log does.
type member struct {
	peer   apiv1.Peer
	opened atomic.Int64 // connections
	writes atomic.Int64 // on them that have ended
}

// countedConn counts the writes that have ended.
type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countedConn) Write(data []byte) (int, error) {
	defer c.writes.Add(1)
	return c.Conn.Write(data)
}

func (s *internalServer) newMember() *member {
	m := &member{}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			m.opened.Add(1)
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, &m.writes}, nil
		},
	}
	s.t.Cleanup(transport.CloseIdleConnections)
	m.peer = apiv1.NewPeerProtobufClient("http://"+s.address, &http.Client{Transport: transport})
	return m
}

func (m *member) call() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := m.peer.Identify(ctx, &apiv1.IdentifyRequest{})
	return err
}

// Connections of entries and spares don't end those that members use from time to time.
func TestMembersKeepTheirConnections(t *testing.T) {
	is := is.New(t)
	s := newInternalServer(t)
	s.serve()
	m := s.newMember()
	is.NoErr(m.call())
	const rounds = 5
	for range rounds {
		for range 2 * s.limit {
			s.call()
		}
		is.NoErr(m.call())
	}
	is.Equal(s.answers.Load(), int64(rounds*2*s.limit))
	is.Equal(m.opened.Load(), int64(1))
}

// A member's call gets through while calls of others wait on all connections that they may have.
func TestMembersAreServedBesideWaitingCalls(t *testing.T) {
	is := is.New(t)
	s := newInternalServer(t)
	s.serve()
	defer close(s.release)
	s.openWaiting(nil)
	failed := 0
	const members, calls = 2, 10
	for range members {
		m := s.newMember()
		for range calls {
			if m.call() != nil {
				failed++
			}
		}
	}
	is.Equal(failed, 0)
}

// A member's call finds memory while calls of others hold all that they may have.
func TestMembersAreServedBesideFullMemory(t *testing.T) {
	is := is.New(t)
	s := newInternalServer(t)
	s.serve()
	defer close(s.release)
	s.openWaiting(make([]byte, testBodyBytes))
	is.True(s.refused.Load() > 0)
	m := s.newMember()
	identity, err := m.peer.Identify(t.Context(), &apiv1.IdentifyRequest{})
	is.NoErr(err)
	message := &apiv1.RaftMessage{To: identity.GetIncarnation(), SnapshotData: make([]byte, testBodyBytes)}
	for range 10 {
		_, err := m.peer.Step(t.Context(), &apiv1.StepRequest{ClusterId: "c", Messages: []*apiv1.RaftMessage{message}})
		is.NoErr(err)
	}
}

// A member's call gets through that arrives among many new connections while the process has no processor time.
func TestMembersAreServedAmongNewConnections(t *testing.T) {
	is := is.New(t)
	const trials = 20
	failed := 0
	for trial := range trials {
		s := newInternalServer(t)
		for range s.limit {
			s.open("/")
		}
		m := s.newMember()
		result := make(chan error, 1)
		go func() { result <- m.call() }()
		for m.writes.Load() == 0 { // until then it is a connection without a request
			time.Sleep(time.Millisecond)
		}
		for range 10 * s.limit {
			s.open("/")
		}
		s.serve()
		if err := <-result; err != nil {
			failed++
			t.Logf("trial %d: %v, after %d connections", trial, err, m.opened.Load())
		}
	}
	is.Equal(failed, 0)
}
