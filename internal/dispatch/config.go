package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// Log is the part of the replicated log that the dispatcher uses.
type Log interface {
	Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error)
	Barrier(ctx context.Context) error
}

// Advisor asks the policy service which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, address, step string, workers []string) (*apiv1.AdviseResponse, error)
}

// Config sets a Dispatcher up.
type Config struct {
	Log          Log
	Table        *jobs.Table
	WorkerClient WorkerClient
	Advisor      Advisor
	Clock        clock.Clock
	Logger       *slog.Logger
	Metrics      metrics.Registry
	Timing       Timing
}

// Timing are the lengths that follow from the platform's bounds.
type Timing struct {
	MaxLease           time.Duration // longest lease that a worker keeps
	EarlyStart         time.Duration // by which a timed start may come early
	JobStatusRetention time.Duration // for which a finished job is still known
}

// leaseDuration returns the length of the leader's authority and so of leases: half of
// what workers keep, so that a worker cut off is given up soon, but longer if that
// would not outlast a restart of all control processes, whose runs would be lost.
func (t Timing) leaseDuration() time.Duration {
	return max(t.MaxLease/2, min(restartSafeLease, t.MaxLease*3/4))
}

// restartSafeLease outlasts a restart of all control processes: about 1.5 s without
// power, 0.6 s of election, 0.5 s until all workers are held, and the time since
// the last hold, which is a third of it at most.
const restartSafeLease = 4500 * time.Millisecond

const (
	// leaderLeaseRenewInterval is the time between two rounds that confirm the leader.
	leaderLeaseRenewInterval = 250 * time.Millisecond
	// startTimeout is how long a start's answer is waited for.
	startTimeout = 600 * time.Millisecond
	stopTimeout  = 600 * time.Millisecond
	// maxHoldWait is how long a worker may hold an answer back for an end.
	maxHoldWait = 2 * time.Second
	// holdTimeoutMargin is how much later than holdWait an answer may come.
	holdTimeoutMargin = 700 * time.Millisecond
	// proposeTimeout bounds one commit; whether it took effect is unknown then.
	proposeTimeout = 4 * time.Second
	// minPassDelay gathers events that come together into one scheduling pass.
	minPassDelay = time.Millisecond
	// passRestFactor is how many times its own length a pass is followed by rest, so
	// that passes leave most of the processor to orders and reports.
	passRestFactor = 4
	maxPassDelay   = 25 * time.Millisecond
	// idlePassInterval is the time between scheduling passes without events.
	idlePassInterval = 100 * time.Millisecond
)
