package entry_test

import (
	"context"
	"io"
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

// Two entries behind a balancer that reads /healthz. One drains and stops
// under steady load of kept-alive callers; no request may fail.
func TestDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newControl(t, dispatch())
	serveEndpoint(t, c, "e1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond) // service time
		if strings.Contains(r.URL.Path, "long") {
			_, _ = w.Write(make([]byte, 100_000))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond) // service time
		}
		ok(w, r)
	}))
	delay := func(config *entry.Config) { config.BalancerDelay = 200 * time.Millisecond }
	leaving, staying := startServed(t, c, delay), startServed(t, c, delay)
	pick := balancer(t, leaving, staying)
	stop := make(chan struct{})
	var sent atomic.Int64
	var group errgroup.Group
	for i := range 16 {
		group.Go(func() error { return steady(pick, i, stop, &sent) })
	}
	eventually(t, "load runs", func() bool { return sent.Load() > 100 })
	is.NoErr(leaving.Drain(context.Background()))
	is.NoErr(leaving.server.Shutdown(context.Background()))
	at := sent.Load()
	eventually(t, "load goes on", func() bool { return sent.Load() > at+100 })
	close(stop)
	is.NoErr(group.Wait())
}

// served is an entry whose HTTP server the test shuts down.
type served struct {
	*entry.Server
	server  *http.Server
	address string
}

func startServed(t *testing.T, c *control, change func(*entry.Config)) *served {
	t.Helper()
	e := startEntry(t, c, change)
	listener := httptest.NewUnstartedServer(e.CallerHandler())
	listener.Start()
	t.Cleanup(listener.Close)
	return &served{Server: e.Server, server: listener.Config, address: listener.Listener.Addr().String()}
}

// balancer returns a function that gives the address of a healthy entry. It
// learns of a failing /healthz within 50 ms.
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
				time.Sleep(20 * time.Millisecond) // probe interval
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

// steady sends requests over kept-alive connections, as fast as answered.
func steady(pick func(int) string, worker int, stop chan struct{}, sent *atomic.Int64) error {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for n := worker; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		path, want := "/orders", 2
		if n%10 == 0 {
			path, want = "/orders/long", 100_002
		}
		response, err := client.Post("http://"+pick(n)+path, "text/plain", strings.NewReader("x"))
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
		sent.Add(1)
	}
}

type failedRequest struct {
	status int
	body   string
}

func (f *failedRequest) Error() string {
	return http.StatusText(f.status) + ": " + f.body
}
