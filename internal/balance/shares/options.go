package shares

import (
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

const (
	defaultLeaseLength   = 4 * time.Second
	defaultMaxClockDrift = 0.05 // as a fraction of the elapsed time
)

// Options configures an Allocator.
type Options struct {
	Clock         clock.Clock   // nil: clock.System
	LeaseLength   time.Duration // of the entries' leases; 0: 4 s
	MaxClockDrift float64       // largest difference of clock rates, as a fraction; 0: 0.05
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.LeaseLength == 0 {
		o.LeaseLength = defaultLeaseLength
	}
	if o.MaxClockDrift == 0 {
		o.MaxClockDrift = defaultMaxClockDrift
	}
	return o
}
