package failure_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
)

// A non-idempotent request must not run twice if its entry is killed while the
// request is in flight and the caller then resends it through three other entries.
func TestOrderResentAtThreeEntriesAfterItsEntryIsKilledRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3, entries: 4})
	c.publish(dispatchConfiguration())
	target := c.startEndpoint("domain-1", endpoint.Behaviour{})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)

	const orders = 5
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		target.SetBehaviour(endpoint.Behaviour{Delay: 2 * time.Second})
		var first sync.WaitGroup
		first.Go(func() { client.send(c.entries[0].callerAddress, http.MethodPost, ordersPath, key, key, 30*time.Second) })
		c.await("the order to reach the endpoint", func() bool { return target.Record().Runs[key] > 0 })
		c.entries[0].kill()
		replies := make([]reply, 3)
		var resent sync.WaitGroup
		for n := range replies {
			resent.Go(func() {
				replies[n] = client.send(c.entries[n+1].callerAddress, http.MethodPost, ordersPath, key, key, 10*time.Second)
			})
		}
		resent.Wait()
		first.Wait()
		is.Equal(target.Record().Runs[key], 1) // the order ran once
		for _, r := range replies {
			is.NoErr(r.err)
			is.True(r.outcome == outcomeUnknown || r.done()) // never not-run: the order may have run
		}
		target.SetBehaviour(endpoint.Behaviour{})
		c.entries[0].start()
		c.await("the killed entry to serve again", func() bool { return client.healthy(c.entries[0].callerAddress) })
	}
}

// Three entries that receive the same key at once must run the request once and each
// return its response.
func TestSameOrderAtThreeEntriesAtOnceRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3, entries: 3})
	c.publish(dispatchConfiguration())
	target := c.startEndpoint("domain-1", endpoint.Behaviour{})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)

	for i := range 50 {
		key := fmt.Sprintf("order-%d", i)
		replies := make([]reply, len(c.entries))
		var sent sync.WaitGroup
		for n, e := range c.entries {
			sent.Go(func() {
				replies[n] = client.send(e.callerAddress, http.MethodPost, ordersPath, key, key, 10*time.Second)
			})
		}
		sent.Wait()
		is.Equal(target.Record().Runs[key], 1)
		for _, r := range replies {
			is.True(r.done())
			is.Equal(r.body, key) // each caller gets the complete response
		}
	}
}

// Entries that hold no slot of the only endpoint must wait for one instead of failing
// or exceeding the endpoint's limit.
func TestOneEndpointServesMoreEntriesThanItHasSlots(t *testing.T) {
	const entries = 12 // the endpoint has 8 slots
	is := is.New(t)
	c := newCluster(t, layout{voters: 3, entries: entries})
	c.publish(dispatchConfiguration())
	target := c.startEndpoint("domain-1", endpoint.Behaviour{})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	for round := range 5 {
		var sent sync.WaitGroup
		for n, e := range c.entries {
			sent.Go(func() {
				key := fmt.Sprintf("order-%d-%d", round, n)
				r := client.send(e.callerAddress, http.MethodPost, ordersPath, key, key, loadDeadline)
				if !r.done() {
					t.Errorf("%s answered %s with status %d, outcome %q: %s", e.name, key, r.status, r.outcome, r.body)
				}
			})
		}
		sent.Wait()
	}
	is.True(target.Record().PeakInFlight <= 8) // the limit applies to all entries together
}

