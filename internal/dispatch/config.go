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

// Log is the part of the replicated log that the dispatcher uses. Barrier
// returns once leadership is confirmed by a majority and all entries committed
// before the call are applied locally.
type Log interface {
	Propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error)
	Barrier(ctx context.Context) error
}

// Advisor asks the policy service, through the entry at address, which of the
// workers may run a step. An empty address makes the call from this process.
type Advisor interface {
	Advise(ctx context.Context, address, step string, workers []string) (*apiv1.AdviseResponse, error)
}

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Log          Log
	Table        *jobs.Table
	WorkerClient WorkerClient
	Advisor      Advisor
	Clock        clock.Clock
	Logger       *slog.Logger
	Metrics      metrics.Registry
	Timing       Timing
	CallLimits   CallLimits
	// QuotaOverage is the fraction of its cap by which a workspace with nothing running may exceed
	// it with a gang.
	QuotaOverage float64
	// AdmitsByLoad makes Admit refuse jobs by the rate of their workspace and by the load, and
	// orders late jobs by their remaining work.
	AdmitsByLoad bool
	// IsLarge reports whether the deployment has so many workers that polls and orders share the connections to them;
	// nil: never.
	IsLarge func() bool
}

// isLarge is IsLarge, which may be nil.
func (c Config) isLarge() bool { return c.IsLarge != nil && c.IsLarge() }

// Timing holds durations that follow from the platform's limits.
type Timing struct {
	MaxLease           time.Duration // longest lease that a worker accepts
	JobStatusRetention time.Duration // how long callers may query a finished job
	StopTime           time.Duration // how long a worker may take to stop a run
	RateWindow         time.Duration // of its rate, what a workspace may send at once; 0: the default
}

// leaseDuration returns the length of the leader lease and of the workers'
// leases: half of MaxLease, so that an unreachable worker is considered lost soon.
// If half is less than restartSafeLease, it is more, up to three quarters, because
// workers end their runs if their leases expire during a restart of all control
// processes.
func (t Timing) leaseDuration() time.Duration {
	return max(t.MaxLease/2, min(restartSafeLease, t.MaxLease*3/4))
}

// longestLease returns the time, on our clock, after which a lease that a worker was granted now
// has certainly expired, whatever its deadline.
func (t Timing) longestLease() time.Duration {
	return time.Duration(float64(t.MaxLease) / minClockRate)
}

// leaseAfterBirth returns the time after an incarnation of a worker began until leases have expired
// whose deadlines are on the clock of the former one: requests with such deadlines are sent until a poll
// is answered.
func (t Timing) leaseAfterBirth() time.Duration {
	return t.longestLease() + maxHoldWait
}

// restartSafeLease is a lease that outlasts a restart of all control processes:
// about 1.5 s of downtime, 0.6 s for an election, 0.5 s until every worker's
// lease is renewed, and the time since the last renewal, which is at most a
// third of the lease.
const restartSafeLease = 4500 * time.Millisecond

const (
	// leaderLeaseRenewInterval is the pause between renewals of the leader lease.
	leaderLeaseRenewInterval = 250 * time.Millisecond
	// maxHoldWait limits the long poll of a Hold call, which is also at most a
	// third of the lease.
	maxHoldWait = time.Second
	// minHoldTimeoutMargin and maxHoldTimeoutMargin bound what is added to the long poll
	// to get the timeout of a Hold call.
	minHoldTimeoutMargin = 300 * time.Millisecond
	maxHoldTimeoutMargin = 700 * time.Millisecond
	// proposeTimeout bounds one proposal. After a timeout it is unknown whether
	// the command was committed.
	proposeTimeout = 4 * time.Second
	// idlePassInterval is the time between scheduling passes without events, and
	// the backoff of a start that was not sent or was refused.
	idlePassInterval = 100 * time.Millisecond
)
