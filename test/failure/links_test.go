package failure_test

import (
	"context"
	"sync"
	"testing"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// links holds the relays between pairs of processes, so that a test can inject
// network faults into any of them.
type links struct {
	t testing.TB

	mu     sync.Mutex
	relays map[string]map[string]*relay.Relay // by name of the dialing process, then of the target
}

func newLinks(t testing.TB) *links {
	return &links{t: t, relays: make(map[string]map[string]*relay.Relay)}
}

// startRelay starts a relay to address for connections of process from to process
// to, and returns the relay's address.
func (l *links) startRelay(from, to, address string) string {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	started, err := relay.Start(context.Background(), address)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(started.Close)
	if l.relays[from] == nil {
		l.relays[from] = make(map[string]*relay.Relay)
	}
	l.relays[from][to] = started
	return started.Address()
}

// blackhole drops all data, in both directions, on the connections that the process
// dials.
func (l *links) blackhole(from string) {
	l.setFault(func(f, _ string) bool { return f == from }, relay.Fault{DropToTarget: true, DropToClient: true})
}

// blackholeBothWays drops all data, in both directions, on all connections from and
// to the process.
func (l *links) blackholeBothWays(name string) {
	l.setFault(func(f, to string) bool { return f == name || to == name },
		relay.Fault{DropToTarget: true, DropToClient: true})
}

// blackholeOutgoing drops the data that the process sends, on connections dialed by
// it or by others; data sent to it still arrives.
func (l *links) blackholeOutgoing(name string) {
	l.setFault(func(f, _ string) bool { return f == name }, relay.Fault{DropToTarget: true})
	l.setFault(func(_, to string) bool { return to == name }, relay.Fault{DropToClient: true})
}

// restore removes the faults of all connections from and to the process.
func (l *links) restore(name string) {
	l.setFault(func(f, to string) bool { return f == name || to == name }, relay.Fault{})
}

func (l *links) setFault(match func(from, to string) bool, fault relay.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, targets := range l.relays {
		for to, r := range targets {
			if match(from, to) {
				r.SetFault(fault)
			}
		}
	}
}
