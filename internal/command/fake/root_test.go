package fake_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/command/fake"
)

func run(arguments ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = fake.Execute(context.Background(), &o, &e, arguments)
	return code, o.String(), e.String()
}

func TestPorts(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("ports", "5")
	is.Equal(code, 0)
	ports := map[string]bool{}
	for _, port := range strings.Fields(out) {
		ports[port] = true
	}
	is.Equal(len(ports), 5)
	code, _, errs := run("ports", "many")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "allowed: 1 to 256"))
}

func TestCall(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Pistachio-Outcome", "done")
		_, _ = io.WriteString(w, r.Header.Get("Idempotency-Key")+" ")
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()

	code, out, _ := run("call", "POST", server.URL)
	is.Equal(code, 0) // any response counts as success
	is.Equal(out, "503 -\n\n")
	code, out, _ = run("call", "POST", server.URL, "--key", "k", "--body", "two tankers", "--until", "200")
	is.Equal(code, 0)
	is.Equal(out, "200 done\nk two tankers\n")
	code, _, _ = run("call", "GET", server.URL, "--until", "201", "--within", "100ms")
	is.Equal(code, 1)
	code, _, errs := run("call", "GET", "http://127.0.0.1:1/")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "http://127.0.0.1:1/"))
}

// fakeEntry serves an entry's Discovery service. It accepts every endpoint and counts
// the withdrawals.
type fakeEntry struct {
	apiv1.Discovery
	withdrawn atomic.Int64
}

func (k *fakeEntry) Announce(context.Context, *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return &apiv1.AnnounceResponse{LeaseMs: 1000}, nil
}

func (k *fakeEntry) Renew(context.Context, *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	return &apiv1.RenewEndpointResponse{Known: true, LeaseMs: 1000}, nil
}

func (k *fakeEntry) Withdraw(context.Context, *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	k.withdrawn.Add(1)
	return &apiv1.WithdrawResponse{}, nil
}

func TestEndpointsWithdrawWhenStopped(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntry{}
	server := httptest.NewServer(apiv1.NewDiscoveryServer(entry))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		ended <- fake.Execute(ctx, writer, io.Discard, []string{
			"endpoint", "--service", "dispatch", "--count", "2", "--announce", server.Listener.Addr().String(),
		})
		_ = writer.Close()
	}()
	lines := make([]byte, 0, 256)
	for bytes.Count(lines, []byte("\n")) < 2 { // an endpoint runs once its line is printed
		part := make([]byte, 256)
		n, err := reader.Read(part)
		is.NoErr(err)
		lines = append(lines, part[:n]...)
	}
	is.Equal(strings.Count(string(lines), " dispatch 127.0.0.1:"), 2)
	cancel()
	is.Equal(<-ended, 0)
	is.Equal(entry.withdrawn.Load(), int64(2))
}

// fakeLeader records the workers that renew their leases.
type fakeLeader struct {
	mu         sync.Mutex
	workers    map[string]*apiv1.Worker
	allRenewed chan struct{} // closed when the third worker has renewed
}

func (l *fakeLeader) Renew(_ context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.workers)
	l.workers[request.GetWorker().GetName()] = request.GetWorker()
	if known == 2 && len(l.workers) == 3 {
		close(l.allRenewed)
	}
	return &apiv1.RenewWorkerResponse{LeaseMs: 4000, OrdersUnchanged: true}, nil
}

func TestWorkersRenewUntilStopped(t *testing.T) {
	is := is.New(t)
	l := &fakeLeader{workers: map[string]*apiv1.Worker{}, allRenewed: make(chan struct{})}
	server := httptest.NewServer(apiv1.NewPlatformServer(l))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan int, 1)
	go func() {
		ended <- fake.Execute(ctx, io.Discard, io.Discard, []string{
			"worker", "--count", "3", "--processors", "0.5", "--memory-gib", "2", "--failure-domains", "a,b",
			"--control", server.Listener.Addr().String(),
		})
	}()
	<-l.allRenewed
	cancel()
	is.Equal(<-ended, 0)
	is.Equal(l.workers["worker-1"].GetLocation().GetFailureDomain(), "a")
	is.Equal(l.workers["worker-2"].GetLocation().GetFailureDomain(), "b")
	is.Equal(l.workers["worker-3"].GetCapacity().GetCpuMillis(), int64(500))
	is.Equal(l.workers["worker-3"].GetCapacity().GetMemoryBytes(), int64(2<<30))

	code, _, errs := run("worker")
	is.Equal(code, 1)
	is.True(strings.Contains(errs, "--control"))
}
