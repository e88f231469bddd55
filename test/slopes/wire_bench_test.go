package slopes_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

const (
	wireCalls = 20  // calls whose bytes are counted, after the first on a connection
	timeCalls = 200 // calls per trial of processor time
)

// cost is the cost of one call.
type cost struct {
	bytes  float64 // on the wire, in both directions, with HTTP headers
	micros float64 // processor time of client and server together
}

// preparedResponses holds the responses of entryServer and workerServer.
type preparedResponses struct {
	entry  *apiv1.RenewEntryResponse
	worker *apiv1.RenewWorkerResponse
}

type entryServer struct{ *preparedResponses }

func (a entryServer) Renew(context.Context, *apiv1.RenewEntryRequest) (*apiv1.RenewEntryResponse, error) {
	return a.entry, nil
}

type workerServer struct{ *preparedResponses }

func (a workerServer) Renew(context.Context, *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	return a.worker, nil
}

type discoveryServer struct{ apiv1.Discovery }

func (discoveryServer) Renew(context.Context, *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	return &apiv1.RenewEndpointResponse{Known: true, LeaseMs: 6000}, nil
}

type peerServer struct{ apiv1.Peer }

func (peerServer) Step(context.Context, *apiv1.StepRequest) (*apiv1.StepResponse, error) {
	return &apiv1.StepResponse{}, nil
}

// countedConnection counts the bytes of both directions.
type countedConnection struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// callCost returns the cost of one call over a persistent connection.
func callCost(b *testing.B, handler http.Handler, call func(url string, client *http.Client) error) cost {
	server := httptest.NewServer(handler)
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &countedConnection{Conn: connection, bytes: &bytes}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := range wireCalls + 1 {
		if i == 1 {
			bytes.Store(0)
		}
		if err := call(server.URL, client); err != nil {
			b.Fatal(err)
		}
	}
	counted := float64(bytes.Load()) / wireCalls
	micros := medianMicroseconds(b, timeCalls, func(watch *stopwatch) {
		watch.start()
		err := call(server.URL, client)
		watch.stop()
		if err != nil {
			b.Fatal(err)
		}
	})
	return cost{bytes: counted, micros: micros}
}

// measureCalls prints one row for the bytes of a call and one for its processor time.
func measureCalls(name, per string, sizes []int, call func(size int) cost) {
	micros := map[int]float64{}
	measure(name, "B", per, sizes, func(size int) float64 {
		c := call(size)
		micros[size] = c.micros
		return c.bytes
	})
	measure(name+", processor of both sides", "µs", per, sizes, func(size int) float64 { return micros[size] })
}

// BenchmarkWire prints the cost of renewals, mostly idle ones, and of the messages that
// replicate the log.
func BenchmarkWire(b *testing.B) {
	held := []int{0, 200, 800}
	measureCalls("entry renewal, holds by tag", "endpoint held", held, func(int) cost {
		return entryCallCost(b, entryRequest(), &apiv1.RenewEntryResponse{GrantsTag: 1 << 40, GrantsUnchanged: true})
	})
	measureCalls("entry renewal, holds in full", "endpoint held", held, func(size int) cost {
		request := entryRequest()
		request.HoldsTag, request.Holds = 0, slotHolds(size)
		return entryCallCost(b, request, &apiv1.RenewEntryResponse{GrantsTag: 1 << 40, Grants: slotHolds(size)})
	})
	measureCalls("entry renewal, new session", "endpoint known", held, func(size int) cost {
		request := entryRequest()
		request.HoldsTag, request.KnownRevision = 0, 0
		response := &apiv1.RenewEntryResponse{EndpointsReset: true, Endpoints: endpoints(0, size), Grants: slotHolds(size)}
		return entryCallCost(b, request, response)
	})
	measureCalls("entry renewal, routing changed", "service", []int{40, 80, 160}, func(size int) cost {
		response := &apiv1.RenewEntryResponse{GrantsUnchanged: true, ConfigurationChanged: true, Configuration: routingConfiguration(b, size)}
		return entryCallCost(b, entryRequest(), response)
	})
	measureCalls("worker renewal, idle", "task held", []int{0, 8, 16, 32}, func(size int) cost {
		return workerCallCost(b, size, &apiv1.RenewWorkerResponse{OrdersUnchanged: true})
	})
	measureCalls("worker renewal, orders in full", "task held", []int{0, 8, 16, 32}, func(size int) cost {
		return workerCallCost(b, size, &apiv1.RenewWorkerResponse{Orders: workerOrders(b, size)})
	})
	measureCalls("endpoint renewal", "endpoint", []int{1, 2, 4}, func(size int) cost { return endpointCallsCost(b, size) })
	measureCalls("peer message", "entry of 200 B", []int{0, 1, 8, 64}, func(size int) cost { return peerCallCost(b, size) })
}

