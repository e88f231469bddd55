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
	defaultLeaseLength = 4 * time.Second
	defaultDrift       = 0.05
	defaultPlanLimit   = 512
	defaultTick        = 100 * time.Millisecond
)

// Config configures a Controller. Log, Tasks and Clock must be set; other zero values
// mean the defaults.
type Config struct {
	Log         replica.Log
	Tasks       *tasks.Table
	Clock       clock.Clock
	Logger      *slog.Logger
	Metrics     metrics.Registry
	LeaseLength time.Duration // of a worker's lease
	Drift       float64       // by which share a worker's clock may run slower
	PlanLimit   int           // plans of one round
	Tick        time.Duration // between looks at the clock
	NotLeader   func() error  // the error for workers that call a follower
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
	if c.Drift == 0 {
		c.Drift = defaultDrift
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
