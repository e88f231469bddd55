package command

import (
	"github.com/spf13/cobra"

	"github.com/pistachioport/pistachioport/internal/spec"
)

func newSpecCommand(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "spec",
		Short: "Works on operators' files without a cell",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newSpecCheckCommand(s))
	return command
}

func newSpecCheckCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "check PATH...",
		Short: "Checks files and folders of operators' files and reports every finding",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			configuration, err := spec.Collect(paths...)
			if err != nil {
				return err
			}
			t := &table{header: []string{"JOBS", "TEAMS", "WORKER SHAPES"}}
			t.add(len(configuration.GetJobs()), len(configuration.GetTeams()), len(configuration.GetShapes()))
			return s.show(configuration, t)
		},
	}
}
