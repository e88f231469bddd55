package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxReportAge is the platform's usual interval between a worker's reports, on its clock: an older report has been
// followed by another one.
const maxReportAge = 1500 * time.Millisecond

// IsOutdated reports whether a worker's report adds to the capacity of its current record, which is nil if there is none, and
// is older than maxReportAge by the worker's clock. Such a report arrives late and may tell of a capacity that has
// shrunk since, although no process that knows a later report has seen it: reports of a capacity that
// doesn't change are not passed on to the leader. The next report tells whether the worker has it.
//
// A report that the worker drains or leaves is never outdated, as both hold for the rest of the
// incarnation.
func (d *Dispatcher) IsOutdated(current, reported *apiv1.PoolWorker) bool {
	if reported.GetClockMs() <= 0 || reported.GetDraining() || reported.GetGone() ||
		current.GetBornUnixMs() != reported.GetBornUnixMs() || !addsCapacity(current, reported) {
		return false
	}
	d.mu.Lock()
	p := d.pools[reported.GetService()]
	d.mu.Unlock()
	if p == nil || !p.isOutdated(reported, time.Now()) {
		return false
	}
	d.counters.outdatedReports.Inc(1)
	return true
}

func addsCapacity(current, reported *apiv1.PoolWorker) bool {
	before := capacity(current)
	return before.largest(capacity(reported)) != before
}

func (p *pool) isOutdated(reported *apiv1.PoolWorker, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[reported.GetId()]
	if w == nil || w.record.GetBornUnixMs() != reported.GetBornUnixMs() || w.clockAt.IsZero() {
		return false
	}
	return w.lowestClockMs(now)-reported.GetClockMs() > maxReportAge.Milliseconds()
}
