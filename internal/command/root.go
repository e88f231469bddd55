package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"

	"github.com/pistachioport/pistachioport/internal/finding"
)

// Environment holds the output streams and environment variables of the process.
type Environment struct {
	Out       io.Writer
	Err       io.Writer
	LookupEnv func(name string) (string, bool) // as os.LookupEnv
}

// Execute runs the tool and returns its exit code.
func Execute(ctx context.Context, environment Environment, arguments []string) int {
	root := newRoot(environment)
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	printError(environment.Err, err)
	return exitCode(err)
}

func newRoot(environment Environment) *cobra.Command {
	session := newSession(environment)
	root := &cobra.Command{
		Use:           "pistachioctl",
		Short:         "Operates a pistachioport cell",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetOut(environment.Out)
	root.SetErr(environment.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	session.addFlags(root.PersistentFlags())
	root.AddCommand(
		newClusterCommand(session),
		newSpecCommand(session),
		newPublishCommand(session),
		newStatusCommand(session),
		newRequestCommand(session),
		newAuditCommand(session),
		newExplainCommand(session),
		newConfigCommand(session),
		newVersionCommand(session),
	)
	markUsageErrors(root)
	return root
}

const rootHelp = `pistachioctl publishes operators' files to a pistachioport cell and shows its state.

Exit codes:
  0  done
  1  any other error
  2  wrong arguments
  3  findings in files
  4  refused by the cell
  5  conflict with another publication
  6  no control process answered within the deadline
  7  applied, but not yet in force at every entry when the wait ended`

// markUsageErrors marks the errors of argument checks with errUsage, for the command
// and its subcommands.
func markUsageErrors(command *cobra.Command) {
	if check := command.Args; check != nil {
		command.Args = func(c *cobra.Command, arguments []string) error {
			return errors.Mark(check(c, arguments), errUsage)
		}
	}
	for _, child := range command.Commands() {
		markUsageErrors(child)
	}
}

// printError writes findings unchanged, and any other error with the tool's name in
// front.
func printError(out io.Writer, err error) {
	var findings *finding.Error
	if errors.As(err, &findings) {
		_, _ = fmt.Fprintln(out, findings.Error())
		return
	}
	_, _ = fmt.Fprintf(out, "pistachioctl: %s\n", errorText(err))
}

// errorText returns the error's text without Twirp's error code and transport details.
func errorText(err error) string {
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return err.Error()
	}
	text := twirpError.Msg()
	if isUnreachable(err) {
		text = "no leading control process answered in time: " + strings.TrimPrefix(text, "failed to do request: ")
	}
	return strings.Replace(err.Error(), twirpError.Error(), text, 1)
}
