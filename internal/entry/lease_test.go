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

// The lease runs out between the claim and the send.
func TestLeaseEndsBeforeTheSend(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	serveEndpoint(t, c, "e1", recording(received, ok))
	manual := clock.NewManual(time.Now())
	e := startEntry(t, c, func(config *entry.Config) { config.Clock = manual })
	c.mu.Lock()
	c.onTake = func() {
		c.renewDown = true
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

func TestCutOffEntryTakesNothing(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	serveEndpoint(t, c, "e1", recording(received, ok))
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
	// The key ran before, so "not run" would be a lie about it.
	is.Equal(send(t, e, "POST", "/orders", "before", "Idempotency-Key", "k").outcome, "unknown")
	is.Equal(send(t, e, "POST", "/orders", "new").outcome, "not-run")
	is.Equal(received.total(), 1)
	c.setDown(false)
	eventually(t, "the entry holds a lease again", func() bool { return e.healthy(t) })
	is.Equal(send(t, e, "POST", "/orders", "before", "Idempotency-Key", "k").outcome, "done")
	is.Equal(received.total(), 1)
}

// A withdrawn endpoint gets nothing new and keeps what is in flight.
func TestWithdrawal(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	leaving, staying := newRecord(), newRecord()
	release := make(chan struct{})
	letGo := sync.OnceFunc(func() { close(release) })
	serveEndpoint(t, c, "leaving", recording(leaving, func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	}))
	e := startEntry(t, c, nil)
	first := make(chan answer, 1)
	go func() {
		got, _ := trySend(e, "POST", "/orders", "in flight")
		first <- got
	}()
	eventually(t, "the leaving endpoint has an order", func() bool { return leaving.total() == 1 })
	t.Cleanup(letGo) // a failed check must not wait for the endpoint's request
	c.withdraw("leaving")
	serveEndpoint(t, c, "staying", recording(staying, ok))
	eventually(t, "the withdrawal is in force", c.allKnown)
	for i := range 50 {
		is.Equal(send(t, e, "POST", "/orders", fmt.Sprint(i)).outcome, "done")
	}
	is.Equal(leaving.total(), 1)
	is.Equal(staying.total(), 50)
	letGo()
	is.Equal((<-first).outcome, "done")
}

// Unchanged grants are named by their tag; a new leader, which does not know
// it, is told them again.
func TestGrantsAreNamedByTheirTag(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	serveEndpoint(t, c, "e1", http.HandlerFunc(ok))
	e := startEntry(t, c, nil)
	named := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.tagged
	}
	eventually(t, "a renewal names a tag", func() bool { return named() > 0 })
	c.mu.Lock()
	clear(c.tags)
	before := c.tagged
	c.mu.Unlock()
	eventually(t, "the new leader's tag is named", func() bool { return named() > before })
	is.Equal(send(t, e, "GET", "/plans", "").outcome, "done")
}

// An endpoint that announces itself at another address gets what is new there.
func TestAnnouncedAgainElsewhere(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	before, after := newRecord(), newRecord()
	serveEndpoint(t, c, "e1", recording(before, ok))
	e := startEntry(t, c, nil)
	is.Equal(send(t, e, "POST", "/orders", "first").outcome, "done")
	c.withdraw("e1")
	serveEndpoint(t, c, "e1", recording(after, ok))
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

// What an entry knows never goes back, and a process that knows less does not
// renew its lease.
func TestRevisionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	serveEndpoint(t, c, "e1", recording(received, ok))
	manual := clock.NewManual(time.Now())
	e := startEntry(t, c, func(config *entry.Config) { config.Clock = manual })
	is.Equal(send(t, e, "POST", "/orders", "first").outcome, "done")
	c.moveBack()
	is.Equal(send(t, e, "POST", "/orders", "second").outcome, "done") // its endpoint is still known
	manual.Advance(4 * time.Second)
	is.True(!e.healthy(t))
	is.Equal(send(t, e, "POST", "/orders", "third").outcome, "not-run")
	is.Equal(received.total(), 2)
}
