package fake

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the process's exit code.
func Execute(ctx context.Context, out, errOut io.Writer, arguments []string) int {
	root := &cobra.Command{
		Use:           "pistachiofake",
		Short:         "Stands in for the platform's workers and for services' endpoints",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(arguments)
	root.AddCommand(newEndpointCommand(), newWorkerCommand(), newCallCommand(), newPortsCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "pistachiofake: %v\n", err)
		return 1
	}
	return 0
}
