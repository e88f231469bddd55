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

// Two entries behind a balancer that reads /healthz and assigns connections.
// One drains and stops under steady load of kept-alive callers: no request may
// fail, and none may arrive once Drain has returned.
func TestDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	serveEndpoint(t, c, "e1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "long") {
			_, _ = w.Write(make([]byte, 100_000))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond) // service time
		}
		ok(w, r)
	}))
	delay := func(config *entry.Config) { config.BalancerDelay = 3 * probeInterval }
	leaving, staying := startServed(t, c, delay), startServed(t, c, delay)
	pick := balancer(t, leaving, staying)
	stop := make(chan struct{})
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error { return steady(pick, i, stop) })
	}
	eventually(t, "load runs", func() bool { return leaving.arrived.Load() > 40 && staying.arrived.Load() > 40 })
	is.NoErr(leaving.Drain(context.Background()))
	arrived, at := leaving.arrived.Load(), staying.arrived.Load()
	eventually(t, "load goes on", func() bool { return staying.arrived.Load() > at+200 })
	is.Equal(leaving.arrived.Load(), arrived)
	is.NoErr(leaving.server.Shutdown(context.Background()))
	close(stop)
	is.NoErr(group.Wait())
}

const probeInterval = 100 * time.Millisecond

// served is an entry whose HTTP server the test shuts down.
type served struct {
	*entry.Server
	server  *http.Server
	address string
	arrived atomic.Int64 // requests other than the balancer's
}

func startServed(t *testing.T, c *control, change func(*entry.Config)) *served {
	t.Helper()
	e := startEntry(t, c, change)
	one := &served{Server: e.Server}
	callers := e.CallerHandler()
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			one.arrived.Add(1)
		}
		callers.ServeHTTP(w, r)
	}))
	t.Cleanup(listener.Close)
	one.server, one.address = listener.Config, listener.Listener.Addr().String()
	return one
}

// balancer returns a function that gives the address of a healthy entry.
func balancer(t *testing.T, entries ...*served) func(int) string {
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

// steady sends requests over kept-alive connections, with short pauses.
func steady(pick func(int) string, worker int, stop chan struct{}) error {
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
