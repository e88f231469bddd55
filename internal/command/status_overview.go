package command

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// overview holds the counts that the status command shows.
type overview struct {
	ClusterID             string `json:"cluster_id"`
	ConfigurationRevision uint64 `json:"configuration_revision"`
	Members               int    `json:"members"`
	MembersReachable      int    `json:"members_reachable"`
	votes
	Entries            int   `json:"entries"`
	Endpoints          int   `json:"endpoints"`
	Workers            int   `json:"workers"`
	WorkersAlive       int   `json:"workers_alive"`
	WorkersQuarantined int   `json:"workers_quarantined"`
	Jobs               int   `json:"jobs"`
	TasksRunning       int32 `json:"tasks_running"`
	TasksWaiting       int32 `json:"tasks_waiting"`
	TasksFailed        int32 `json:"tasks_failed"`
	TasksUnknown       int32 `json:"tasks_unknown"`
}

func (s *session) showOverview(ctx context.Context, client *rpc.Client) error {
	var o overview
	for _, read := range []func(context.Context, apiv1.Control) error{
		func(ctx context.Context, control apiv1.Control) error { return o.readCluster(ctx, s, control) },
		func(ctx context.Context, control apiv1.Control) error { return o.readTraffic(ctx, s, control) },
		func(ctx context.Context, control apiv1.Control) error { return o.readWorkers(ctx, s, control) },
		func(ctx context.Context, control apiv1.Control) error { return o.readJobs(ctx, s, control) },
	} {
		if err := read(ctx, client.Control()); err != nil {
			return err
		}
	}
	if s.output == outputJSON {
		return writeJSON(s.environment.Out, o)
	}
	return o.table().write(s.environment.Out)
}

func (o *overview) readCluster(ctx context.Context, s *session, control apiv1.Control) error {
	status, err := call(ctx, s, control.ClusterStatus, &apiv1.ClusterStatusRequest{})
	if err != nil {
		return err
	}
	o.ClusterID = status.GetClusterId()
	o.ConfigurationRevision = status.GetConfigurationRevision()
	o.Members = len(status.GetMembers())
	for _, member := range status.GetMembers() {
		if member.GetReachable() {
			o.MembersReachable++
		}
	}
	o.votes = countVotes(status.GetMembers())
	return nil
}

func (o *overview) readTraffic(ctx context.Context, s *session, control apiv1.Control) error {
	entries, err := call(ctx, s, control.ListEntries, &apiv1.ListEntriesRequest{})
	if err != nil {
		return err
	}
	endpoints, err := call(ctx, s, control.ListEndpoints, &apiv1.ListEndpointsRequest{})
	if err != nil {
		return err
	}
	o.Entries = len(entries.GetEntries())
	o.Endpoints = len(endpoints.GetEndpoints())
	return nil
}

func (o *overview) readWorkers(ctx context.Context, s *session, control apiv1.Control) error {
	response, err := call(ctx, s, control.ListWorkers, &apiv1.ListWorkersRequest{})
	if err != nil {
		return err
	}
	o.Workers = len(response.GetWorkers())
	for _, worker := range response.GetWorkers() {
		if worker.GetAlive() {
			o.WorkersAlive++
		}
		if worker.GetQuarantined() {
			o.WorkersQuarantined++
		}
	}
	return nil
}

func (o *overview) readJobs(ctx context.Context, s *session, control apiv1.Control) error {
	response, err := call(ctx, s, control.ListJobs, &apiv1.ListJobsRequest{})
	if err != nil {
		return err
	}
	o.Jobs = len(response.GetJobs())
	for _, job := range response.GetJobs() {
		o.TasksRunning += job.GetRunning()
		o.TasksWaiting += job.GetWaiting()
		o.TasksFailed += job.GetFailed()
		o.TasksUnknown += job.GetUnknown()
	}
	return nil
}

func (o *overview) table() *table {
	t := &table{header: []string{"WHAT", "COUNT"}}
	t.add("cluster", o.ClusterID)
	t.add("configuration revision", o.ConfigurationRevision)
	t.add("members", o.Members)
	t.add("members reachable", o.MembersReachable)
	o.addRows(t)
	t.add("entries", o.Entries)
	t.add("endpoints", o.Endpoints)
	t.add("workers", o.Workers)
	t.add("workers alive", o.WorkersAlive)
	t.add("workers quarantined", o.WorkersQuarantined)
	t.add("jobs", o.Jobs)
	t.add("tasks running", o.TasksRunning)
	t.add("tasks waiting", o.TasksWaiting)
	t.add("tasks failed", o.TasksFailed)
	t.add("tasks unknown", o.TasksUnknown)
	return t
}
