package command

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// completionTimeout is the timeout of a shell completion, which the user waits for.
const completionTimeout = time.Second

// completeJob completes a job's name as the first argument.
func (s *session) completeJob(command *cobra.Command, arguments []string, prefix string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return s.jobsWithPrefix(command, prefix)
}

// completeJobFlag completes a job's name as the value of a flag.
func (s *session) completeJobFlag(command *cobra.Command, _ []string, prefix string) ([]string, cobra.ShellCompDirective) {
	return s.jobsWithPrefix(command, prefix)
}

func (s *session) jobsWithPrefix(command *cobra.Command, prefix string) ([]string, cobra.ShellCompDirective) {
	s.timeout = min(s.timeout, completionTimeout)
	var names []string
	err := s.withClient(func(client *rpc.Client) error {
		response, err := call(command.Context(), s, client.Control().ListJobs, &apiv1.ListJobsRequest{})
		for _, job := range response.GetJobs() {
			if strings.HasPrefix(job.GetName(), prefix) {
				names = append(names, job.GetName())
			}
		}
		return err
	})
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}
