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
	defaultWait  = time.Second
	defaultPause = 100 * time.Millisecond
	defaultTick  = 20 * time.Millisecond
)

// TaskFunc runs one task until it ends by itself or ctx ends. A nil error means
// that the task succeeded.
type TaskFunc func(ctx context.Context, attempt *apiv1.Attempt, command string) error

// Options sets a Worker up. Name, Capacity and Platform must be set; other
// zero values mean the defaults.
type Options struct {
	Name               string
	Boot               string // random if empty
	Location           *apiv1.Location
	Capacity           *apiv1.Resources
	Platform           apiv1.Platform // for example rpc.Client's
	Clock              clock.Clock
	LongPollWait       time.Duration // of one long poll
	RetryBackoff       time.Duration // after a failed renewal
	LeaseCheckInterval time.Duration // between looks at the lease
	RunTask            TaskFunc      // SimulateCommand if nil

	// CanStart is asked before a task starts; an error means that it is not
	// started and never will be.
	CanStart func(attempt *apiv1.Attempt) error

	// OnStart is called when a task starts; ctx ends when it is to stop.
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
		o.LongPollWait = defaultWait
	}
	if o.RetryBackoff == 0 {
		o.RetryBackoff = defaultPause
	}
	if o.LeaseCheckInterval == 0 {
		o.LeaseCheckInterval = defaultTick
	}
	if o.RunTask == nil {
		o.RunTask = SimulateCommand
	}
	return o
}
