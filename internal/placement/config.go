package placement

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

// Defaults of Config.
const (
	defaultLeaseLength   = 4 * time.Second
	defaultMaxClockDrift = 0.05
	defaultPlanLimit     = 512
	defaultTick          = 100 * time.Millisecond
)

// Config configures a Controller. Log, Tasks and Clock are required; zero values of
// the other fields select defaults.
type Config struct {
	Log           replica.Log
	Tasks         *tasks.Table
	Clock         clock.Clock
	Logger        *slog.Logger
	Metrics       metrics.Registry
	LeaseLength   time.Duration // of worker leases
	MaxClockDrift float64       // fraction by which a worker's clock may run slower
	PlanLimit     int           // maximum number of plans per round
	Tick          time.Duration // interval at which the clock is checked
	NotLeader     func() error  // makes the error for workers that call a follower
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.LeaseLength == 0 {
		c.LeaseLength = defaultLeaseLength
	}
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = defaultMaxClockDrift
	}
	if c.PlanLimit == 0 {
		c.PlanLimit = defaultPlanLimit
	}
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.NotLeader == nil {
		log := c.Log
		c.NotLeader = func() error { return rpc.NotLeader(log.Status().LeaderAddr) }
	}
	return c
}
