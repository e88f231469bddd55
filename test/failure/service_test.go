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

// The service of the request tests.
const (
	serviceName = "dispatch"
	ordersPath  = "/orders" // non-idempotent
	plansPath   = "/plans"  // idempotent
)

func milliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// dispatchConfiguration has one service and no workers to run it.
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

// publish replaces the desired state.
func (c *cluster) publish(configuration *apiv1.Configuration) {
	c.t.Helper()
	is := is.New(c.t)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	present, err := c.client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	is.NoErr(err)
	response, err := c.client.Control().Publish(ctx, &apiv1.PublishRequest{
		BaseRevision:  present.GetRevision(),
		Configuration: configuration,
		Operator:      "test",
	})
	is.NoErr(err)
	// A call whose answer was lost is sent again, and finds its own publication.
	status := response.GetResult().GetStatus()
	is.True(status == apiv1.PublishResult_STATUS_APPLIED || status == apiv1.PublishResult_STATUS_ALREADY_APPLIED)
}

// startEndpoint starts an endpoint of the service. Each begins at another
// entry with its announcements, as behind the platform's balancer.
func (c *cluster) startEndpoint(domain string, behaviour endpoint.Behaviour) *endpoint.Endpoint {
	c.t.Helper()
	return c.startEndpointAt("", "", domain, behaviour)
}

// startEndpointBehindRelay starts an endpoint that entries reach through a relay.
func (c *cluster) startEndpointBehindRelay(domain string) (*endpoint.Endpoint, *relay.Relay) {
	c.t.Helper()
	address := freeAddress(c.t)
	between, err := relay.Start(context.Background(), address)
	is.New(c.t).NoErr(err)
	c.t.Cleanup(between.Close)
	return c.startEndpointAt(address, between.Address(), domain, endpoint.Behaviour{}), between
}

func (c *cluster) startEndpointAt(listen, advertise, domain string, behaviour endpoint.Behaviour) *endpoint.Endpoint {
	c.t.Helper()
	var announce []string
	first := int(c.endpointsStarted.Add(1))
	for i := range c.entries {
		announce = append(announce, c.entries[(first+i)%len(c.entries)].announceAddress)
	}
	started, err := endpoint.Start(context.Background(), endpoint.Options{
		Service:           serviceName,
		Listen:            listen,
		Advertise:         advertise,
		AnnounceAddresses: announce,
		Location:          &apiv1.Location{Region: "region-1", FailureDomain: domain},
		Behaviour:         behaviour,
	})
	is.New(c.t).NoErr(err)
	c.t.Cleanup(started.Kill)
	select {
	case <-started.Announced():
	case <-time.After(conditionTimeout):
		c.t.Fatalf("endpoint %s is not announced after %v", started.ID(), conditionTimeout)
	}
	return started
}

// awaitServiceServed waits until every entry serves the service.
func (c *cluster) awaitServiceServed(client *caller) {
	c.t.Helper()
	for _, e := range c.entries {
		c.await(e.name+" to serve "+plansPath, func() bool {
			return client.send(e.callerAddress, "GET", plansPath, "", "", 2*time.Second).done()
		})
	}
}
