package command

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/spec"
)

const (
	defaultInForceTimeout = 30 * time.Second
	inForceLongPoll       = time.Second // how long a control process holds one AwaitForce call
	inForceAttemptTimeout = 3 * time.Second
)

// publishOptions holds the flags of the publish command.
type publishOptions struct {
	base        uint64
	baseIsSet   bool
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
}

func newPublishCommand(s *session) *cobra.Command {
	var options publishOptions
	command := &cobra.Command{
		Use:   "publish PATH...",
		Short: "Checks operators' files and publishes them as the desired state",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			options.baseIsSet = command.Flags().Changed("base")
			return s.publish(command.Context(), options, paths)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.base, "base", 0, "revision that the files were made from (default: the one in force, read first)")
	flags.BoolVar(&options.dryRun, "dry-run", false, "show what would change against the configuration in force, and change nothing")
	flags.BoolVar(&options.wait, "wait", false, "wait until the publication is in force at every entry")
	flags.DurationVar(&options.waitTimeout, "wait-timeout", defaultInForceTimeout, "how long --wait waits")
	return command
}

func (s *session) publish(ctx context.Context, options publishOptions, paths []string) error {
	configuration, err := spec.Collect(paths...)
	if err != nil {
		return err
	}
	if options.dryRun {
		return s.withClient(func(client *rpc.Client) error { return s.showPreview(ctx, client, configuration) })
	}
	operator, err := s.operatorName()
	if err != nil {
		return err
	}
	return s.withClient(func(client *rpc.Client) error {
		base, err := s.baseRevision(ctx, client, options)
		if err != nil {
			return err
		}
		request := &apiv1.PublishRequest{BaseRevision: base, Configuration: configuration, Operator: operator}
		response, err := call(ctx, s, client.Control().Publish, request)
		if err != nil {
			return errors.Wrap(err, publishHint(err))
		}
		result := response.GetResult()
		if err := s.show(response, publishTable(result, base)); err != nil {
			return err
		}
		if err := publishError(result, base); err != nil {
			return err
		}
		if !options.wait {
			return nil
		}
		return s.awaitInForce(ctx, client, result.GetRevision(), options.waitTimeout)
	})
}

// publishHint returns the text that goes before the error of a failed call. If no
// response came, the outcome is indeterminate.
func publishHint(err error) string {
	if isUnreachable(err) {
		return "publish: it may or may not have been applied; publish the same files again to find out"
	}
	return "publish"
}

// baseRevision returns the value of --base or, if it is not set, the revision in force.
func (s *session) baseRevision(ctx context.Context, client *rpc.Client, options publishOptions) (uint64, error) {
	if options.baseIsSet {
		return options.base, nil
	}
	current, err := call(ctx, s, client.Control().GetConfiguration, &apiv1.GetConfigurationRequest{})
	if err != nil {
		return 0, errors.Wrap(err, "read the revision in force")
	}
	return current.GetRevision(), nil
}

func publishTable(result *apiv1.PublishResult, base uint64) *table {
	t := &table{header: []string{"STATUS", "BASE", "REVISION", "IN FORCE", "WINNER"}}
	t.add(enumText(result.GetStatus(), "STATUS_"), base, result.GetRevision(), result.GetCurrentRevision(), result.GetWinner())
	return t
}

// publishError returns an error unless the published content is the current
// configuration.
func publishError(result *apiv1.PublishResult, base uint64) error {
	switch result.GetStatus() {
	case apiv1.PublishResult_STATUS_APPLIED, apiv1.PublishResult_STATUS_ALREADY_APPLIED:
		return nil
	case apiv1.PublishResult_STATUS_SUPERSEDED:
		return errors.Mark(errors.Newf("this content was revision %d; revision %d has replaced it since",
			result.GetRevision(), result.GetCurrentRevision()), errConflict)
	case apiv1.PublishResult_STATUS_CONFLICT:
		return errors.Mark(errors.Newf("base revision %d was taken by revision %d of %q; revision %d is in force",
			base, result.GetWinnerRevision(), result.GetWinner(), result.GetCurrentRevision()), errConflict)
	default:
		return errors.Newf("the cell answered with the unknown status %v", result.GetStatus())
	}
}

// awaitInForce waits until every entry that holds a lease serves the revision. After
// the timeout it returns an error marked with errNotInForce.
func (s *session) awaitInForce(ctx context.Context, client *rpc.Client, revision uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx = rpc.WithAttemptTimeout(ctx, inForceAttemptTimeout)
	var waitingFor []string
	for ctx.Err() == nil {
		request := &apiv1.AwaitForceRequest{Revision: revision, WaitMs: inForceLongPoll.Milliseconds()}
		response, err := client.Control().AwaitForce(ctx, request)
		if err != nil {
			if ctx.Err() == nil {
				return errors.Wrap(err, "wait until in force")
			}
			break
		}
		if response.GetInForce() {
			return s.showInForce(revision)
		}
		waitingFor = response.GetWaitingFor()
	}
	return errors.Mark(errors.Newf("revision %d is applied, but after %v not yet in force everywhere; waiting for: %s",
		revision, timeout, strings.Join(waitingFor, ", ")), errNotInForce)
}

func (s *session) showInForce(revision uint64) error {
	if s.output == outputJSON {
		return nil // the exit code tells that the revision is in force
	}
	t := &table{header: []string{"IN FORCE EVERYWHERE"}}
	t.add(revision)
	return t.write(s.environment.Out)
}
