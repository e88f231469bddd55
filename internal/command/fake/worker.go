package fake

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/worker"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const workersPerRack = 8

// workerOptions holds the flags of the worker command.
type workerOptions struct {
	control      []string
	count        int
	prefix       string
	region       string
	domains      []string
	processors   float64
	memoryGiB    int64
	accelerators int64
	runTime      time.Duration
}

func newWorkerCommand() *cobra.Command {
	var options workerOptions
	command := &cobra.Command{
		Use:   "worker",
		Short: "Runs workers that play their tasks, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.Context(), command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.control, "control", nil, "addresses of control processes")
	flags.IntVar(&options.count, "count", 1, "number of workers")
	flags.StringVar(&options.prefix, "prefix", "worker", "first part of the workers' names")
	flags.StringVar(&options.region, "region", "demo", "region")
	flags.StringSliceVar(&options.domains, "failure-domains", []string{"domain-1", "domain-2", "domain-3"}, "failure domains, used by turns")
	flags.Float64Var(&options.processors, "processors", 16, "processors of each worker")
	flags.Int64Var(&options.memoryGiB, "memory-gib", 64, "memory of each worker, in GiB")
	flags.Int64Var(&options.accelerators, "accelerators", 0, "accelerators of each worker")
	flags.DurationVar(&options.runTime, "run-time", 0, "how long a task runs whose command is not that of a service (0: until it is stopped)")
	return command
}

// run runs the workers until ctx ends. It prints the name of each worker.
func (o *workerOptions) run(ctx context.Context, out io.Writer) error {
	if len(o.control) == 0 || len(o.domains) == 0 || o.count < 1 {
		return errors.New("--control, --failure-domains and a positive --count are needed")
	}
	var group errgroup.Group
	for i := range o.count {
		client := rpc.NewClient(rpc.Options{Addresses: o.control})
		defer client.Close()
		w := worker.New(o.optionsFor(i, client))
		_, _ = fmt.Fprintln(out, o.name(i))
		group.Go(func() error { return w.Run(ctx) })
	}
	err := group.Wait()
	if ctx.Err() != nil {
		return nil // the workers' errors are due to the stop
	}
	return err
}

func (o *workerOptions) name(i int) string {
	return fmt.Sprintf("%s-%d", o.prefix, i+1)
}

// optionsFor returns the options of the worker with index i. Workers are spread over
// the failure domains by turns, and within a domain over racks.
func (o *workerOptions) optionsFor(i int, client *rpc.Client) worker.Options {
	domain := o.domains[i%len(o.domains)]
	rack := i / len(o.domains) / workersPerRack
	return worker.Options{
		Name: o.name(i),
		Location: &apiv1.Location{
			Region:        o.region,
			FailureDomain: domain,
			Rack:          fmt.Sprintf("%s-r%d", domain, rack+1),
		},
		Capacity: &apiv1.Resources{
			CpuMillis:    int64(o.processors * 1000),
			MemoryBytes:  o.memoryGiB << 30,
			Accelerators: o.accelerators,
		},
		Platform: client.Platform(),
		Run:      o.runTask,
	}
}

// runTask simulates a task. If a run time is set, a task whose command is that of a
// service runs until it is stopped, and any other succeeds after the run time.
func (o *workerOptions) runTask(ctx context.Context, attempt *apiv1.Attempt, command string) error {
	if o.runTime == 0 || strings.HasSuffix(command, " serve") {
		return worker.SimulateCommand(ctx, attempt, command)
	}
	return worker.SimulateCommand(ctx, attempt, "sleep "+o.runTime.String())
}
