package command

import (
	"context"

	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func (s *session) showJobs(ctx context.Context, client *rpc.Client) error {
	response, err := call(ctx, s, client.Control().ListJobs, &apiv1.ListJobsRequest{})
	if err != nil {
		return err
	}
	return s.show(response, jobsTable(response.GetJobs()))
}

func jobsTable(jobs []*apiv1.JobStatus) *table {
	t := &table{header: []string{"JOB", "KIND", "TEAM", "COUNT", "RUNNING", "WAITING", "DONE", "FAILED", "UNKNOWN", "NEVER RUNNABLE"}}
	for _, j := range jobs {
		t.add(j.GetName(), enumText(j.GetKind(), "JOB_KIND_"), j.GetTeam(), j.GetCount(), j.GetRunning(), j.GetWaiting(),
			j.GetDone(), j.GetFailed(), j.GetUnknown(), j.GetNeverRunnable())
	}
	return t
}

func (s *session) showWorkers(ctx context.Context, client *rpc.Client) error {
	response, err := call(ctx, s, client.Control().ListWorkers, &apiv1.ListWorkersRequest{})
	if err != nil {
		return err
	}
	t := &table{header: []string{"WORKER", "LOCATION", "ALIVE", "TASKS", "USED", "CAPACITY", "QUARANTINE"}}
	for _, w := range response.GetWorkers() {
		t.add(w.GetWorker().GetName(), locationText(w.GetWorker().GetLocation()), w.GetAlive(), w.GetRunning(),
			resourcesText(w.GetUsed()), resourcesText(w.GetWorker().GetCapacity()), w.GetQuarantineReason())
	}
	return s.show(response, t)
}

func (s *session) showEntries(ctx context.Context, client *rpc.Client) error {
	response, err := call(ctx, s, client.Control().ListEntries, &apiv1.ListEntriesRequest{})
	if err != nil {
		return err
	}
	t := &table{header: []string{"ENTRY", "LOCATION", "ADDRESS", "REVISION", "LEASE LEFT MS", "DRAINING"}}
	for _, e := range response.GetEntries() {
		t.add(e.GetName(), locationText(e.GetLocation()), e.GetAddress(), e.GetRevision(), e.GetLeaseLeftMs(), e.GetDraining())
	}
	return s.show(response, t)
}

func newStatusEndpointsCommand(s *session) *cobra.Command {
	var service string
	command := s.listCommand("endpoints", "Lists the announced endpoints", func(ctx context.Context, client *rpc.Client) error {
		response, err := call(ctx, s, client.Control().ListEndpoints, &apiv1.ListEndpointsRequest{Service: service})
		if err != nil {
			return err
		}
		t := &table{header: []string{"ENDPOINT", "SERVICE", "ADDRESS", "LOCATION", "SLOTS", "CONNECTIONS", "REVISION"}}
		for _, e := range response.GetEndpoints() {
			t.add(e.GetId(), e.GetService(), e.GetAddress(), locationText(e.GetLocation()), e.GetSlots(), e.GetConnections(), e.GetRevision())
		}
		return s.show(response, t)
	})
	command.Flags().StringVar(&service, "service", "", "only the endpoints of this service")
	return command
}
