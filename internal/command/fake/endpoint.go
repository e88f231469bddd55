package fake

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/endpoint"
)

const stopTimeout = 30 * time.Second

// endpointOptions holds the flags of the endpoint command.
type endpointOptions struct {
	endpoint.Options
	count    int
	location apiv1.Location
}

func newEndpointCommand() *cobra.Command {
	var options endpointOptions
	command := &cobra.Command{
		Use:   "endpoint",
		Short: "Runs endpoints that echo requests, until SIGTERM makes them withdraw",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Location = &options.location
			options.Logger = slog.New(slog.NewTextHandler(command.ErrOrStderr(), nil))
			return runEndpoints(command.Context(), command.OutOrStdout(), &options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Service, "service", "", "service that the endpoints belong to")
	flags.StringSliceVar(&options.AnnounceAddresses, "announce", nil, "announce addresses of entries")
	flags.StringVar(&options.Listen, "listen", "", "address to listen at (default: a free loopback port)")
	flags.StringVar(&options.ID, "id", "", "id of the endpoint, if there is one (default: random)")
	flags.IntVar(&options.count, "count", 1, "number of endpoints")
	flags.Int32Var(&options.Slots, "slots", 0, "requests at once (default 8)")
	flags.Int32Var(&options.Connections, "connections", 0, "connections at once (default 64)")
	flags.StringVar(&options.location.Region, "region", "demo", "region")
	flags.StringVar(&options.location.FailureDomain, "failure-domain", "domain-1", "failure domain")
	flags.DurationVar(&options.Behaviour.Delay, "delay", 0, "time between receipt and answer")
	return command
}

// runEndpoints runs the endpoints until ctx ends, and then stops them. It prints a
// line for each endpoint: its id, service and address.
func runEndpoints(ctx context.Context, out io.Writer, options *endpointOptions) error {
	if options.count > 1 && (options.ID != "" || options.Listen != "") {
		return errors.New("--id and --listen go with one endpoint only")
	}
	var endpoints []*endpoint.Endpoint
	defer func() {
		for _, e := range endpoints {
			e.Kill()
		}
	}()
	for range options.count {
		e, err := endpoint.Start(ctx, options.Options)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
		_, _ = fmt.Fprintln(out, e.ID(), options.Service, e.Address())
	}
	<-ctx.Done()
	return stopEndpoints(endpoints)
}

// stopEndpoints stops all endpoints at once, within stopTimeout.
func stopEndpoints(endpoints []*endpoint.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make(chan error, len(endpoints))
	for _, e := range endpoints {
		go func() { results <- e.Stop(ctx) }()
	}
	var combined error
	for range endpoints {
		combined = errors.CombineErrors(combined, <-results)
	}
	return combined
}
