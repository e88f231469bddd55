package relay

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Relay stands between clients and one target address.
type Relay struct {
	target   string
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex
	fault   Fault
	links   map[*link]bool
	traffic Traffic
	closing bool
}

// Traffic counts bytes.
type Traffic struct {
	ToTarget int64 // passed on
	ToClient int64 // passed on
	Dropped  int64 // read and dropped, in either direction
}

// Start listens at a free loopback port and relays to the target.
func Start(ctx context.Context, target string) (*Relay, error) {
	return StartAt(ctx, "127.0.0.1:0", target)
}

// StartAt listens at the loopback address and relays to the target.
func StartAt(ctx context.Context, address, target string) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay")
	}
	r := &Relay{target: target, listener: listener, links: map[*link]bool{}}
	r.group.Go(func() error {
		r.accept(context.WithoutCancel(ctx))
		return nil
	})
	return r, nil
}

// Address returns host:port at which clients reach the target.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault replaces the fault on all open and new connections. Connections
// blackholed by BlackholeOpen stay blackholed.
func (r *Relay) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	for l := range r.links {
		l.setFault(fault)
	}
}

// BlackholeOpen silences the open connections in both directions for good,
// while new ones work.
func (r *Relay) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silenceForGood()
	}
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Traffic returns the bytes read so far.
func (r *Relay) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.traffic
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.CloseConnections()
	_ = r.group.Wait()
}

func (r *Relay) accept(ctx context.Context) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() error {
			r.serve(ctx, client)
			return nil
		})
	}
}

// serve relays one connection until either side closes.
func (r *Relay) serve(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	if r.refuses() {
		return
	}
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	l := newLink(client, target)
	if !r.register(l) {
		l.close()
		return
	}
	defer r.unregister(l)
	l.run(r.count)
}

func (r *Relay) refuses() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault.RefuseNew || r.closing
}

func (r *Relay) register(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return false
	}
	l.setFault(r.fault)
	r.links[l] = true
	return true
}

func (r *Relay) unregister(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) count(d direction, n int, swallowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case swallowed:
		r.traffic.Dropped += int64(n)
	case d == toTarget:
		r.traffic.ToTarget += int64(n)
	default:
		r.traffic.ToClient += int64(n)
	}
}
