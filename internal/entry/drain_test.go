package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/pistachioport/pistachioport/internal/entry"
)

// Two entries are behind a balancer that polls /healthz and assigns connections.
// One drains and stops under constant load over keep-alive connections: no
// request may fail, and none may arrive after Drain has returned.
func TestDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	serveEndpoint(t, c, "e1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "long") {
			_, _ = w.Write(make([]byte, 100_000))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond) // service time
		}
		respondOK(w, r)
	}))
	delay := func(config *entry.Config) { config.BalancerDelay = 3 * probeInterval }
	leaving, staying := startServedEntry(t, c, delay), startServedEntry(t, c, delay)
	pick := startBalancer(t, leaving, staying)
	stop := make(chan struct{})
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error { return sendUntilStopped(pick, i, stop) })
	}
	eventually(t, "both entries receive load", func() bool { return leaving.received.Load() > 40 && staying.received.Load() > 40 })
	is.NoErr(leaving.Drain(context.Background()))
	received, at := leaving.received.Load(), staying.received.Load()
	eventually(t, "the remaining entry receives further load", func() bool { return staying.received.Load() > at+200 })
	is.Equal(leaving.received.Load(), received)
	is.NoErr(leaving.server.Shutdown(context.Background()))
	close(stop)
	is.NoErr(group.Wait())
}

const probeInterval = 100 * time.Millisecond

// servedEntry is an entry whose HTTP server the test shuts down.
type servedEntry struct {
	*entry.Server
	server   *http.Server
	address  string
	received atomic.Int64 // requests, without the balancer's probes
}

func startServedEntry(t *testing.T, c *fakeControl, change func(*entry.Config)) *servedEntry {
	t.Helper()
	e := startEntry(t, c, change)
	started := &servedEntry{Server: e.Server}
	callers := e.CallerHandler()
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			started.received.Add(1)
		}
		callers.ServeHTTP(w, r)
	}))
	t.Cleanup(listener.Close)
	started.server, started.address = listener.Config, listener.Listener.Addr().String()
	return started
}

// startBalancer polls /healthz of the entries until the test ends. It returns a
// function that returns the address of a healthy entry, beginning at the n-th.
func startBalancer(t *testing.T, entries ...*servedEntry) func(int) string {
	t.Helper()
	healthy := make([]atomic.Bool, len(entries))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, e := range entries {
		healthy[i].Store(true)
		go func() {
			for ctx.Err() == nil {
				response, err := http.Get("http://" + e.address + "/healthz")
				healthy[i].Store(err == nil && response.StatusCode == http.StatusOK)
				if err == nil {
					_ = response.Body.Close()
				}
				time.Sleep(probeInterval)
			}
		}()
	}
	return func(n int) string {
		for i := range entries {
			if at := (n + i) % len(entries); healthy[at].Load() {
				return entries[at].address
			}
		}
		return entries[0].address
	}
}

// sendUntilStopped sends requests over keep-alive connections, with short pauses,
// until stop is closed. It returns an error for the first that fails.
func sendUntilStopped(pick func(int) string, worker int, stop chan struct{}) error {
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, pick(worker))
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for n := worker; ; n++ {
		select {
		case <-stop:
			return nil
		case <-time.After(10 * time.Millisecond):
		}
		path, want := "/orders", 2
		if n%10 == 0 {
			path, want = "/orders/long", 100_002
		}
		response, err := client.Post("http://balancer"+path, "text/plain", strings.NewReader("x"))
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		if response.Header.Get("Pistachio-Outcome") != "done" || len(body) != want {
			return &failedRequest{response.StatusCode, string(body)}
		}
	}
}

type failedRequest struct {
	status int
	body   string
}

func (f *failedRequest) Error() string {
	return http.StatusText(f.status) + ": " + f.body
}
