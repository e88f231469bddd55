package control

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
)

// Defaults of Config.
const (
	defaultEntryLease       = 4 * time.Second
	defaultEndpointLease    = 6 * time.Second
	defaultMaxClockDrift    = 0.05
	defaultUnreachableAfter = 30 * time.Second

	// A restarting VM still has its disk, so it is given more time to come back
	// than it takes to detect a VM that lost its disk.
	deadToUnreachableRatio = 4
)

// Peer is a control process that is configured or has registered as a spare.
type Peer struct {
	Name          string
	Address       string // host:port
	FailureDomain string
}

// Config configures a Server. Log, Store and Clock are required; for the rest, a
// zero value means a default or that the feature is off.
type Config struct {
	Log     replica.Log
	Store   *state.Store
	Clock   clock.Clock
	Logger  *slog.Logger
	Metrics metrics.Registry

	Name    string // of this process
	Address string // host:port at which other processes reach this one
	Peers   []Peer // all configured control processes, including this one

	Placement        PlacementController  // nil: no workers are served
	Dispatch         *dispatch.Config     // nil: no jobs of callers are accepted
	RequireKeys      bool                 // callers need the key of a workspace, whatever the catalog says
	NewSlotAllocator func() SlotAllocator // returns a new allocator for a term; nil: no slots are granted

	// IsLarge reports whether the deployment has so many workers that a leader sends their reports to other control
	// processes, and that reports are bounded. nil: never.
	IsLarge func() bool

	EntryLease    time.Duration
	EndpointLease time.Duration
	MaxClockDrift float64 // largest difference of two VMs' clock rates, as a fraction

	RepairPolicy   repair.Policy // when an unreachable voter is replaced
	RepairInterval time.Duration // between two checks of the membership
}

// withDefaults fills in the defaults and returns an error if a required field is
// missing.
func (c Config) withDefaults() (Config, error) {
	if c.Log == nil || c.Store == nil || c.Clock == nil {
		return c, errors.New("control needs a log, a store and a clock")
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.IsLarge == nil {
		c.IsLarge = func() bool { return false }
	}
	if c.EntryLease == 0 {
		c.EntryLease = defaultEntryLease
	}
	if c.EndpointLease == 0 {
		c.EndpointLease = defaultEndpointLease
	}
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = defaultMaxClockDrift
	}
	if c.RepairPolicy.UnreachableAfter == 0 {
		c.RepairPolicy.UnreachableAfter = defaultUnreachableAfter
	}
	if c.RepairPolicy.DeadAfter == 0 {
		c.RepairPolicy.DeadAfter = deadToUnreachableRatio * c.RepairPolicy.UnreachableAfter
	}
	if c.RepairInterval == 0 {
		c.RepairInterval = defaultRepairInterval
	}
	return c, nil
}
