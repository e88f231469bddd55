package worker

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// SimulateCommand plays a task: "sleep 2s" succeeds after that time, "fail" fails at
// once, and anything else runs until it is stopped.
func SimulateCommand(ctx context.Context, _ *apiv1.Attempt, command string) error {
	verb, argument, _ := strings.Cut(strings.TrimSpace(command), " ")
	switch verb {
	case "fail":
		return errors.New("the command is to fail")
	case "sleep":
		return sleep(ctx, argument)
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}

func sleep(ctx context.Context, argument string) error {
	length, err := time.ParseDuration(strings.TrimSpace(argument))
	if err != nil {
		return errors.Wrapf(err, "sleep %q", argument)
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
