package failure_test

import (
	"context"
	"sync"
	"testing"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// links puts a relay between each pair of processes that asks for one, so that
// a test can cut any of them.
type links struct {
	t testing.TB

	mu     sync.Mutex
	relays map[string]map[string]*relay.Relay // by dialing process, then by target
}

func newLinks(t testing.TB) *links {
	return &links{t: t, relays: make(map[string]map[string]*relay.Relay)}
}

// startRelay returns the address under which the process from reaches to.
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

// blackhole swallows all bytes of the process's own connections, both ways.
func (l *links) blackhole(from string) {
	l.setFault(func(f, _ string) bool { return f == from }, relay.Fault{DropToTarget: true, DropToClient: true})
}

// blackholeBothWays cuts the process off from everybody, whoever dials.
func (l *links) blackholeBothWays(name string) {
	l.setFault(func(f, to string) bool { return f == name || to == name },
		relay.Fault{DropToTarget: true, DropToClient: true})
}

// blackholeOutgoing swallows what the process sends on connections that it or
// others opened; what others send still arrives.
func (l *links) blackholeOutgoing(name string) {
	l.setFault(func(f, _ string) bool { return f == name }, relay.Fault{DropToTarget: true})
	l.setFault(func(_, to string) bool { return to == name }, relay.Fault{DropToClient: true})
}

// restore lets everything from and to the process pass again.
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
