package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/entry"
	"github.com/pistachioport/pistachioport/internal/fake/closedport"
)

// net/http's Transport resends a request by itself when a keep-alive connection
// breaks and the request has an idempotency key or an idempotent method. The
// endpoint must nevertheless receive each order once.
func TestNothingIsResentOnABrokenConnection(t *testing.T) {
	for _, test := range []struct{ name, method, path, body string }{
		{"order with a body", "POST", "/orders", "two tankers"},
		{"order without a body", "POST", "/orders", ""},
		{"non-idempotent GET", "GET", "/refit", ""},
		{"non-idempotent DELETE", "DELETE", "/refit", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := dispatchConfiguration()
			config.Jobs[0].Routes = append(config.Jobs[0].Routes, nonIdempotentRoute("/refit"))
			c := startFakeControl(t, config)
			raw := startRawEndpoint(t, respondOnceThenClose)
			c.announce(endpointAt("e1", raw.address()))
			e := startEntry(t, c, nil)
			first := send(t, e, test.method, test.path, test.body, "Idempotency-Key", "k1", "X-Idempotency-Key", "k1")
			is.Equal(first.outcome, "done")
			second := send(t, e, test.method, test.path, test.body, "Idempotency-Key", "k2", "X-Idempotency-Key", "k2")
			is.Equal(second.outcome, "unknown")
			is.Equal(raw.received.total(), 2)
		})
	}
}

func TestOutcomesOfOrders(t *testing.T) {
	closed := func(net.Conn, int, *http.Request) bool { return false }
	cut := func(text string) func(net.Conn, int, *http.Request) bool {
		return func(conn net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(conn, text)
			return false
		}
	}
	cases := []struct {
		name     string
		script   func(net.Conn, int, *http.Request) bool // nil: nothing listens
		outcome  string
		code     string
		received int
	}{
		{"nothing listens", nil, "not-run", "endpoint-unreachable", 0},
		{"endpoint closes without a response", closed, "unknown", "no-answer", 1},
		{"endpoint never responds", neverRespond, "unknown", "no-answer", 1},
		{"response cut off in its header", cut("HTTP/1.1 200 OK\r\nContent-Le"), "unknown", "no-answer", 1},
		{"response cut off in its body", cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "unknown", "no-answer", 1},
		{"response to another request", cut("HTTP/1.1 200 OK\r\nPistachio-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"), "unknown", "no-answer", 1},
		{"endpoint closes after its response", cut(completeResponse), "done", "", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startFakeControl(t, dispatchConfiguration())
			raw := startRawEndpoint(t, test.script)
			if test.script == nil {
				is.NoErr(raw.listener.Close())
			}
			c.announce(endpointAt("e1", raw.address()))
			e := startEntry(t, c, nil)
			got := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "1500")
			is.Equal(got.outcome, test.outcome)
			is.Equal(got.code, test.code)
			is.Equal(raw.received.total(), test.received)

			again := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "1500")
			is.Equal(again.outcome, test.outcome) // a resend gets the same outcome
			is.Equal(raw.received.total(), test.received)
		})
	}
}

func TestOrderIsSentToAnotherEndpointWhileNothingWasSent(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	for i := range 2 {
		c.announce(endpointAt(fmt.Sprintf("dead%d", i), closedport.Address(t)))
	}
	received := newBodyCounter()
	serveEndpoint(t, c, "live", countBodies(received, respondOK))
	e := startEntry(t, c, nil)
	for i := range 20 {
		body := fmt.Sprint(i)
		is.Equal(send(t, e, "POST", "/orders", body).outcome, "done")
		is.Equal(received.count(body), 1)
	}
}

// An order is sent to three entries at once, twice to each, while the first is in
// flight: it runs once, and all callers get its response.
func TestResendsAtThreeEntriesRunOnce(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	release := make(chan struct{})
	serveEndpoint(t, c, "e1", countBodies(received, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	}))
	entries := startEntries(t, c, 3)
	responses := make(chan callerResponse, 6)
	for range 2 {
		for _, e := range entries {
			go func() {
				got, _ := trySend(e, "POST", "/orders", "x", "Idempotency-Key", "k")
				responses <- got
			}()
		}
	}
	eventually(t, "the endpoint has the order", func() bool { return received.total() > 0 })
	close(release)
	for range cap(responses) {
		got := <-responses
		is.Equal(got.outcome, "done")
		is.Equal(got.body, "ok")
	}
	is.Equal(received.total(), 1)
}

func startEntries(t testing.TB, c *fakeControl, count int) []*runningEntry {
	t.Helper()
	var entries []*runningEntry
	for i := range count {
		entries = append(entries, startEntry(t, c, func(config *entry.Config) {
			config.Name = fmt.Sprintf("entry-%d", i+1)
		}))
	}
	return entries
}

