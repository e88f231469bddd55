package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/entry"
)

// The lease expires between the claim and the send: the request must not be sent,
// and its claim is aborted.
func TestLeaseExpiresBetweenClaimAndSend(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(received, respondOK))
	manual := clock.NewManual(time.Now())
	e := startEntry(t, c, func(config *entry.Config) { config.Clock = manual })
	c.mu.Lock()
	c.onTake = func() {
		c.renewalsFail = true
		manual.Suspend(5 * time.Second)
	}
	c.mu.Unlock()
	got := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
	is.Equal(got.code, "lease-expired")
	is.Equal(got.outcome, "not-run")
	is.Equal(received.total(), 0)
	state, _ := c.table.Lookup("k")
	is.Equal(state.GetOutcome().String(), "OUTCOME_NOT_RUN")
	is.True(!e.healthy(t))
}

func TestEntryWithoutLeaseRefusesRequests(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(received, respondOK))
	manual := clock.NewManual(time.Now())
	e := startEntry(t, c, func(config *entry.Config) {
		config.Clock = manual
		config.Limits.LeaseGrace = 10 * time.Millisecond
	})
	is.Equal(send(t, e, "POST", "/orders", "before", "Idempotency-Key", "k").outcome, "done")
	c.setDown(true)
	manual.Advance(4 * time.Second)
	is.True(!e.healthy(t))
	for _, path := range []string{"/plans", "/bulk"} {
		got := send(t, e, "GET", path, "", "Idempotency-Key", "k")
		is.Equal(got.code, "lease-expired")
		is.Equal(got.outcome, "not-run")
	}
	// An earlier request with the key was run, so "not run" would be wrong.
	is.Equal(send(t, e, "POST", "/orders", "before", "Idempotency-Key", "k").outcome, "unknown")
	is.Equal(send(t, e, "POST", "/orders", "new").outcome, "not-run")
	is.Equal(received.total(), 1)
	c.setDown(false)
	eventually(t, "the entry holds a lease again", func() bool { return e.healthy(t) })
	is.Equal(send(t, e, "POST", "/orders", "before", "Idempotency-Key", "k").outcome, "done")
	is.Equal(received.total(), 1)
}

// A withdrawn endpoint gets no new requests and completes the one in flight.
func TestWithdrawnEndpointGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	leaving, staying := newBodyCounter(), newBodyCounter()
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	serveEndpoint(t, c, "leaving", countBodies(leaving, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	}))
	e := startEntry(t, c, nil)
	first := make(chan callerResponse, 1)
	go func() {
		got, _ := trySend(e, "POST", "/orders", "in flight")
		first <- got
	}()
	eventually(t, "the endpoint to withdraw has an order", func() bool { return leaving.total() == 1 })
	t.Cleanup(releaseOnce) // a failed check must not wait for the endpoint's request
	c.withdraw("leaving")
	serveEndpoint(t, c, "staying", countBodies(staying, respondOK))
	eventually(t, "the entry knows of the withdrawal", c.allChangesKnown)
	for i := range 50 {
		is.Equal(send(t, e, "POST", "/orders", fmt.Sprint(i)).outcome, "done")
	}
	is.Equal(leaving.total(), 1)
	is.Equal(staying.total(), 50)
	releaseOnce()
	is.Equal((<-first).outcome, "done")
}

// Unchanged grants are sent as their tag. They are sent in full again to a new
// leader, which does not know the tag.
func TestUnchangedGrantsAreSentAsTag(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	serveEndpoint(t, c, "e1", http.HandlerFunc(respondOK))
	e := startEntry(t, c, nil)
	named := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.taggedRenewals
	}
	eventually(t, "a renewal has a tag", func() bool { return named() > 0 })
	c.mu.Lock()
	clear(c.lastTags)
	before := c.taggedRenewals
	c.mu.Unlock()
	eventually(t, "a renewal has the new leader's tag", func() bool { return named() > before })
	is.Equal(send(t, e, "GET", "/plans", "").outcome, "done")
}

// An endpoint that announces itself at another address gets new requests there.
func TestEndpointAnnouncedAtNewAddress(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	before, after := newBodyCounter(), newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(before, respondOK))
	e := startEntry(t, c, nil)
	is.Equal(send(t, e, "POST", "/orders", "first").outcome, "done")
	c.withdraw("e1")
	serveEndpoint(t, c, "e1", countBodies(after, respondOK))
	eventually(t, "an order goes to the new address", func() bool {
		send(t, e, "POST", "/orders", "later")
		return after.total() > 0
	})
	seen := before.total()
	for range 20 {
		is.Equal(send(t, e, "POST", "/orders", "later").outcome, "done")
	}
	is.Equal(before.total(), seen)
}

// An entry never reverts to an older revision, and a control process with an
// older revision does not renew its lease.
func TestRevisionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(received, respondOK))
	manual := clock.NewManual(time.Now())
	e := startEntry(t, c, func(config *entry.Config) { config.Clock = manual })
	is.Equal(send(t, e, "POST", "/orders", "first").outcome, "done")
	c.revertRevision()
	is.Equal(send(t, e, "POST", "/orders", "second").outcome, "done") // its endpoint is still known
	manual.Advance(4 * time.Second)
	is.True(!e.healthy(t))
	is.Equal(send(t, e, "POST", "/orders", "third").outcome, "not-run")
	is.Equal(received.total(), 2)
}
