package replica_test

import (
	"context"
	"fmt"
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
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

const patience = 30 * time.Second

// ledger is a state machine that keeps the commands' objects in order.
type ledger struct {
	mu      sync.Mutex
	objects []string
}

func (l *ledger) Apply(_ uint64, command *apiv1.Command) *apiv1.CommandResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range command.GetAudit().GetRecords() {
		l.objects = append(l.objects, record.GetObject())
	}
	return &apiv1.CommandResult{Refusal: l.objects[len(l.objects)-1]}
}

func (l *ledger) Snapshot() ([]byte, error) {
	return []byte(strings.Join(l.all(), "\n")), nil
}

func (l *ledger) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.objects = nil
	if len(snapshot) > 0 {
		l.objects = strings.Split(string(snapshot), "\n")
	}
	return nil
}

func (l *ledger) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.objects)
}

func note(object string) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Audit{Audit: &apiv1.AuditCommand{
		Records: []*apiv1.AuditRecord{{Object: object}},
	}}}
}

// gate cuts a member off: calls to and from it hang until their deadline.
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

func (g *gate) pass(ctx context.Context) error {
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

// gatedTransport passes requests through a gate.
type gatedTransport struct {
	gate *gate
	next http.RoundTripper
}

func (t *gatedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := t.gate.pass(request.Context()); err != nil {
		return nil, err
	}
	return t.next.RoundTrip(request)
}

// node is one member on loopback. Its address outlives restarts.
type node struct {
	t       testing.TB
	config  replica.Config
	handler atomic.Pointer[http.Handler]
	gate    *gate

	replica *replica.Replica
	ledger  *ledger
	stop    context.CancelFunc
	ended   chan error
}

func newNode(t testing.TB, number int, adjust func(*replica.Config)) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{t: t, gate: newGate()}
	n.config = replica.Config{
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
	server := &http.Server{Handler: http.HandlerFunc(n.serve), ReadHeaderTimeout: patience}
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
	if handler == nil || n.gate.pass(r.Context()) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	(*handler).ServeHTTP(w, r)
}

func (n *node) start() {
	n.ledger = &ledger{}
	n.config.StateMachine = n.ledger
	started, err := replica.New(n.config)
	if err != nil {
		n.t.Fatal(err)
	}
	n.replica = started
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	ended := make(chan error, 1)
	n.ended = ended
	go func() { ended <- started.Run(ctx) }()
	handler := started.PeerHandler()
	n.handler.Store(&handler)
}

// halt stops the member and waits for its end.
func (n *node) halt() {
	if n.stop == nil {
		return
	}
	n.handler.Store(nil)
	n.stop()
	<-n.ended
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
	t     testing.TB
	nodes []*node
}

func newCluster(t testing.TB, size int, adjust func(*replica.Config)) *cluster {
	c := &cluster{t: t}
	for i := range size {
		n := newNode(t, i+1, adjust)
		n.start()
		c.nodes = append(c.nodes, n)
	}
	return c
}

// formed returns a cluster whose members all vote.
func formed(t testing.TB, size int, adjust func(*replica.Config)) *cluster {
	c := newCluster(t, size, adjust)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// eventually waits for the condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %s: %s", patience, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// leader waits for a member that leads by its own word, other than the given.
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

// write proposes at whichever member leads until the command is acknowledged.
// A command of unknown fate is proposed again.
func (c *cluster) write(object string, except ...*node) {
	c.t.Helper()
	eventually(c.t, "an acknowledged write of "+object, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := c.leader(except...).replica.Propose(ctx, note(object))
		if err == nil && result.GetRefusal() != object {
			c.t.Fatalf("proposed %q, got the result of %q", object, result.GetRefusal())
		}
		if err != nil && !errors.IsAny(err, replica.ErrNotLeader, replica.ErrIndeterminate, context.DeadlineExceeded) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

// converged waits until the members' state machines agree.
func (c *cluster) converged(nodes ...*node) []string {
	c.t.Helper()
	var objects []string
	eventually(c.t, "agreement", func() bool {
		objects = nodes[0].ledger.all()
		for _, n := range nodes[1:] {
			if !slices.Equal(objects, n.ledger.all()) {
				return false
			}
		}
		return true
	})
	return objects
}

func (c *cluster) others(n *node) []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(other *node) bool { return other == n })
}

// shut returns the members behind a shut gate.
func (c *cluster) shut() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return n.gate.isOpen() })
}

func (n *node) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.config.Metrics).Count()
}
