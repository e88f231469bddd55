package relay

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Relay forwards connections from clients to one target address. Its methods may be
// called concurrently.
type Relay struct {
	target  string
	address string // at which it listens
	group   errgroup.Group

	mu       sync.Mutex
	listener net.Listener
	identify func(client net.Addr) string
	faultOf  func(source string) Fault
	links    map[*link]bool       // open connections
	held     map[net.Conn]string  // connections without a response, and their sources
	pacers   map[string]*[2]pacer // by source, then by direction
	traffic  Traffic
	closing  bool
}

// Traffic counts the bytes read from clients and from the target.
type Traffic struct {
	ToTarget int64 // forwarded
	ToClient int64 // forwarded
	Dropped  int64 // read and discarded, in either direction
}

// Start listens on a free loopback port and relays to target, a host:port.
func Start(ctx context.Context, target string) (*Relay, error) {
	return StartAt(ctx, "127.0.0.1:0", target)
}

// StartAt listens on address and relays to target; both are host:port.
func StartAt(ctx context.Context, address, target string) (*Relay, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay")
	}
	r := &Relay{target: target, address: listener.Addr().String(), links: map[*link]bool{}, held: map[net.Conn]string{}, pacers: map[string]*[2]pacer{}}
	r.identify, r.faultOf = func(net.Addr) string { return "" }, func(string) Fault { return Fault{} }
	r.serve(ctx, listener)
	return r, nil
}

// serve accepts connections from the listener until it is closed.
func (r *Relay) serve(ctx context.Context, listener net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		_ = listener.Close()
		return
	}
	r.listener = listener
	r.group.Go(func() error {
		r.acceptLoop(context.WithoutCancel(ctx), listener)
		return nil
	})
}

// Address returns the host:port on which the relay listens.
func (r *Relay) Address() string { return r.address }

// StopListening makes the system refuse new connections, as it does if no process
// listens at the address. Open connections stay open.
func (r *Relay) StopListening() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// ListenAgain listens at the same address after StopListening.
func (r *Relay) ListenAgain(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", r.address)
	if err != nil {
		return errors.Wrap(err, "listen for relay")
	}
	r.serve(ctx, listener)
	return nil
}

// Identify sets the function that returns the name of the source of a connection, by the client's address. It is called
// once for each connection, before any data is forwarded.
func (r *Relay) Identify(identify func(client net.Addr) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identify = identify
}

// SetFault replaces the fault on all open and new connections. Connections
// blackholed by BlackholeOpen stay blackholed.
func (r *Relay) SetFault(fault Fault) { r.SetFaults(func(string) Fault { return fault }) }

// SetFaults is SetFault with a fault for each source of connections, which must not call the relay.
func (r *Relay) SetFaults(faultOf func(source string) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultOf = faultOf
	for l := range r.links {
		l.setFault(faultOf(l.source))
	}
	for client, source := range r.held {
		if !faultOf(source).Silent {
			_ = client.Close()
		}
	}
}

// BlackholeOpen permanently drops all further data on the connections that are open
// now, in both directions, without closing them. New connections are not affected.
func (r *Relay) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.blackhole()
	}
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
	for client := range r.held {
		_ = client.Close()
	}
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Traffic returns the bytes read so far, including those of closed connections.
func (r *Relay) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.traffic
}

// Close stops listening, closes all connections and waits until they have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.StopListening()
	r.CloseConnections()
	_ = r.group.Wait()
}

func (r *Relay) acceptLoop(ctx context.Context, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() error {
			r.relayConnection(ctx, client)
			return nil
		})
	}
}

// relayConnection relays one client's connection until both directions have ended.
func (r *Relay) relayConnection(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	source := r.sourceOf(client)
	if r.hold(client, source) {
		r.discard(client)
		return
	}
	if r.refusesNew(source) {
		return
	}
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	l := newLink(source, client, target)
	if !r.register(l) {
		l.close()
		return
	}
	defer r.unregister(l)
	l.run(r.recordTraffic)
}

func (r *Relay) sourceOf(client net.Conn) string {
	r.mu.Lock()
	identify := r.identify
	r.mu.Unlock()
	return identify(client.RemoteAddr())
}

func (r *Relay) refusesNew(source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultOf(source).RefuseNew || r.closing
}

// hold adds a connection that gets no response; it reports false if the source's connections are forwarded.
func (r *Relay) hold(client net.Conn, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing || !r.faultOf(source).Silent {
		return false
	}
	r.held[client] = source
	return true
}

// discard reads from a held connection until it is closed.
func (r *Relay) discard(client net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := client.Read(buffer)
		r.recordTraffic(toTarget, n, true)
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, client)
}

// register adds an open connection; it reports false if the relay is closing.
func (r *Relay) register(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return false
	}
	l.setFault(r.faultOf(l.source))
	if r.pacers[l.source] == nil {
		r.pacers[l.source] = new([2]pacer)
	}
	l.pacers = r.pacers[l.source]
	r.links[l] = true
	return true
}

func (r *Relay) unregister(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) recordTraffic(d direction, n int, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case dropped:
		r.traffic.Dropped += int64(n)
	case d == toTarget:
		r.traffic.ToTarget += int64(n)
	default:
		r.traffic.ToClient += int64(n)
	}
}
