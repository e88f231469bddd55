package worker

import (
	"context"
	"time"

	"github.com/google/uuid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// Defaults of Options.
const (
	defaultLongPollWait       = time.Second
	defaultRetryBackoff       = 100 * time.Millisecond
	defaultLeaseCheckInterval = 20 * time.Millisecond
)

// TaskFunc runs one task until it ends or ctx is done. A nil error means that the
// task succeeded.
type TaskFunc func(ctx context.Context, attempt *apiv1.Attempt, command string) error

// Options configures a Worker. Name, Capacity and Platform are required.
type Options struct {
	Name               string
	Boot               string // id of this incarnation; default: a random UUID
	Location           *apiv1.Location
	Capacity           *apiv1.Resources
	Platform           apiv1.Platform // client of the control processes, such as rpc.Client.Platform
	Clock              clock.Clock
	LongPollWait       time.Duration // maximum duration of a long poll; default 1 s
	RetryBackoff       time.Duration // between a failed renewal and the next; default 100 ms
	LeaseCheckInterval time.Duration // between checks whether the lease has expired; default 20 ms
	Run                TaskFunc      // default: SimulateCommand

	// CanStart, if set, is called before a task starts. On an error the task is
	// reported as never started. It is called with the worker's lock held.
	CanStart func(attempt *apiv1.Attempt) error

	// OnStart, if set, is called in the task's goroutine before Run, with the
	// same context.
	OnStart func(ctx context.Context, attempt *apiv1.Attempt, command string)
}

func (o Options) withDefaults() Options {
	if o.Boot == "" {
		o.Boot = uuid.NewString()
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.LongPollWait == 0 {
		o.LongPollWait = defaultLongPollWait
	}
	if o.RetryBackoff == 0 {
		o.RetryBackoff = defaultRetryBackoff
	}
	if o.LeaseCheckInterval == 0 {
		o.LeaseCheckInterval = defaultLeaseCheckInterval
	}
	if o.Run == nil {
		o.Run = SimulateCommand
	}
	return o
}