// The entry fails with an order in flight. Resends to other entries must not run
// the order again.
func TestResendAfterTheEntryFailed(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(received, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	entries := startEntries(t, c, 3)
	go func() {
		_, _ = trySend(entries[0], "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "4000")
	}()
	eventually(t, "the endpoint has the order", func() bool { return received.total() == 1 })
	busy := send(t, entries[1], "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "200")
	is.Equal(busy.code, "in-progress")
	is.Equal(busy.outcome, "unknown")

	c.mu.Lock()
	c.endedSessions[entries[0].Session()] = true
	c.mu.Unlock()
	for _, e := range entries[1:] {
		got := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
		is.Equal(got.outcome, "unknown")
		is.Equal(got.code, "outcome-unknown")
	}
	is.Equal(received.total(), 1)
}

func TestResponsesToTakesAreLost(t *testing.T) {
	cases := []struct {
		name    string
		lost    int
		outcome string
	}{
		{"one is lost and the take is retried", 1, "done"},
		{"all are lost and the claim is aborted", 1000, "not-run"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startFakeControl(t, dispatchConfiguration())
			received := newBodyCounter()
			serveEndpoint(t, c, "e1", countBodies(received, respondOK))
			e := startEntry(t, c, nil)
			c.loseTakeResponses(test.lost)
			first := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "600")
			is.Equal(first.outcome, test.outcome)
			c.loseTakeResponses(0)
			second := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
			is.Equal(second.outcome, "done")
			is.Equal(received.total(), 1)
		})
	}
}

// A resend whose takes return no result aborts its own claim. It must not report
// "not run" for the order, which the first attempt has sent.
func TestAbortOfAResendWhileTheOrderRuns(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	release := make(chan struct{})
	serveEndpoint(t, c, "e1", countBodies(received, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	}))
	entries := startEntries(t, c, 2)
	first := make(chan callerResponse, 1)
	go func() {
		got, _ := trySend(entries[0], "POST", "/orders", "x", "Idempotency-Key", "k")
		first <- got
	}()
	eventually(t, "the endpoint has the order", func() bool { return received.total() == 1 })
	c.loseTakeResponses(1000)
	resend := send(t, entries[1], "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "400")
	is.Equal(resend.outcome, "unknown")
	is.Equal(resend.code, "in-progress")
	close(release)
	is.Equal((<-first).outcome, "done")
	is.Equal(received.total(), 1)
}

// The outcome of an order is recorded even if control is unavailable when the
// order is done.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(received, func(w http.ResponseWriter, r *http.Request) {
		c.setDown(true)
		respondOK(w, r)
	}))
	e := startEntry(t, c, nil)
	is.Equal(send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k").outcome, "done")
	c.setDown(false)
	again := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
	is.Equal(again.outcome, "done")
	is.Equal(again.body, "ok")
	is.Equal(received.total(), 1)
}

// A caller that closes its connection does not cancel an order that was sent; its
// outcome is recorded.
func TestCallerLeavesWhileItsOrderRuns(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	release := make(chan struct{})
	serveEndpoint(t, c, "e1", countBodies(received, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	}))
	e := startEntry(t, c, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var caller sync.WaitGroup
	caller.Go(func() {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/orders", nil)
		request.Header.Set("Idempotency-Key", "k")
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	})
	eventually(t, "the endpoint has the order", func() bool { return received.total() == 1 })
	cancel()
	caller.Wait()
	close(release)
	got := send(t, e, "POST", "/orders", "", "Idempotency-Key", "k")
	is.Equal(got.outcome, "done")
	is.Equal(got.body, "ok")
	is.Equal(received.total(), 1)
}

// Orders that wait for control to commit their claims hold no slots, so that
// idempotent requests are served. The orders run once control is available again.
func TestWaitingClaimsHoldNoSlots(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	received := newBodyCounter()
	serveEndpoint(t, c, "e1", countBodies(received, respondOK))
	e := startEntry(t, c, nil)
	is.Equal(send(t, e, "GET", "/plans", "").outcome, "done")
	c.setDown(true)
	orders := make(chan callerResponse, 20)
	for i := range cap(orders) {
		go func() {
			got, _ := trySend(e, "POST", "/orders", fmt.Sprint("order ", i))
			orders <- got
		}()
	}
	eventually(t, "orders wait for their claims", func() bool { return c.refusedChanges() >= 8 })
	got := send(t, e, "GET", "/plans", "", "Pistachio-Deadline-Ms", "1500")
	is.Equal(got.outcome, "done")
	c.setDown(false)
	for range cap(orders) {
		is.Equal((<-orders).outcome, "done")
	}
	for i := range cap(orders) {
		is.Equal(received.count(fmt.Sprint("order ", i)), 1)
	}
}
