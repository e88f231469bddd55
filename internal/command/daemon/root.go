package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pistachioport/pistachioport/internal/finding"
	"github.com/pistachioport/pistachioport/internal/settings"
	"github.com/pistachioport/pistachioport/internal/version"
	"github.com/pistachioport/pistachioport/platform"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitFindings = 3
)

var errUsage = errors.New("wrong arguments")

// RunFunc runs the daemon's roles until ctx ends, and then shuts them down
// gracefully.
type RunFunc func(ctx context.Context, settings *settings.Settings) error

// PlatformFunc runs the role that the users' platform gives this process until
// ctx ends, and then shuts it down gracefully.
type PlatformFunc func(ctx context.Context) error

// Execute runs the command line and returns the process's exit code.
func Execute(ctx context.Context, out, errOut io.Writer, arguments []string, run RunFunc, runOnPlatform PlatformFunc) int {
	root := newRoot(run, runOnPlatform)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	var findings *finding.Error
	if errors.As(err, &findings) {
		_, _ = fmt.Fprintln(errOut, findings.Error())
		return ExitFindings
	}
	_, _ = fmt.Fprintf(errOut, "pistachiod: %v\n", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitError
}

func newRoot(run RunFunc, runOnPlatform PlatformFunc) *cobra.Command {
	root := &cobra.Command{
		Use:   "pistachiod",
		Short: "Runs the roles of one VM: control, entry or both",
		Long: `pistachiod runs the roles that its settings file names: control, entry or both.

Exit codes:
  0  done
  1  any other error
  2  wrong arguments
  3  findings in the settings file`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          withUsageError(cobra.NoArgs),
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(newRunCommand(run), newPlatformCommand(runOnPlatform), newCheckCommand(), newVersionCommand())
	return root
}

// withUsageError returns an argument check that marks its errors with errUsage.
func withUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		return errors.Mark(check(command, arguments), errUsage)
	}
}

func newRunCommand(run RunFunc) *cobra.Command {
	return &cobra.Command{
		Use:   "run FILE",
		Short: "Runs the roles of a settings file until SIGTERM or an interrupt",
		Args:  withUsageError(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, files []string) error {
			loaded, err := settings.Load(files[0])
			if err != nil {
				return err
			}
			return run(command.Context(), loaded)
		},
	}
}

func newPlatformCommand(run PlatformFunc) *cobra.Command {
	checkOnly := ""
	command := &cobra.Command{
		Use:   "platform",
		Short: "Runs the role that the users' platform gives this process, until SIGTERM",
		Long: `platform runs one role on the users' platform. Its settings are the platform's:
the environment variable PISTACHIOPORT_SETTINGS names their file.`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if checkOnly == "" {
				return run(command.Context())
			}
			loaded, err := platform.LoadSettings(checkOnly)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s: no findings for %s\n", checkOnly, loaded.Name)
			return err
		},
	}
	command.Flags().StringVar(&checkOnly, "check", "", "check this settings file, report every finding, and end")
	return command
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Checks a settings file and reports every finding",
		Args:  withUsageError(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, files []string) error {
			loaded, err := settings.Load(files[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s: no findings; %s is %s\n", files[0], loaded.Name, roleNames(loaded))
			return err
		},
	}
}

func roleNames(s *settings.Settings) string {
	switch {
	case s.Control != nil && s.Entry != nil:
		return "control and entry"
	case s.Control != nil:
		return "control"
	default:
		return "entry"
	}
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Shows the version of this daemon",
		Args:  withUsageError(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(command.OutOrStdout(), "pistachiod", version.Read())
			return err
		},
	}
}
