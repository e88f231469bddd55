package endpoint_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
)

const testTimeout = 30 * time.Second

// entry is a stand-in for an entry's Discovery service, with a lease of 30 ms.
type entry struct {
	mu        sync.Mutex
	known     map[string]*apiv1.Endpoint
	announced int
	renewed   int
}

func (e *entry) Announce(_ context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announced++
	e.known[request.GetEndpoint().GetId()] = request.GetEndpoint()
	return &apiv1.AnnounceResponse{Revision: 1, LeaseMs: 30}, nil
}

func (e *entry) Renew(_ context.Context, request *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewed++
	return &apiv1.RenewEndpointResponse{Known: e.known[request.GetId()] != nil, LeaseMs: 30}, nil
}

func (e *entry) Withdraw(_ context.Context, request *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.known, request.GetId())
	return &apiv1.WithdrawResponse{Revision: 2, QuietAfterMs: 20}, nil
}

func (e *entry) forgetAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.known)
}

func (e *entry) counts() (known, announced, renewed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.known), e.announced, e.renewed
}

// eventually waits until the condition holds and fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(testTimeout)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("condition not met in time: %s", what)
		case <-tick.C:
		}
	}
}

func startEntry(t *testing.T) (*entry, string) {
	t.Helper()
	e := &entry{known: map[string]*apiv1.Endpoint{}}
	server := httptest.NewServer(apiv1.NewDiscoveryServer(e))
	t.Cleanup(server.Close)
	return e, server.Listener.Addr().String()
}

func startEndpoint(t *testing.T, options endpoint.Options) *endpoint.Endpoint {
	t.Helper()
	options.Service = "dispatch"
	e, err := endpoint.Start(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return e
}

func TestAnnounceRenewAndWithdraw(t *testing.T) {
	is := is.New(t)
	entry, address := startEntry(t)
	e := startEndpoint(t, endpoint.Options{AnnounceAddresses: []string{"127.0.0.1:1", address}}) // nothing listens at the first
	<-e.Announced()
	eventually(t, "the endpoint renews its lease", func() bool { _, _, renewed := entry.counts(); return renewed > 2 })

	entry.forgetAll()
	eventually(t, "the forgotten endpoint announces itself again", func() bool { known, announced, _ := entry.counts(); return known == 1 && announced == 2 })

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(e.Stop(ctx))
	known, _, _ := entry.counts()
	is.Equal(known, 0) // withdrawn, and no renewal or announcement followed
}

func post(t *testing.T, e *endpoint.Endpoint, key, body string) (string, http.Header, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/orders", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(endpoint.NonceHeader, "n-"+key)
	request.Header.Set("Idempotency-Key", key)
	request.GetBody = nil // keeps the client from resending the request
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), response.Header, err
}

func TestResponsesAndRecord(t *testing.T) {
	is := is.New(t)
	_, address := startEntry(t)
	e := startEndpoint(t, endpoint.Options{ID: "e-1", AnnounceAddresses: []string{address}})

	body, header, err := post(t, e, "k1", "two tankers")
	is.NoErr(err)
	is.Equal(body, "two tankers")
	is.Equal(header.Get(endpoint.NonceHeader), "n-k1")
	is.Equal(header.Get(endpoint.EndpointHeader), "e-1")

	e.SetBehaviour(endpoint.Behaviour{TruncateBody: true})
	_, _, err = post(t, e, "k2", "two tankers")
	is.True(err != nil) // the client detects the incomplete response
	_, _, err = post(t, e, "k2", "")
	is.True(err != nil) // also with an empty body
	e.SetBehaviour(endpoint.Behaviour{DropResponse: true})
	_, _, err = post(t, e, "k3", "two tankers")
	is.True(err != nil)

	request, err := http.NewRequest(http.MethodPut, "http://"+e.Address()+"/-/behaviour", bytes.NewReader([]byte(`{"status": 503}`)))
	is.NoErr(err)
	changed, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(changed.Body.Close())
	is.Equal(changed.StatusCode, http.StatusNoContent)
	body, _, err = post(t, e, "k4", "x")
	is.NoErr(err)
	is.Equal(body, "x")

	response, err := http.Get("http://" + e.Address() + "/-/record")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var record endpoint.Record
	is.NoErr(json.NewDecoder(response.Body).Decode(&record))
	is.Equal(record.Runs, map[string]int{"k1": 1, "k2": 2, "k3": 1, "k4": 1}) // truncated and dropped ones are counted too
	is.Equal(record.Total, 5)
	is.Equal(record.InFlight, 0)
	http.DefaultClient.CloseIdleConnections()
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
