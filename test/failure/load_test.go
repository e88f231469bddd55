package failure_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
)

const (
	loadCallers  = 8
	loadInterval = 10 * time.Millisecond // between two requests of one caller
	loadDeadline = 10 * time.Second      // of each request

	// withdrawalLimit is the specified bound after which a withdrawn endpoint
	// receives no new requests.
	withdrawalLimit = 4 * time.Second
)

// load sends idempotent requests at a steady rate and records those that don't get a
// complete response.
type load struct {
	cluster *cluster
	cancel  context.CancelFunc
	callers errgroup.Group

	sent   atomic.Int64
	failed atomic.Int64

	mu       sync.Mutex
	failures []string
}

// startLoad starts loadCallers callers that send requests, in turn, to the addresses
// that targets returns at the time.
func startLoad(c *cluster, client *caller, targets func() []string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cluster: c, cancel: cancel}
	c.t.Cleanup(l.stop)
	for id := range loadCallers {
		l.callers.Go(func() error {
			l.run(ctx, client, id, targets)
			return nil
		})
	}
	return l
}

func (l *load) run(ctx context.Context, client *caller, id int, targets func() []string) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for n := id; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		addresses := targets()
		if len(addresses) == 0 {
			continue
		}
		address := addresses[n%len(addresses)]
		body := fmt.Sprintf("caller %d request %d", id, n)
		r := client.send(address, http.MethodPut, plansPath, "", body, loadDeadline)
		l.sent.Add(1)
		if !r.done() || r.body != body {
			l.recordFailure(address, body, r)
		}
	}
}

func (l *load) recordFailure(address, body string, r reply) {
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("%s at %s: status %d, outcome %q, error %v, response %q",
		body, address, r.status, r.outcome, r.err, r.body))
}

// awaitMoreRequests waits until 200 more requests have ended.
func (l *load) awaitMoreRequests() {
	l.cluster.t.Helper()
	const more = 200
	from := l.sent.Load()
	l.cluster.await("further requests to end", func() bool { return l.sent.Load() >= from+more })
}

// stop ends the load and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	_ = l.callers.Wait()
}

// expectNoFailure fails the test with the first 5 failed requests, if any.
func (l *load) expectNoFailure() {
	l.cluster.t.Helper()
	l.cluster.t.Logf("%d requests, %d failed", l.sent.Load(), l.failed.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, failure := range l.failures {
		if i == 5 {
			break
		}
		l.cluster.t.Error(failure)
	}
}

// balancer stands in for the platform's load balancer: it selects the entries whose
// health check passes.
type balancer struct {
	healthyEntries atomic.Pointer[[]string]
	cancel         context.CancelFunc
	checks         errgroup.Group
}

// startBalancer starts health checks of every entry. Their interval is far below the
// entries' balancer_delay of 500 ms, so that a terminating entry is deselected in
// time.
func startBalancer(c *cluster, client *caller) *balancer {
	const checkInterval = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{cancel: cancel}
	b.checkHealth(c, client)
	b.checks.Go(func() error {
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				b.checkHealth(c, client)
			}
		}
	})
	c.t.Cleanup(b.stop)
	return b
}

func (b *balancer) checkHealth(c *cluster, client *caller) {
	var healthy []string
	for _, e := range c.entries {
		if client.healthy(e.callerAddress) {
			healthy = append(healthy, e.callerAddress)
		}
	}
	b.healthyEntries.Store(&healthy)
}

// healthy returns the caller addresses of the entries that passed the last check.
func (b *balancer) healthy() []string { return *b.healthyEntries.Load() }

func (b *balancer) stop() {
	b.cancel()
	_ = b.checks.Wait()
}

// withdraw withdraws the endpoint, which continues to serve, and returns the time of
// the acknowledgement.
func withdraw(c *cluster, withdrawn *endpoint.Endpoint) time.Time {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	if _, err := withdrawn.Withdraw(ctx); err != nil {
		c.t.Fatalf("withdraw %s: %v", withdrawn.ID(), err)
	}
	return time.Now()
}