// An entry that can't reach the control processes must not send requests to an
// endpoint that was withdrawn meanwhile.
func TestWithdrawalWhileAnEntryIsCutOff(t *testing.T) {
	is := is.New(t)
	links := newLinks(t)
	c := newCluster(t, layout{voters: 3, entries: 2, controlAddress: links.startRelay})
	c.publish(dispatchConfiguration())
	leaving := c.startEndpoint("domain-1", endpoint.Behaviour{})
	staying := c.startEndpoint("domain-2", endpoint.Behaviour{})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	load := startLoad(c, client, func() []string { return []string{c.entries[0].callerAddress, c.entries[1].callerAddress} })

	links.blackhole("entry-2")
	withdrawn := withdraw(c, leaving)
	c.await("the withdrawal to be in force", func() bool { return time.Since(withdrawn) > withdrawalLimit })
	before := leaving.Record().Total
	served := staying.Record().Total
	c.await("more requests", func() bool { return staying.Record().Total > served+100 })
	is.Equal(leaving.Record().Total, before) // no new requests after the limit
	is.True(!client.healthy(c.entries[1].callerAddress))
	refused := client.send(c.entries[1].callerAddress, http.MethodPost, ordersPath, "", "late-order", 3*time.Second)
	is.Equal(refused.outcome, outcomeNotRun)
	// A request with the same key may have run through another entry, which this
	// entry can't find out.
	refused = client.send(c.entries[1].callerAddress, http.MethodPost, ordersPath, "late-order", "x", 3*time.Second)
	is.Equal(refused.outcome, outcomeUnknown)
	is.Equal(staying.Record().Runs["late-order"]+leaving.Record().Runs["late-order"], 0)

	links.restore("entry-2")
	c.await("the entry to serve again", func() bool { return client.healthy(c.entries[1].callerAddress) })
	load.stop()
}

// A rolling restart of the entries must not fail any idempotent request.
func TestEntriesTerminatedInTurnUnderLoad(t *testing.T) {
	c := newCluster(t, layout{voters: 3, entries: 3})
	c.publish(dispatchConfiguration())
	c.startEndpoint("domain-1", endpoint.Behaviour{Delay: 20 * time.Millisecond})
	c.startEndpoint("domain-2", endpoint.Behaviour{Delay: 20 * time.Millisecond})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	lb := startBalancer(c, client)
	load := startLoad(c, client, lb.healthy)
	for _, e := range c.entries {
		load.awaitMoreRequests()
		e.terminate()
		load.awaitMoreRequests()
		e.start()
		c.await(e.name+" to serve again", func() bool { return client.healthy(e.callerAddress) })
	}
	load.awaitMoreRequests()
	load.stop()
	lb.stop()
	load.expectNoFailure()
}

// Entries must serve idempotent requests without any control process for at least 3
// seconds.
func TestControlOutageDoesNotAffectIdempotentRequests(t *testing.T) {
	const outage = 3 * time.Second
	c := newCluster(t, layout{voters: 3, entries: 2})
	c.publish(dispatchConfiguration())
	c.startEndpoint("domain-1", endpoint.Behaviour{})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	load := startLoad(c, client, func() []string { return []string{c.entries[0].callerAddress, c.entries[1].callerAddress} })
	load.awaitMoreRequests()
	for _, m := range c.members {
		m.freeze()
	}
	frozen := time.Now()
	c.await("the outage to pass", func() bool { return time.Since(frozen) >= outage })
	for _, m := range c.members {
		m.resume()
	}
	load.awaitMoreRequests()
	load.stop()
	load.expectNoFailure()
}

// A non-idempotent request must not be sent over a pooled connection that may be
// dead: without a response its outcome would be indeterminate.
func TestOpenConnectionsToAnEndpointAreBlackholed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 1, entries: 1})
	c.publish(dispatchConfiguration())
	target, targetRelay := c.startEndpointBehindRelay("domain-1")
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	address := c.entries[0].callerAddress
	for round := range 3 {
		targetRelay.BlackholeOpen()
		blackholedAt := time.Now()
		// The entry may reuse a connection that responded within the last second.
		c.await("pooled connections to age", func() bool { return time.Since(blackholedAt) > 1500*time.Millisecond })
		key := fmt.Sprintf("order-%d", round)
		order := client.send(address, http.MethodPost, ordersPath, key, key, 10*time.Second)
		is.Equal(order.outcome, outcomeDone) // sent over a working connection
		is.Equal(target.Record().Runs[key], 1)
		targetRelay.BlackholeOpen()
		plan := client.send(address, http.MethodGet, plansPath, "", "", 10*time.Second)
		is.Equal(plan.outcome, outcomeDone) // retried over a new connection
	}
}
