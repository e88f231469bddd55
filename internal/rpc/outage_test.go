package rpc_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// outage is a client of control processes of which none leads until elect is called. The network is in memory.
type outage struct {
	client   *rpc.Client
	requests atomic.Int64
	elected  atomic.Pointer[time.Time] // nil: there is no leader
	calls    sync.WaitGroup

	mu    sync.Mutex
	found []time.Duration // from the election to the answer, of each call that got one
}

// outageProcesses is the number of control processes. The first one is elected, and the last one is cut off: it doesn't
// learn of it.
const outageProcesses = 3

func newOutage(t *testing.T) *outage {
	o := &outage{}
	sockets := make(map[string]*pipeListener)
	var addresses []string
	for i := range outageProcesses {
		address := fmt.Sprintf("10.0.0.%d:7000", i+1)
		addresses = append(addresses, address)
		socket := &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
		sockets[address] = socket
		server := &http.Server{Handler: apiv1.NewClaimsServer(&lookupFunc{respond: func(context.Context, string) (*apiv1.LookupResponse, error) {
			o.requests.Add(1)
			switch hasLeader := o.elected.Load() != nil; {
			case hasLeader && i == 0:
				return &apiv1.LookupResponse{Found: true}, nil
			case hasLeader && i < outageProcesses-1:
				return nil, rpc.NotLeader(addresses[0])
			}
			return nil, rpc.NotLeader("")
		}}), ReadHeaderTimeout: time.Hour}
		go func() { _ = server.Serve(socket) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	o.client = rpc.NewClient(rpc.Options{Addresses: addresses, AttemptTimeout: 350 * time.Millisecond})
	o.client.SetDial(func(ctx context.Context, _, address string) (net.Conn, error) { return sockets[address].dial(ctx) })
	t.Cleanup(o.client.Close)
	return o
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.incoming <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// callTime is the time of a caller's call.
const callTime = 3 * time.Second

// call makes calls one after the other until one is answered.
func (o *outage) call() {
	o.calls.Go(func() {
		for !o.callOnce() {
		}
	})
}

func (o *outage) callOnce() bool {
	_, err := lookup(o.client, callTime)
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.found = append(o.found, time.Since(*o.elected.Load()))
	return true
}

// last lets the outage last for the given time, and returns the number of requests. Calls are made at once, and further
// ones at intervals; 0: none.
func (o *outage) last(length time.Duration, calls int, interval time.Duration) int64 {
	for range calls {
		o.call()
	}
	end := time.Now().Add(length)
	for interval > 0 && time.Until(end) > interval {
		o.calls.Go(func() { o.callOnce() })
		time.Sleep(interval)
	}
	time.Sleep(time.Until(end))
	return o.requests.Load()
}

// elect ends the outage and waits for the answers of all calls.
func (o *outage) elect() {
	now := time.Now()
	o.elected.Store(&now)
	o.calls.Wait()
}

// outageCallers are ways to call during an outage.
var outageCallers = []struct {
	name     string
	calls    int
	interval time.Duration
}{
	{"one call", 1, 0},
	{"50 calls", 50, 0},
	{"20 calls a second", 0, 50 * time.Millisecond},
}

// The processes that are to elect a leader get few requests of each client, whatever the number of its calls. Those of
// the first second are not counted: each call may try once.
func TestClientsAskSeldomDuringAnOutage(t *testing.T) {
	const begin, length, maxRequests = time.Second, 10 * time.Second, 60
	for _, callers := range outageCallers {
		t.Run(callers.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOutage(t)
				first := o.last(begin, callers.calls, callers.interval)
				requests := o.last(length, 0, callers.interval) - first
				o.elect()
				t.Logf("%d requests in the first second, %d in the %v after it", first, requests, length)
				is.True(requests <= maxRequests)
			})
		})
	}
}

// A new leader is found soon: the median of the answers is at most 100 ms above that of a client that does not back off
// after outages of 1 to 2 s, and at most 300 ms after outages of 10 to 11 s.
func TestNewLeadersAreFoundSoon(t *testing.T) {
	const outages = 40
	// Medians without backoff, in the order of outageCallers.
	without := []time.Duration{150 * time.Millisecond, 110 * time.Millisecond, 85 * time.Millisecond}
	for _, c := range []struct{ length, more time.Duration }{
		{time.Second, 100 * time.Millisecond},
		{10 * time.Second, 300 * time.Millisecond},
	} {
		for i, callers := range outageCallers {
			t.Run(fmt.Sprintf("%s, %v", callers.name, c.length), func(t *testing.T) {
				var found []time.Duration
				requests := int64(0)
				for i := range outages {
					bubble.Test(t, func(t *testing.T) {
						o := newOutage(t)
						requests += o.last(c.length+time.Second*time.Duration(i)/outages, callers.calls, callers.interval)
						o.elect()
						found = append(found, o.found...)
					})
				}
				slices.Sort(found)
				median := found[len(found)/2]
				t.Logf("%d requests an outage, answers after %v (median), %v (90 %%), %v (longest)", requests/outages,
					median, found[len(found)*9/10], found[len(found)-1])
				is.New(t).True(median <= without[i]+c.more)
			})
		}
	}
}
