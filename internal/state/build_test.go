package state_test

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// configuration returns a valid configuration with one team and the given services.
func configuration(services ...string) *apiv1.Configuration {
	c := &apiv1.Configuration{Teams: []*apiv1.Team{{Name: "team"}}}
	for _, name := range services {
		c.Jobs = append(c.Jobs, &apiv1.Job{
			Name:    name,
			Team:    "team",
			Kind:    apiv1.JobKind_JOB_KIND_SERVICE,
			Count:   1,
			Command: "run " + name,
			Routes:  []*apiv1.Route{{PathPrefix: "/" + name}},
		})
	}
	return c
}

func publish(base uint64, operator string, c *apiv1.Configuration) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Publish{Publish: &apiv1.PublishCommand{
		BaseRevision:  base,
		Operator:      operator,
		Configuration: c,
	}}}
}

func endpoint(id string, slots int) *apiv1.Endpoint {
	return &apiv1.Endpoint{
		Id:          id,
		Service:     "plans",
		Address:     "127.0.0.1:9000",
		Slots:       int32(slots),
		Connections: 64,
	}
}

func announce(endpoints ...*apiv1.Endpoint) *apiv1.Command {
	return endpointCommand(&apiv1.EndpointCommand{Announce: endpoints})
}

func withdraw(ids ...string) *apiv1.Command {
	return endpointCommand(&apiv1.EndpointCommand{Withdraw: ids})
}

func expire(id string, revision uint64) *apiv1.Command {
	return endpointCommand(&apiv1.EndpointCommand{Expire: []*apiv1.EndpointExpiry{{Id: id, Revision: revision}}})
}

func endpointCommand(command *apiv1.EndpointCommand) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Endpoint{Endpoint: command}}
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%d", i)
}
