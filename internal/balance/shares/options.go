package shares

import (
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

const (
	defaultLeaseLength = 4 * time.Second
	defaultDrift       = 0.05 // share by which clock rates may differ
)

// Options sets a Ledger up.
type Options struct {
	Clock         clock.Clock
	LeaseLength   time.Duration // of entries; 0: 4 s
	MaxClockDrift float64       // allowance for clock rates; 0: 0.05
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.LeaseLength == 0 {
		o.LeaseLength = defaultLeaseLength
	}
	if o.MaxClockDrift == 0 {
		o.MaxClockDrift = defaultDrift
	}
	return o
}
