package state

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Routing returns the part of a configuration that entries need: its services with
// their routes. Entries are sent only this part, since batch and gang jobs would be
// most of the traffic and no entry uses them.
func Routing(configuration *apiv1.Configuration) *apiv1.Configuration {
	routing := &apiv1.Configuration{}
	for _, job := range configuration.GetJobs() {
		if job.GetKind() != apiv1.JobKind_JOB_KIND_SERVICE {
			continue
		}
		routing.Jobs = append(routing.Jobs, &apiv1.Job{
			Name:   job.GetName(),
			Team:   job.GetTeam(),
			Kind:   job.GetKind(),
			Class:  job.GetClass(),
			Count:  job.GetCount(),
			Routes: job.GetRoutes(),
		})
	}
	return routing
}
