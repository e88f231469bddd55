package placement

import "github.com/rcrowley/go-metrics"

// counters holds the controller's metrics.
type counters struct {
	registry       metrics.Registry
	rounds         metrics.Counter
	roundTime      metrics.Timer
	placed         metrics.Counter // attempts committed
	stopsProposed  metrics.Counter
	renewals       metrics.Counter
	reports        metrics.Counter // reports that may change the table
	workersExpired metrics.Counter
	barriers       metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		registry:       r,
		rounds:         metrics.GetOrRegisterCounter("placement.rounds", r),
		roundTime:      metrics.GetOrRegisterTimer("placement.round_time", r),
		placed:         metrics.GetOrRegisterCounter("placement.attempts_placed", r),
		stopsProposed:  metrics.GetOrRegisterCounter("placement.stops_proposed", r),
		renewals:       metrics.GetOrRegisterCounter("placement.renewals", r),
		reports:        metrics.GetOrRegisterCounter("placement.reports", r),
		workersExpired: metrics.GetOrRegisterCounter("placement.workers_expired", r),
		barriers:       metrics.GetOrRegisterCounter("placement.barriers", r),
	}
}

// countRefusal counts a plan that the table refused, by the refusal's code.
func (c *counters) countRefusal(code string) {
	metrics.GetOrRegisterCounter("placement.refused."+code, c.registry).Inc(1)
}
