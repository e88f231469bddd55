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

func TestOrderIsResentAtThreeEntriesAfterItsOwnWasKilled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3, entries: 4})
	c.publish(dispatchConfiguration())
	backend := c.startEndpoint("domain-1", endpoint.Behaviour{})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)

	const orders = 5
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		backend.SetBehaviour(endpoint.Behaviour{Delay: 2 * time.Second})
		var first sync.WaitGroup
		first.Go(func() { client.send(c.entries[0].callerAddress, http.MethodPost, ordersPath, key, key, 30*time.Second) })
		c.await("the order to reach the endpoint", func() bool { return backend.Record().Runs[key] > 0 })
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
		is.Equal(backend.Record().Runs[key], 1) // the order ran once
		for _, r := range replies {
			is.NoErr(r.err)
			is.True(r.outcome == outcomeUnknown || r.done()) // the truth about an order that may have run
		}
		backend.SetBehaviour(endpoint.Behaviour{})
		c.entries[0].start()
		c.await("the killed entry to serve again", func() bool { return client.healthy(c.entries[0].callerAddress) })
	}
}

func TestSameOrderAtThreeEntriesAtOnceRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3, entries: 3})
	c.publish(dispatchConfiguration())
	backend := c.startEndpoint("domain-1", endpoint.Behaviour{})
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
		is.Equal(backend.Record().Runs[key], 1)
		for _, r := range replies {
			is.True(r.done())
			is.Equal(r.body, key) // each caller gets the whole answer
		}
	}
}

func TestOneEndpointServesMoreEntriesThanItHasSlots(t *testing.T) {
	const entries = 12 // the endpoint has 8 slots
	is := is.New(t)
	c := newCluster(t, layout{voters: 3, entries: entries})
	c.publish(dispatchConfiguration())
	backend := c.startEndpoint("domain-1", endpoint.Behaviour{})
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
	is.True(backend.Record().PeakInFlight <= 8) // the slots hold over all entries together
}

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
	is.Equal(leaving.Record().Total, before) // no new work after the limit
	is.True(!client.healthy(c.entries[1].callerAddress))
	refused := client.send(c.entries[1].callerAddress, http.MethodPost, ordersPath, "", "late-order", 3*time.Second)
	is.Equal(refused.outcome, outcomeNotRun)
	// An earlier request with the same key may have run at another entry, and
	// this one can't ask.
	refused = client.send(c.entries[1].callerAddress, http.MethodPost, ordersPath, "late-order", "x", 3*time.Second)
	is.Equal(refused.outcome, outcomeUnknown)
	is.Equal(staying.Record().Runs["late-order"]+leaving.Record().Runs["late-order"], 0)

	links.restore("entry-2")
	c.await("the entry to serve again", func() bool { return client.healthy(c.entries[1].callerAddress) })
	load.stop()
}

func TestEntriesTerminatedInTurnUnderLoad(t *testing.T) {
	c := newCluster(t, layout{voters: 3, entries: 3})
	c.publish(dispatchConfiguration())
	c.startEndpoint("domain-1", endpoint.Behaviour{Delay: 20 * time.Millisecond})
	c.startEndpoint("domain-2", endpoint.Behaviour{Delay: 20 * time.Millisecond})
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	front := startBalancer(c, client)
	load := startLoad(c, client, front.healthy)
	for _, e := range c.entries {
		load.awaitMoreRequests()
		e.terminate()
		load.awaitMoreRequests()
		e.start()
		c.await(e.name+" to serve again", func() bool { return client.healthy(e.callerAddress) })
	}
	load.awaitMoreRequests()
	load.stop()
	front.stop()
	load.expectNoFailure()
}

func TestControlOutageIsNotNoticedByIdempotentWork(t *testing.T) {
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

func TestOpenConnectionsToAnEndpointGoSilentForGood(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 1, entries: 1})
	c.publish(dispatchConfiguration())
	backend, link := c.startEndpointBehindRelay("domain-1")
	client := newCaller()
	defer client.close()
	c.awaitServiceServed(client)
	address := c.entries[0].callerAddress
	for round := range 3 {
		link.BlackholeOpen()
		idle := time.Now()
		// A connection that answered within the last second may still be used.
		c.await("pooled connections to age", func() bool { return time.Since(idle) > 1500*time.Millisecond })
		key := fmt.Sprintf("order-%d", round)
		order := client.send(address, http.MethodPost, ordersPath, key, key, 10*time.Second)
		is.Equal(order.outcome, outcomeDone) // sent over a connection that works
		is.Equal(backend.Record().Runs[key], 1)
		link.BlackholeOpen()
		plan := client.send(address, http.MethodGet, plansPath, "", "", 10*time.Second)
		is.Equal(plan.outcome, outcomeDone) // retried over a new connection
	}
}
