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
	defaultEntryLease    = 4 * time.Second
	defaultEndpointLease = 6 * time.Second
	defaultDrift         = 0.05 // share by which two machines' clock rates may differ
	defaultLostAfter     = 30 * time.Second

	// A VM that restarts is away for longer than one whose disk was lost needs
	// to be found out, and its disk is worth waiting for.
	goneToLostRatio = 4
)

// Peer is a control process as the settings name it.
type Peer struct {
	Name          string
	Address       string // host:port
	FailureDomain string
}

// Config sets a Server up. Log, Store and Clock are needed; zero values of the
// rest mean defaults or absence.
type Config struct {
	Log     replica.Log
	Store   *state.Store
	Clock   clock.Clock
	Logger  *slog.Logger
	Metrics metrics.Registry

	Name    string // of this process
	Address string // where other processes reach this one
	Peers   []Peer // all control processes of the settings, this one too

	Placement        PlacementController  // nil: workers are not served
	Dispatch         *dispatch.Config     // nil: callers can't hand jobs in
	NewSlotAllocator func() SlotAllocator // makes each term's ledger; nil: no slots are granted

	EntryLease    time.Duration
	EndpointLease time.Duration
	MaxClockDrift float64

	RepairPolicy   repair.Policy // when a silent voter is replaced
	RepairInterval time.Duration // between two looks at the membership
}

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
	if c.EntryLease == 0 {
		c.EntryLease = defaultEntryLease
	}
	if c.EndpointLease == 0 {
		c.EndpointLease = defaultEndpointLease
	}
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = defaultDrift
	}
	if c.RepairPolicy.UnreachableAfter == 0 {
		c.RepairPolicy.UnreachableAfter = defaultLostAfter
	}
	if c.RepairPolicy.DeadAfter == 0 {
		c.RepairPolicy.DeadAfter = goneToLostRatio * c.RepairPolicy.UnreachableAfter
	}
	if c.RepairInterval == 0 {
		c.RepairInterval = repairInterval
	}
	return c, nil
}
