package repair_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/claims"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

const (
	// catchUpBound is the time after which a successor counts as a full voter, by the users' bounds: two more may be
	// lost then.
	catchUpBound = 6 * time.Second
	coreVoters   = 5
	patience     = time.Minute // of a test with a condition
)

// coreTimes are the times of the users' platform.
func coreTimes(config *replica.Config) {
	config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
	config.CallTimeout = 160 * time.Millisecond
}

// core is a group of control processes with real logs and disks on loopback.
type core struct {
	t        *testing.T
	machines []*machine
	trace    trace

	mu          sync.Mutex
	memberships []seenMembership // of the leaders, in the order seen
}

type seenMembership struct {
	at       time.Time
	voters   []uint64
	learners int
}

// machine is one VM of a core.
type machine struct {
	t        *testing.T
	core     *core
	number   int
	disks    int
	address  string
	held     atomic.Int64 // nanoseconds that calls to it take before they are delivered
	heldFrom atomic.Int64 // nanoseconds that messages from it take in addition to the hold of the receiver
	handler  atomic.Pointer[http.Handler]

	log  *replica.Replica
	stop func() // ends the process abruptly, and returns at once
	gone sync.WaitGroup
}

// cutTransport holds calls from a machine, and fails them once it is cut.
type cutTransport struct {
	cut  *atomic.Bool
	held *atomic.Int64 // nanoseconds
	next http.RoundTripper
}

func (c *cutTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(time.Duration(c.held.Load())):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if c.cut.Load() {
		return nil, net.ErrClosed
	}
	return c.next.RoundTrip(request)
}

// newCore returns a core of coreVoters voters and the given number of spares that has a leader.
func newCore(t *testing.T, spares int) *core {
	c := &core{t: t}
	t.Cleanup(func() { c.trace.printIfFailed(t) })
	for range coreVoters + spares {
		c.addMachine()
	}
	var voters []*apiv1.MemberInfo
	for _, m := range c.machines {
		m.start()
		voters = append(voters, &apiv1.MemberInfo{Incarnation: m.incarnation(), Name: m.name(), Address: m.address})
	}
	voters = voters[:coreVoters]
	for _, m := range c.machines[:coreVoters] {
		is.New(t).NoErr(m.log.Form(t.Context(), "cluster-a", voters))
	}
	c.leader()
	watching, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c.watch(watching)
	}()
	t.Cleanup(func() { close(watching); <-done })
	return c
}

func (c *core) addMachine() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(c.t).NoErr(err)
	m := &machine{t: c.t, core: c, number: len(c.machines) + 1, address: listener.Addr().String()}
	server := &http.Server{Handler: m, ReadHeaderTimeout: patience}
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() {
		m.halt()
		m.gone.Wait()
		_ = server.Close()
	})
	c.machines = append(c.machines, m)
}

func (m *machine) name() string { return fmt.Sprintf("control-%d", m.number) }

func (m *machine) incarnation() uint64 { return m.log.Status().Incarnation }

// ServeHTTP delivers a call after the time for which calls are held. A call that its caller gives up before is not
// delivered.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(time.Duration(m.held.Load())):
	case <-r.Context().Done():
		return
	}
	handler := m.handler.Load()
	if handler == nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	(*handler).ServeHTTP(w, r)
}

// start starts the control process on an empty disk.
func (m *machine) start() {
	is := is.New(m.t)
	m.disks++
	store := state.New(state.Options{Claims: claims.New(claims.Options{}), Jobs: jobs.New()})
	logger := slog.New(slog.NewTextHandler(&m.core.trace, nil)).With("name", m.name())
	config := replica.Config{
		DataDir: filepath.Join(m.t.TempDir(), "data"), Name: m.name(), Address: m.address,
		StateMachine: store, Seed: uint64(m.number*100 + m.disks), Logger: logger, FileSystem: tracedDisk{trace: &m.core.trace},
	}
	coreTimes(&config)
	cut := &atomic.Bool{}
	config.WrapTransport = func(next http.RoundTripper) http.RoundTripper { return &cutTransport{cut, &m.heldFrom, next} }
	log, err := replica.New(config)
	is.NoErr(err)
	var peers []control.Peer
	for _, other := range m.core.machines {
		peers = append(peers, control.Peer{Name: other.name(), Address: other.address})
	}
	server, err := control.New(control.Config{
		Log: log, Store: store, Clock: clock.System{}, Name: m.name(), Address: m.address, Peers: peers, Logger: logger,
		RepairPolicy: repair.Policy{UnreachableAfter: 2 * config.ElectionTimeout, DeadAfter: catchUpBound / 4, TargetVoters: coreVoters},
	})
	is.NoErr(err)
	mux := http.NewServeMux()
	mux.Handle(replica.PeerPath, log.PeerHandler())
	mux.Handle("/", server.Handler())
	var handler http.Handler = mux
	m.handler.Store(&handler)
	m.log = log
	ctx, cancel := context.WithCancel(context.Background())
	m.gone.Go(func() { _ = server.Run(ctx) })
	m.gone.Go(func() { _ = log.Run(ctx) })
	m.stop = func() {
		cut.Store(true)
		m.handler.Store(nil)
		cancel()
	}
}