// routingConfiguration returns the configuration that entries receive for the given
// number of services with one route each.
func routingConfiguration(b *testing.B, services int) *apiv1.Configuration {
	c := newCell(b)
	published := configuration(services)
	for _, j := range published.GetJobs() {
		j.Kind = apiv1.JobKind_JOB_KIND_SERVICE
		j.Routes = []*apiv1.Route{{PathPrefix: "/" + j.GetName()}}
	}
	c.publish(published)
	return c.store.Routing().Configuration
}

// endpointCallsCost returns the cost of renewing count endpoints one after the other.
func endpointCallsCost(b *testing.B, count int) cost {
	return callCost(b, apiv1.NewDiscoveryServer(discoveryServer{}), func(url string, client *http.Client) error {
		link := apiv1.NewDiscoveryProtobufClient(url, client)
		for i := range count {
			if _, err := link.Renew(context.Background(), &apiv1.RenewEndpointRequest{Id: endpointID(i)}); err != nil {
				return err
			}
		}
		return nil
	})
}

func entryRequest() *apiv1.RenewEntryRequest {
	return &apiv1.RenewEntryRequest{
		Entry: "entry-03", Session: "5f1b9c3a7d2e4f60", Location: location(1), Address: "10.0.0.3:8080",
		KnownRevision: 1_000_000, WaitMs: 1000, Sequence: 1_000_000, HoldsTag: 1 << 40,
	}
}

func entryCallCost(b *testing.B, request *apiv1.RenewEntryRequest, response *apiv1.RenewEntryResponse) cost {
	response.LeaseMs, response.Revision, response.ConfigurationRevision = 4000, 1_000_000, 1_000_000
	response.ControlAddresses = controlAddresses()
	response.NowUnixMs = startUnixMs
	service := entryServer{&preparedResponses{entry: response}}
	return callCost(b, apiv1.NewEntryLinkServer(service), func(url string, client *http.Client) error {
		_, err := apiv1.NewEntryLinkProtobufClient(url, client).Renew(context.Background(), request)
		return err
	})
}

func controlAddresses() []string {
	return []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "10.0.0.5:7000"}
}

func slotHolds(count int) []*apiv1.SlotHold {
	all := make([]*apiv1.SlotHold, 0, count)
	for i := range count {
		all = append(all, &apiv1.SlotHold{Endpoint: endpointID(i), Slots: 2, Connections: 8})
	}
	return all
}

// workerOrders returns the orders for a worker that holds count tasks.
func workerOrders(b *testing.B, count int) []*apiv1.Order {
	c := newCell(b)
	c.registerWorkers(1)
	if count > 0 {
		published := configuration(0)
		published.Jobs = append(published.Jobs, job("batch", team(0), count))
		c.publish(published)
		c.placeTasks("batch", count, 1)
	}
	return c.taskTable().Orders(workerName(0), worker(0).GetBoot(), tasks.NoRevision).Orders
}

func workerCallCost(b *testing.B, size int, response *apiv1.RenewWorkerResponse) cost {
	request := &apiv1.RenewWorkerRequest{Worker: worker(1), Usage: taskResources(), WaitMs: 1000, OrdersSeen: 1000}
	for i := range size {
		id := attemptID(jobName(0), i, 1)
		request.Reports = append(request.Reports, report(id, 1, apiv1.AttemptReport_PHASE_RUNNING))
	}
	response.LeaseMs, response.OrdersRevision = 4000, 1000
	service := workerServer{&preparedResponses{worker: response}}
	return callCost(b, apiv1.NewPlatformServer(service), func(url string, client *http.Client) error {
		_, err := apiv1.NewPlatformProtobufClient(url, client).Renew(context.Background(), request)
		return err
	})
}

func peerCallCost(b *testing.B, size int) cost {
	message := &apiv1.RaftMessage{
		Type: apiv1.RaftMessage_TYPE_APPEND, From: 1 << 60, To: 1 << 61, Term: 12,
		LogTerm: 12, Index: 10_000_000, Commit: 10_000_000, Context: 1_000_000,
	}
	for range size {
		message.Entries = append(message.Entries, &apiv1.LogEntry{Term: 12, Index: 10_000_000, Data: make([]byte, 200)})
	}
	request := &apiv1.StepRequest{
		ClusterId: "5f1b9c3a7d2e4f605f1b9c3a7d2e4f60", From: 1 << 60, FromAddress: "10.0.0.1:7000",
		Messages: []*apiv1.RaftMessage{message},
	}
	return callCost(b, apiv1.NewPeerServer(peerServer{}), func(url string, client *http.Client) error {
		_, err := apiv1.NewPeerProtobufClient(url, client).Step(context.Background(), request)
		return err
	})
}
