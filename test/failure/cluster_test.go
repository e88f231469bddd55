package failure_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// member is one control process; its name, address, data directory and failure
// domain are fixed.
type member struct {
	process
	address       string
	dataDir       string
	failureDomain string
}

// entry is one entry process.
type entry struct {
	process
	callerAddress   string // host:port
	announceAddress string // host:port
	failureDomain   string
}

// cluster is a set of control and entry processes.
type cluster struct {
	t       testing.TB
	dir     string
	members []*member
	entries []*entry
	client  *rpc.Client

	endpointsStarted atomic.Int32 // started so far
}

// layout states which processes a cluster consists of and how they are configured.
type layout struct {
	voters  int
	spares  int
	entries int
	// replaceAfter is how long a voter must be unreachable before it is
	// replaced, as a duration; empty: the daemon's default.
	replaceAfter string
	// snapshotEntries is the number of log entries between snapshots; 0: the
	// daemon's default.
	snapshotEntries int
	// dialAddress returns the address at which control process from dials
	// control process to, which advertises address; nil: address itself.
	dialAddress func(from, to string, address string) string
	// controlAddress returns the address at which an entry dials a control
	// process, which advertises address; nil: address itself.
	controlAddress func(entry, member string, address string) string
}

// newCluster starts the processes and initializes the cluster. The processes are
// killed when the test ends.
func newCluster(t testing.TB, l layout) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	t.Cleanup(c.close)
	for i := range l.voters + l.spares {
		c.members = append(c.members, c.newMember(i))
	}
	for i := range l.entries {
		c.entries = append(c.entries, c.newEntry(i))
	}
	for _, m := range c.members {
		c.writeMemberSettings(m, l)
		m.start()
	}
	c.client = rpc.NewClient(rpc.Options{Addresses: c.addresses()})
	c.initCluster(l.voters)
	for _, e := range c.entries {
		c.writeEntrySettings(e, l)
		e.start()
	}
	return c
}

// newMember returns the ith control process, which isn't started yet. The processes
// are spread over 3 failure domains.
func (c *cluster) newMember(i int) *member {
	name := fmt.Sprintf("control-%d", i+1)
	return &member{
		process:       c.newProcess(name),
		address:       freeAddress(c.t),
		dataDir:       filepath.Join(c.dir, name, "data"),
		failureDomain: fmt.Sprintf("domain-%d", i%3+1),
	}
}

// newEntry returns the ith entry process, which isn't started yet.
func (c *cluster) newEntry(i int) *entry {
	return &entry{
		process:         c.newProcess(fmt.Sprintf("entry-%d", i+1)),
		callerAddress:   freeAddress(c.t),
		announceAddress: freeAddress(c.t),
		failureDomain:   fmt.Sprintf("domain-%d", i%3+1),
	}
}

// newProcess creates the directory of a process for its settings and its log.
func (c *cluster) newProcess(name string) process {
	dir := filepath.Join(c.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		c.t.Fatal(err)
	}
	return process{
		t:       c.t,
		name:    name,
		config:  filepath.Join(dir, "settings.toml"),
		logPath: filepath.Join(dir, "log"),
	}
}

func (c *cluster) writeMemberSettings(m *member, l layout) {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nregion = \"region-1\"\nfailure_domain = %q\ndata = %q\n", m.name, m.failureDomain, m.dataDir)
	fmt.Fprintf(&text, "[control]\nlisten = %q\nadvertise = %q\n", m.address, m.address)
	if l.snapshotEntries != 0 {
		fmt.Fprintf(&text, "snapshot_entries = %d\n", l.snapshotEntries)
	}
	if l.replaceAfter != "" {
		fmt.Fprintf(&text, "replace_after = %q\n", l.replaceAfter)
	}
	for i, other := range c.members {
		fmt.Fprintf(&text, "[[control.members]]\nname = %q\naddress = %q\nfailure_domain = %q\nspare = %t\n",
			other.name, other.address, other.failureDomain, i >= l.voters)
		if l.dialAddress != nil && other != m {
			fmt.Fprintf(&text, "dial = %q\n", l.dialAddress(m.name, other.name, other.address))
		}
	}
	c.writeSettings(&m.process, text.String())
}

func (c *cluster) writeEntrySettings(e *entry, l layout) {
	var addresses []string
	var dial strings.Builder
	for _, m := range c.members {
		addresses = append(addresses, fmt.Sprintf("%q", m.address))
		if l.controlAddress != nil {
			fmt.Fprintf(&dial, "[[entry.dial]]\naddress = %q\nto = %q\n", m.address, l.controlAddress(e.name, m.name, m.address))
		}
	}
	c.writeSettings(&e.process, fmt.Sprintf(`name = %q
region = "region-1"
failure_domain = %q
[entry]
listen = %q
announce_listen = %q
advertise = %q
balancer_delay = "500ms"
drain_delay = "500ms"
control = [%s]
%s`, e.name, e.failureDomain, e.callerAddress, e.announceAddress, e.callerAddress, strings.Join(addresses, ", "), &dial))
}

func (c *cluster) writeSettings(p *process, text string) {
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// initCluster retries the initialization with the first voters members until the
// control processes accept it.
func (c *cluster) initCluster(voters int) {
	c.t.Helper()
	var members []*apiv1.Member
	for _, m := range c.members[:voters] {
		members = append(members, &apiv1.Member{Name: m.name, Address: m.address, FailureDomain: m.failureDomain})
	}
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	c.await("every control process to serve", func() bool {
		_, err := c.client.Control().InitCluster(ctx, &apiv1.InitClusterRequest{Members: members, Operator: "test"})
		return err == nil
	})
}

// close kills the processes and, if the test failed, shows their logs.
func (c *cluster) close() {
	for _, m := range c.members {
		if c.t.Failed() {
			m.showLog()
		}
		m.kill()
	}
	for _, e := range c.entries {
		if c.t.Failed() {
			e.showLog()
		}
		e.kill()
	}
	if c.client != nil {
		c.client.Close()
	}
}

// status returns the leader's view of the cluster.
func (c *cluster) status() (*apiv1.ClusterStatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	return c.client.Control().ClusterStatus(ctx, &apiv1.ClusterStatusRequest{})
}

// leader waits until there is a leader and returns it.
func (c *cluster) leader() *member {
	c.t.Helper()
	var found *member
	c.await("a leader", func() bool {
		status, err := c.status()
		if err != nil {
			return false
		}
		for _, info := range status.GetMembers() {
			if info.GetLeader() {
				found = c.member(info.GetName())
			}
		}
		return found != nil
	})
	return found
}

// follower returns a running control process that is not the leader.
func (c *cluster) follower() *member {
	c.t.Helper()
	leader := c.leader()
	for _, m := range c.members {
		if m != leader && m.running() {
			return m
		}
	}
	c.t.Fatal("no follower is running")
	return nil
}

// member returns the control process of that name, or nil.
func (c *cluster) member(name string) *member {
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// await waits until the condition holds and fails the test if it doesn't within
// conditionTimeout.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	await(c.t, what, condition)
}
