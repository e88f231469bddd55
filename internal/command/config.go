package command

import (
	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

func newConfigCommand(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Shows the configuration in force",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newConfigShowCommand(s))
	return command
}

func newConfigShowCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Shows the configuration in force, who published it and when",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return s.withClient(func(client *rpc.Client) error {
				response, err := call(command.Context(), s, client.Control().GetConfiguration, &apiv1.GetConfigurationRequest{})
				if err != nil {
					return err
				}
				return s.show(response, revisionTable(response), configuredJobsTable(response.GetConfiguration().GetJobs()))
			})
		},
	}
}

func revisionTable(response *apiv1.GetConfigurationResponse) *table {
	t := &table{header: []string{"REVISION", "OPERATOR", "PUBLISHED", "DIGEST"}}
	t.add(response.GetRevision(), response.GetOperator(), timeText(response.GetPublishedUnixMs()), response.GetDigest())
	return t
}

func configuredJobsTable(jobs []*apiv1.Job) *table {
	t := &table{header: []string{"JOB", "KIND", "TEAM", "CLASS", "COUNT", "EACH", "RELEASE", "SOURCE"}}
	for _, j := range jobs {
		t.add(j.GetName(), enumText(j.GetKind(), "JOB_KIND_"), j.GetTeam(), enumText(j.GetClass(), "CLASS_"), j.GetCount(),
			resourcesText(j.GetResources()), timeText(j.GetReleaseUnixMs()), j.GetSource())
	}
	return t
}
