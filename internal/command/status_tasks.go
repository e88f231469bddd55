package command

import (
	"context"

	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func newStatusTasksCommand(s *session) *cobra.Command {
	var job string
	command := s.listCommand("tasks", "Lists the tasks of all jobs or of one", func(ctx context.Context, client *rpc.Client) error {
		names, err := s.jobNames(ctx, client, job)
		if err != nil {
			return err
		}
		all := &apiv1.GetJobResponse{}
		for _, name := range names {
			response, err := call(ctx, s, client.Control().GetJob, &apiv1.GetJobRequest{Name: name})
			if err != nil {
				return err
			}
			all.Tasks = append(all.Tasks, response.GetTasks()...)
		}
		return s.show(all, tasksTable(all.GetTasks()))
	})
	command.Flags().StringVar(&job, "job", "", "only the tasks of this job")
	_ = command.RegisterFlagCompletionFunc("job", s.completeJobFlag) // fails only for unknown flags
	return command
}

func (s *session) jobNames(ctx context.Context, client *rpc.Client, only string) ([]string, error) {
	if only != "" {
		return []string{only}, nil
	}
	response, err := call(ctx, s, client.Control().ListJobs, &apiv1.ListJobsRequest{})
	if err != nil {
		return nil, err
	}
	names := make([]string, len(response.GetJobs()))
	for i, job := range response.GetJobs() {
		names[i] = job.GetName()
	}
	return names, nil
}

func tasksTable(tasks []*apiv1.TaskStatus) *table {
	t := &table{header: []string{"JOB", "TASK", "STATE", "WORKER", "ATTEMPT", "FAILURES", "DETAIL"}}
	for _, task := range tasks {
		t.add(task.GetJob(), task.GetIndex(), enumText(task.GetState(), "TASK_STATE_"), task.GetWorker(), task.GetAttempt(),
			task.GetFailures(), task.GetDetail())
	}
	return t
}

func newStatusJobCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:               "job NAME",
		Short:             "Shows one job, its tasks, and why those that wait do so",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: s.completeJob,
		RunE: func(command *cobra.Command, arguments []string) error {
			return s.withClient(func(client *rpc.Client) error {
				response, err := call(command.Context(), s, client.Control().GetJob, &apiv1.GetJobRequest{Name: arguments[0]})
				if err != nil {
					return err
				}
				job := jobsTable([]*apiv1.JobStatus{response.GetJob()})
				return s.show(response, job, tasksTable(response.GetTasks()), waitsTable(response.GetWaits()))
			})
		},
	}
}

func waitsTable(waits []*apiv1.WaitReason) *table {
	t := &table{header: []string{"WAITS FOR", "WORKERS REFUSED", "DETAIL"}}
	for _, w := range waits {
		t.add(w.GetFilter(), w.GetWorkers(), w.GetDetail())
	}
	return t
}
