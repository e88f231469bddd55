package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/pistachioport/pistachioport/internal/version"
)

func newVersionCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Shows the version of this tool",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			build := version.Read()
			if s.output == outputJSON {
				return writeJSON(s.environment.Out, build)
			}
			_, err := fmt.Fprintln(s.environment.Out, "pistachioctl", build)
			return err
		},
	}
}
