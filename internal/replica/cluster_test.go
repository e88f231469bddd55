package replica_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// testTimeout is how long the tests wait for a condition or call.
const testTimeout = 30 * time.Second

// recordingStateMachine records the objects of the commands in the order applied.
type recordingStateMachine struct {
	mu      sync.Mutex
	objects []string
}

func (s *recordingStateMachine) Apply(_ uint64, command *apiv1.Command) *apiv1.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range command.GetAudit().GetRecords() {
		s.objects = append(s.objects, record.GetObject())
	}
	return &apiv1.CommandResult{Refusal: s.objects[len(s.objects)-1]}
}

func (s *recordingStateMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(s.recordedObjects(), "\n")), nil
}

func (s *recordingStateMachine) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = nil
	if len(snapshot) > 0 {
		s.objects = strings.Split(string(snapshot), "\n")
	}
	return nil
}

func (s *recordingStateMachine) recordedObjects() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.objects)
}

// auditCommand returns a command that records object. Its result's refusal is the
// object, so that a test can tell whose result it got.
func auditCommand(object string) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Audit{Audit: &apiv1.AuditCommand{
		Records: []*apiv1.AuditRecord{{Object: object}},
	}}}
}

// gate isolates a member while it is shut: calls to and from the member hang
// until the gate opens or their deadline passes.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

func (g *gate) waitUntilOpen(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gatedTransport holds requests while a gate is shut.
type gatedTransport struct {
	gate *gate
	next http.RoundTripper
}

func (t *gatedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := t.gate.waitUntilOpen(request.Context()); err != nil {
		return nil, err
	}
	return t.next.RoundTrip(request)
}

// node runs a member on loopback. It can be halted and started again at the same
// address.
type node struct {
	t       testing.TB
	config  replica.Config
	handler atomic.Pointer[http.Handler]
	gate    *gate

	replica      *replica.Replica
	stateMachine *recordingStateMachine
	stop         context.CancelFunc
	runResult    chan error
}

func newNode(t testing.TB, number int, adjust func(*replica.Config)) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{t: t, gate: newGate()}
	log := &logBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of member %d:\n%s", number, log.lastLines(60))
		}
	})
	n.config = replica.Config{
		Logger:  slog.New(slog.NewTextHandler(log, nil)),
		DataDir: filepath.Join(t.TempDir(), "data"),
		Name:    fmt.Sprintf("control-%d", number),
		Address: listener.Addr().String(),
		Seed:    uint64(number),
		Metrics: metrics.NewRegistry(),
		WrapTransport: func(next http.RoundTripper) http.RoundTripper {
			return &gatedTransport{gate: n.gate, next: next}
		},
	}
	if adjust != nil {
		adjust(&n.config)
	}
	server := &http.Server{Handler: http.HandlerFunc(n.serve), ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		n.gate.open()
		n.halt()
		_ = server.Close()
	})
	return n
}

func (n *node) serve(w http.ResponseWriter, r *http.Request) {
	handler := n.handler.Load()
	if handler == nil || n.gate.waitUntilOpen(r.Context()) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	(*handler).ServeHTTP(w, r)
}

// start starts the member with an empty state machine on the node's data folder.
func (n *node) start() {
	n.stateMachine = &recordingStateMachine{}
	n.config.StateMachine = n.stateMachine
	started, err := replica.New(n.config)
	if err != nil {
		n.t.Fatal(err)
	}
	n.replica = started
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	runResult := make(chan error, 1)
	n.runResult = runResult
	go func() { runResult <- started.Run(ctx) }()
	handler := started.PeerHandler()
	n.handler.Store(&handler)
}

// halt stops the member and waits until it has ended. It has no effect on a
// member that is not running.
func (n *node) halt() {
	if n.stop == nil {
		return
	}
	n.handler.Store(nil)
	n.stop()
	<-n.runResult
	n.stop = nil
}

func (n *node) info() *apiv1.MemberInfo {
	return &apiv1.MemberInfo{
		Incarnation: n.replica.Status().Incarnation,
		Name:        n.config.Name,
		Address:     n.config.Address,
	}
}

type cluster struct {
	t             testing.TB
	nodes         []*node
	indeterminate atomic.Int64 // proposals by write that were repeated and may have been committed
}

// newCluster starts size members that belong to no cluster yet. adjust may change
// the configuration of each.
func newCluster(t testing.TB, size int, adjust func(*replica.Config)) *cluster {
	c := &cluster{t: t}
	for i := range size {
		n := newNode(t, i+1, adjust)
		n.start()
		c.nodes = append(c.nodes, n)
	}
	return c
}

// newFormedCluster returns a cluster in which all members are voters.
func newFormedCluster(t testing.TB, size int, adjust func(*replica.Config)) *cluster {
	c := newCluster(t, size, adjust)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var voters []*apiv1.MemberInfo
	for _, n := range c.nodes {
		voters = append(voters, n.info())
	}
	for _, n := range c.nodes {
		if err := n.replica.Form(ctx, "cluster-a", voters); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// eventually waits for the condition and fails the test after testTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %s: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// leader waits for a running member that considers itself leader and is not one
// of except.
func (c *cluster) leader(except ...*node) *node {
	c.t.Helper()
	var leader *node
	eventually(c.t, "a leader", func() bool {
		for _, n := range c.nodes {
			if n.stop != nil && !slices.Contains(except, n) && n.replica.Status().IsLeader {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// write proposes a command at the current leader until it is acknowledged. If the
// outcome of a proposal is indeterminate, the command is proposed again, and may be committed twice.
func (c *cluster) write(object string, except ...*node) {
	c.t.Helper()
	eventually(c.t, "an acknowledged write of "+object, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := c.leader(except...).replica.Propose(ctx, auditCommand(object))
		if err == nil && result.GetRefusal() != object {
			c.t.Fatalf("proposed %q, got the result of %q", object, result.GetRefusal())
		}
		if err != nil && !errors.IsAny(err, replica.ErrNotLeader, replica.ErrIndeterminate, context.DeadlineExceeded) {
			c.t.Fatal(err)
		}
		if errors.IsAny(err, replica.ErrIndeterminate, context.DeadlineExceeded) {
			c.indeterminate.Add(1)
		}
		return err == nil
	})
}

// checkWritten checks that the objects were recorded once each, in this order, but for those whose
// proposals were indeterminate and repeated.
func (c *cluster) checkWritten(recorded, objects []string) {
	c.t.Helper()
	is := is.New(c.t)
	is.Equal(slices.Compact(slices.Clone(recorded)), objects)
	if extra := int64(len(recorded) - len(objects)); extra > c.indeterminate.Load() {
		c.t.Fatalf("%d objects recorded again, and %d proposals were indeterminate", extra, c.indeterminate.Load())
	}
}

// awaitAgreement waits until the state machines of the nodes have recorded the
// same objects, and returns these.
func (c *cluster) awaitAgreement(nodes ...*node) []string {
	c.t.Helper()
	var objects []string
	eventually(c.t, "agreement", func() bool {
		objects = nodes[0].stateMachine.recordedObjects()
		for _, n := range nodes[1:] {
			if !slices.Equal(objects, n.stateMachine.recordedObjects()) {
				return false
			}
		}
		return true
	})
	return objects
}

func (c *cluster) otherNodes(n *node) []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(other *node) bool { return other == n })
}

// isolated returns the members whose gates are shut.
func (c *cluster) isolated() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.gate.isOpen() })
}

func (n *node) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.config.Metrics).Count()
}
