package fake

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const maxPorts = 256

func newPortsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "ports COUNT",
		Short: "Prints TCP ports that are free on loopback at the moment, one a line",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			count, err := strconv.Atoi(arguments[0])
			if err != nil || count < 1 || count > maxPorts {
				return errors.Newf("COUNT is %q; allowed: 1 to %d", arguments[0], maxPorts)
			}
			return printPorts(command.Context(), command.OutOrStdout(), count)
		},
	}
}

// printPorts prints free ports. It keeps all of them open until the last is found, so
// that no port is printed twice.
func printPorts(ctx context.Context, out io.Writer, count int) error {
	for range count {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "find a free port")
		}
		defer func() { _ = listener.Close() }()
		_, port, err := net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return errors.Wrap(err, "read the port")
		}
		if _, err := fmt.Fprintln(out, port); err != nil {
			return errors.Wrap(err, "print port")
		}
	}
	return nil
}
