package worker

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// SimulateCommand is the default TaskFunc. The command "sleep 2s" succeeds after 2
// seconds, "fail" fails immediately, and any other command runs until ctx is done.
func SimulateCommand(ctx context.Context, _ *apiv1.Attempt, command string) error {
	verb, argument, _ := strings.Cut(strings.TrimSpace(command), " ")
	switch verb {
	case "fail":
		return errors.New("command is \"fail\"")
	case "sleep":
		return sleep(ctx, argument)
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}

// sleep waits for the duration in argument; it returns ctx's error if ctx is done first.
func sleep(ctx context.Context, argument string) error {
	duration, err := time.ParseDuration(strings.TrimSpace(argument))
	if err != nil {
		return errors.Wrapf(err, "parse duration of command \"sleep %s\"", argument)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
