package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/entry"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const waitTimeout = 30 * time.Second

var testLocation = &apiv1.Location{Region: "sur", FailureDomain: "sur-montevideo"}

// dispatchConfiguration returns a configuration of one service with idempotent
// and non-idempotent routes.
func dispatchConfiguration() *apiv1.Configuration {
	return &apiv1.Configuration{Jobs: []*apiv1.Job{{
		Name: "dispatch",
		Kind: apiv1.JobKind_JOB_KIND_SERVICE,
		Routes: []*apiv1.Route{
			{PathPrefix: "/plans", Methods: []string{"GET", "PUT"}},
			{PathPrefix: "/orders", Methods: []string{"POST"}, NonIdempotent: true, Class: apiv1.Class_CLASS_URGENT},
			{PathPrefix: "/bulk", Class: apiv1.Class_CLASS_BULK},
		},
	}}}
}

func endpointAt(id, address string) *apiv1.Endpoint {
	return &apiv1.Endpoint{
		Id: id, Service: "dispatch", Address: address, Location: testLocation,
		Slots: 8, Connections: 64,
	}
}

// serveEndpoint starts and announces an endpoint that runs the handler.
func serveEndpoint(t testing.TB, c *fakeControl, id string, handler http.Handler) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c.announce(endpointAt(id, server.Listener.Addr().String()))
}

// runningEntry is an entry that holds a lease and serves callers at url.
type runningEntry struct {
	*entry.Server
	url    string
	cancel context.CancelFunc
}

func startEntry(t testing.TB, c *fakeControl, change func(*entry.Config)) *runningEntry {
	t.Helper()
	config := entry.Config{
		Name:          "entry-1",
		Location:      testLocation,
		Client:        rpc.NewClient(rpc.Options{Addresses: []string{c.address}}),
		Logger:        slog.New(slog.DiscardHandler),
		Metrics:       metrics.NewRegistry(),
		BalancerDelay: time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	server, err := entry.New(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	callers := httptest.NewServer(server.CallerHandler())
	t.Cleanup(func() {
		callers.Close()
		cancel()
		<-done
	})
	e := &runningEntry{Server: server, url: callers.URL, cancel: cancel}
	eventually(t, "the entry holds a lease", func() bool { return e.healthy(t) })
	return e
}

func (e *runningEntry) healthy(t testing.TB) bool {
	t.Helper()
	response, err := http.Get(e.url + "/healthz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitTimeout, what)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status  int
	outcome string
	code    string // of a response made by the entry itself
	body    string
	header  http.Header
}

func send(t testing.TB, e *runningEntry, method, path, body string, header ...string) callerResponse {
	t.Helper()
	got, err := trySend(e, method, path, body, header...)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func trySend(e *runningEntry, method, path, body string, header ...string) (callerResponse, error) {
	request, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return callerResponse{}, err
	}
	var problem struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal(read, &problem)
	return callerResponse{
		status:  response.StatusCode,
		outcome: response.Header.Get("Pistachio-Outcome"),
		code:    problem.Code,
		body:    string(read),
		header:  response.Header,
	}, nil
}

func TestRequestsThroughOneEntry(t *testing.T) {
	is := is.New(t)
	c := startFakeControl(t, dispatchConfiguration())
	serveEndpoint(t, c, "e1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Key", r.Header.Get("Idempotency-Key"))
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	}))
	e := startEntry(t, c, nil)

	plan := send(t, e, "GET", "/plans/7?week=3", "")
	is.Equal(plan.status, http.StatusOK)
	is.Equal(plan.outcome, "done")
	is.Equal(plan.body, "GET /plans/7?week=3 ")

	order := send(t, e, "POST", "/orders", "two tankers", "Idempotency-Key", "k1")
	is.Equal(order.body, "POST /orders two tankers")
	is.Equal(order.outcome, "done")
	is.Equal(order.header.Get("X-Key"), "k1")

	again := send(t, e, "POST", "/orders", "two tankers", "Idempotency-Key", "k1")
	is.Equal(again.body, order.body)
	is.Equal(again.outcome, "done")

	other := send(t, e, "POST", "/orders", "three tankers", "Idempotency-Key", "k1")
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(other.code, "key-reused")

	unkeyed := send(t, e, "POST", "/orders", "one tanker")
	is.Equal(unkeyed.body, "POST /orders one tanker")

	empty := send(t, e, "POST", "/orders", "")
	is.Equal(empty.body, "POST /orders ")
}

func nonIdempotentRoute(prefix string) *apiv1.Route {
	return &apiv1.Route{PathPrefix: prefix, NonIdempotent: true}
}
