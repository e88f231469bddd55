package failure_test

import (
	"context"
	"strconv"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// Service and routes of the request tests.
const (
	serviceName = "dispatch"
	ordersPath  = "/orders" // non-idempotent
	plansPath   = "/plans"  // idempotent
)

func milliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// dispatchConfiguration returns a configuration with one service, which no worker
// runs: the tests start its endpoints themselves.
func dispatchConfiguration() *apiv1.Configuration {
	return &apiv1.Configuration{
		Teams: []*apiv1.Team{{
			Name:  "dispatch",
			Quota: &apiv1.Resources{CpuMillis: 100_000, MemoryBytes: 100 << 30},
		}},
		Shapes: []*apiv1.WorkerShape{{
			Name:      "large",
			Resources: &apiv1.Resources{CpuMillis: 16_000, MemoryBytes: 64 << 30},
		}},
		Jobs: []*apiv1.Job{{
			Name:      serviceName,
			Team:      "dispatch",
			Kind:      apiv1.JobKind_JOB_KIND_SERVICE,
			Class:     apiv1.Class_CLASS_URGENT,
			Resources: &apiv1.Resources{CpuMillis: 100, MemoryBytes: 1 << 20},
			Count:     1,
			Routes: []*apiv1.Route{
				{PathPrefix: ordersPath, NonIdempotent: true, Class: apiv1.Class_CLASS_URGENT},
				{PathPrefix: plansPath, Class: apiv1.Class_CLASS_NORMAL},
			},
		}},
	}
}

// publish publishes the configuration and fails the test unless it is applied.
func (c *cluster) publish(configuration *apiv1.Configuration) {
	c.t.Helper()
	is := is.New(c.t)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	current, err := c.client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	is.NoErr(err)
	response, err := c.client.Control().Publish(ctx, &apiv1.PublishRequest{
		BaseRevision:  current.GetRevision(),
		Configuration: configuration,
		Operator:      "test",
	})
	is.NoErr(err)
	// The client resends a call whose response was lost; the second call finds the
	// publication of the first.
	status := response.GetResult().GetStatus()
	is.True(status == apiv1.PublishResult_STATUS_APPLIED || status == apiv1.PublishResult_STATUS_ALREADY_APPLIED)
}

// startEndpoint starts an endpoint of the service. Successive endpoints announceAddresses
// themselves to different entries first, as behind a load balancer.
func (c *cluster) startEndpoint(domain string, behaviour endpoint.Behaviour) *endpoint.Endpoint {
	c.t.Helper()
	return c.startEndpointAt("", "", domain, behaviour)
}

// startEndpointBehindRelay starts an endpoint that entries reach through the returned
// relay.
func (c *cluster) startEndpointBehindRelay(domain string) (*endpoint.Endpoint, *relay.Relay) {
	c.t.Helper()
	address := freeAddress(c.t)
	endpointRelay, err := relay.Start(context.Background(), address)
	is.New(c.t).NoErr(err)
	c.t.Cleanup(endpointRelay.Close)
	return c.startEndpointAt(address, endpointRelay.Address(), domain, endpoint.Behaviour{}), endpointRelay
}

// startEndpointAt starts an endpoint and waits until it is announced. Empty addresses
// select a free port.
func (c *cluster) startEndpointAt(listen, advertise, domain string, behaviour endpoint.Behaviour) *endpoint.Endpoint {
	c.t.Helper()
	var announceAddresses []string
	first := int(c.endpointsStarted.Add(1))
	for i := range c.entries {
		announceAddresses = append(announceAddresses, c.entries[(first+i)%len(c.entries)].announceAddress)
	}
	started, err := endpoint.Start(context.Background(), endpoint.Options{
		Service:           serviceName,
		Listen:            listen,
		Advertise:         advertise,
		AnnounceAddresses: announceAddresses,
		Location:          &apiv1.Location{Region: "region-1", FailureDomain: domain},
		Behaviour:         behaviour,
	})
	is.New(c.t).NoErr(err)
	c.t.Cleanup(started.Kill)
	select {
	case <-started.Announced():
	case <-time.After(conditionTimeout):
		c.t.Fatalf("endpoint %s was not announced within %v", started.ID(), conditionTimeout)
	}
	return started
}

// awaitServiceServed waits until every entry completes a request of the service.
func (c *cluster) awaitServiceServed(client *caller) {
	c.t.Helper()
	for _, e := range c.entries {
		c.await(e.name+" to serve "+plansPath, func() bool {
			return client.send(e.callerAddress, "GET", plansPath, "", "", 2*time.Second).done()
		})
	}
}
