package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/pistachioport/pistachioport/internal/rpc"
)

func newStatusCommand(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Shows jobs, tasks, workers, endpoints and entries",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return s.withClient(func(client *rpc.Client) error { return s.showOverview(command.Context(), client) })
		},
	}
	command.AddCommand(
		s.listCommand("jobs", "Lists the jobs", s.showJobs),
		s.listCommand("workers", "Lists the workers", s.showWorkers),
		s.listCommand("workspaces", "Lists what the workspaces use, their caps and their shares", s.showWorkspaces),
		s.listCommand("entries", "Lists the entries that hold or held a lease", s.showEntries),
		newStatusEndpointsCommand(s),
		newStatusTasksCommand(s),
		newStatusJobCommand(s),
	)
	return command
}

// listCommand returns a command without arguments that shows one list.
func (s *session) listCommand(use, short string, show func(context.Context, *rpc.Client) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return s.withClient(func(client *rpc.Client) error { return show(command.Context(), client) })
		},
	}
}
