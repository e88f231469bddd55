package placement

import "github.com/rcrowley/go-metrics"

// counts are the duty's metrics.
type counts struct {
	registry  metrics.Registry
	rounds    metrics.Counter
	roundTime metrics.Timer
	placed    metrics.Counter // attempts committed
	stopped   metrics.Counter // stops proposed
	renewals  metrics.Counter
	reports   metrics.Counter // that changed the table
	expired   metrics.Counter // workers
	barriers  metrics.Counter
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		registry:  r,
		rounds:    metrics.GetOrRegisterCounter("placement.rounds", r),
		roundTime: metrics.GetOrRegisterTimer("placement.round_time", r),
		placed:    metrics.GetOrRegisterCounter("placement.attempts_placed", r),
		stopped:   metrics.GetOrRegisterCounter("placement.stops_proposed", r),
		renewals:  metrics.GetOrRegisterCounter("placement.renewals", r),
		reports:   metrics.GetOrRegisterCounter("placement.reports", r),
		expired:   metrics.GetOrRegisterCounter("placement.workers_expired", r),
		barriers:  metrics.GetOrRegisterCounter("placement.barriers", r),
	}
}

// refused counts a plan that the table refused.
func (c *counts) refused(code string) {
	metrics.GetOrRegisterCounter("placement.refused."+code, c.registry).Inc(1)
}
