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
)

// A Transport resends by itself on a broken kept-alive connection when it sees
// an idempotency key or an idempotent method. The endpoint must see each order
// once all the same.
func TestNothingIsResentOnABrokenConnection(t *testing.T) {
	for _, test := range []struct{ name, method, path, body string }{
		{"order with a body", "POST", "/orders", "two tankers"},
		{"order without a body", "POST", "/orders", ""},
		{"non-idempotent GET", "GET", "/refit", ""},
		{"non-idempotent DELETE", "DELETE", "/refit", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := dispatch()
			config.Jobs[0].Routes = append(config.Jobs[0].Routes, nonIdempotentRoute("/refit"))
			c := newControl(t, config)
			raw := startRaw(t, answerThenBreak)
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
		{"endpoint gone before", nil, "not-run", "endpoint-unreachable", 0},
		{"endpoint dies while it works", closed, "unknown", "no-answer", 1},
		{"endpoint is silent", swallow, "unknown", "no-answer", 1},
		{"answer cut in its header", cut("HTTP/1.1 200 OK\r\nContent-Le"), "unknown", "no-answer", 1},
		{"answer cut in its body", cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "unknown", "no-answer", 1},
		{"answer of another request", cut("HTTP/1.1 200 OK\r\nPistachio-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"), "unknown", "no-answer", 1},
		{"endpoint dies after its answer", cut(wholeAnswer), "done", "", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newControl(t, dispatch())
			raw := startRaw(t, test.script)
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
			is.Equal(again.outcome, test.outcome) // the word stays
			is.Equal(raw.received.total(), test.received)
		})
	}
}

func TestAnOrderTurnsToAnotherEndpointWhileNothingWasSent(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	for i := range 2 {
		dead := startRaw(t, swallow)
		is.NoErr(dead.listener.Close())
		c.announce(endpointAt(fmt.Sprintf("dead%d", i), dead.address()))
	}
	received := newRecord()
	serveEndpoint(t, c, "live", recording(received, ok))
	e := startEntry(t, c, nil)
	for i := range 20 {
		body := fmt.Sprint(i)
		is.Equal(send(t, e, "POST", "/orders", body).outcome, "done")
		is.Equal(received.count(body), 1)
	}
}

// An order is resent at three entries at once while the first send is in
// flight: it runs once, and all get its answer.
func TestResendsAtThreeEntriesRunOnce(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	release := make(chan struct{})
	serveEndpoint(t, c, "e1", recording(received, func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	}))
	entries := startEntries(t, c, 3)
	answers := make(chan answer, 6)
	for range 2 {
		for _, e := range entries {
			go func() {
				got, _ := trySend(e, "POST", "/orders", "x", "Idempotency-Key", "k")
				answers <- got
			}()
		}
	}
	eventually(t, "the endpoint has the order", func() bool { return received.total() > 0 })
	close(release)
	for range cap(answers) {
		got := <-answers
		is.Equal(got.outcome, "done")
		is.Equal(got.body, "ok")
	}
	is.Equal(received.total(), 1)
}

func startEntries(t testing.TB, c *control, count int) []*running {
	t.Helper()
	var entries []*running
	for i := range count {
		entries = append(entries, startEntry(t, c, func(config *entry.Config) {
			config.Name = fmt.Sprintf("entry-%d", i+1)
		}))
	}
	return entries
}

// The entry dies with an order in flight. Resends never run it again.
func TestResendAfterTheEntryDied(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	serveEndpoint(t, c, "e1", recording(received, func(_ http.ResponseWriter, r *http.Request) {
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
	c.gone[entries[0].Session()] = true
	c.mu.Unlock()
	for _, e := range entries[1:] {
		got := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
		is.Equal(got.outcome, "unknown")
		is.Equal(got.code, "outcome-unknown")
	}
	is.Equal(received.total(), 1)
}

func TestLostAnswersToAClaim(t *testing.T) {
	cases := []struct {
		name    string
		lost    int
		outcome string
	}{
		{"one is lost and asked for again", 1, "done"},
		{"all are lost and the claim is aborted", 1000, "not-run"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newControl(t, dispatch())
			received := newRecord()
			serveEndpoint(t, c, "e1", recording(received, ok))
			e := startEntry(t, c, nil)
			c.loseAnswers(test.lost)
			first := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "600")
			is.Equal(first.outcome, test.outcome)
			c.loseAnswers(0)
			second := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
			is.Equal(second.outcome, "done")
			is.Equal(received.total(), 1)
		})
	}
}

// A resend whose claim's answers are lost aborts its own claim. That must not
// make it say "not run" of an order that the first attempt has sent.
func TestAbortOfAResendWhileTheOrderRuns(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	release := make(chan struct{})
	serveEndpoint(t, c, "e1", recording(received, func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	}))
	entries := startEntries(t, c, 2)
	first := make(chan answer, 1)
	go func() {
		got, _ := trySend(entries[0], "POST", "/orders", "x", "Idempotency-Key", "k")
		first <- got
	}()
	eventually(t, "the endpoint has the order", func() bool { return received.total() == 1 })
	c.loseAnswers(1000)
	resend := send(t, entries[1], "POST", "/orders", "x", "Idempotency-Key", "k", "Pistachio-Deadline-Ms", "400")
	is.Equal(resend.outcome, "unknown")
	is.Equal(resend.code, "in-progress")
	close(release)
	is.Equal((<-first).outcome, "done")
	is.Equal(received.total(), 1)
}

// The outcome of an order is recorded although control is away when it is
// known.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	serveEndpoint(t, c, "e1", recording(received, func(w http.ResponseWriter, r *http.Request) {
		c.setDown(true)
		ok(w, r)
	}))
	e := startEntry(t, c, nil)
	is.Equal(send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k").outcome, "done")
	c.setDown(false)
	again := send(t, e, "POST", "/orders", "x", "Idempotency-Key", "k")
	is.Equal(again.outcome, "done")
	is.Equal(again.body, "ok")
	is.Equal(received.total(), 1)
}

// Callers that leave don't stop an order that was sent; its outcome is kept.
func TestCallerLeavesWhileItsOrderRuns(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	release := make(chan struct{})
	serveEndpoint(t, c, "e1", recording(received, func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
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

// Orders whose claims wait for control don't keep idempotent work from the
// endpoints, and run once control is back.
func TestWaitingClaimsHoldNoSlots(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	received := newRecord()
	serveEndpoint(t, c, "e1", recording(received, ok))
	e := startEntry(t, c, nil)
	is.Equal(send(t, e, "GET", "/plans", "").outcome, "done")
	c.setDown(true)
	orders := make(chan answer, 20)
	for i := range cap(orders) {
		go func() {
			got, _ := trySend(e, "POST", "/orders", fmt.Sprint("order ", i))
			orders <- got
		}()
	}
	eventually(t, "orders wait for their claims", func() bool { return c.refusedTakes() >= 8 })
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