// halt ends the process, if one is running. Calls to and from it fail from then on.
func (m *machine) halt() {
	if m.stop != nil {
		m.stop()
		m.stop = nil
	}
}

// hold makes all calls between the machines take so long.
func (c *core) hold(delay time.Duration) {
	for _, m := range c.machines {
		m.held.Store(int64(delay))
	}
}

func (c *core) eventually(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not reached within %v: %s", patience, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// leader waits for a leader.
func (c *core) leader() *machine {
	c.t.Helper()
	var leader *machine
	c.eventually("a leader", func() bool {
		leader = c.currentLeader()
		return leader != nil
	})
	return leader
}

// currentLeader returns the running machine that leads in the highest term; nil: none.
func (c *core) currentLeader() *machine {
	var leader *machine
	term := uint64(0)
	for _, m := range c.machines {
		if status := m.log.Status(); m.handler.Load() != nil && status.IsLeader && status.Term > term {
			leader, term = m, status.Term
		}
	}
	return leader
}

// followers returns the first voters other than the leader.
func (c *core) followers() []*machine {
	leader := c.leader()
	return slices.DeleteFunc(slices.Clone(c.machines[:coreVoters]), func(m *machine) bool { return m == leader })
}

// watch records the memberships of the leaders until the channel is closed.
func (c *core) watch(end <-chan struct{}) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		if leader := c.currentLeader(); leader != nil {
			membership := leader.log.Status().Membership
			seen := seenMembership{at: time.Now(), learners: len(membership.GetLearners())}
			for _, voter := range membership.GetVoters() {
				seen.voters = append(seen.voters, voter.GetIncarnation())
			}
			slices.Sort(seen.voters)
			last := len(c.memberships) - 1
			if last < 0 || !slices.Equal(c.memberships[last].voters, seen.voters) || c.memberships[last].learners != seen.learners {
				c.memberships = append(c.memberships, seen)
			}
		}
		c.mu.Unlock()
	}
}

// loseDisks replaces the disks of the machines by empty ones. Their processes start again at once.
func (c *core) loseDisks(lost ...*machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range lost {
		m.halt()
	}
	for _, m := range lost {
		m.start()
	}
}

// replaced reports whether the machines, and no others, are the voters.
func (c *core) replaced(machines ...*machine) bool {
	leader := c.currentLeader()
	if leader == nil {
		return false
	}
	membership := leader.log.Status().Membership
	if len(membership.GetVoters()) != len(machines) || len(membership.GetLearners()) > 0 {
		return false
	}
	for _, m := range machines {
		isVoter := func(voter *apiv1.MemberInfo) bool { return voter.GetIncarnation() == m.incarnation() }
		if !slices.ContainsFunc(membership.GetVoters(), isVoter) {
			return false
		}
	}
	return true
}

// hasSeenAllVoters reports whether the last membership seen has all voters and no learner.
func (c *core) hasSeenAllVoters() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.memberships[len(c.memberships)-1]
	return len(last.voters) == coreVoters && last.learners == 0
}

// history describes the memberships since the time, and how long there were four voters in all.
func (c *core) history(since time.Time) (description string, four time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var steps []string
	for i, seen := range c.memberships {
		if seen.at.Before(since) {
			continue
		}
		steps = append(steps, fmt.Sprintf("%d+%d at %d ms", len(seen.voters), seen.learners, seen.at.Sub(since).Milliseconds()))
		if len(seen.voters) == coreVoters-1 && i+1 < len(c.memberships) {
			four += c.memberships[i+1].at.Sub(seen.at)
		}
	}
	return strings.Join(steps, ", "), four
}
