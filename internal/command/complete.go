package command

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// completionTimeout bounds the call that a shell's completion waits for.
const completionTimeout = time.Second

// completeJob offers the names of jobs to the shell.
func (s *session) completeJob(command *cobra.Command, arguments []string, typed string) ([]string, cobra.ShellCompDirective) {
	if len(arguments) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return s.jobsWithPrefix(command, typed)
}

// completeJobFlag offers the names of jobs for a flag.
func (s *session) completeJobFlag(command *cobra.Command, _ []string, typed string) ([]string, cobra.ShellCompDirective) {
	return s.jobsWithPrefix(command, typed)
}

func (s *session) jobsWithPrefix(command *cobra.Command, typed string) ([]string, cobra.ShellCompDirective) {
	s.timeout = min(s.timeout, completionTimeout)
	var names []string
	err := s.withClient(func(client *rpc.Client) error {
		response, err := call(command.Context(), s, client.Control().ListJobs, &apiv1.ListJobsRequest{})
		for _, job := range response.GetJobs() {
			if strings.HasPrefix(job.GetName(), typed) {
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
