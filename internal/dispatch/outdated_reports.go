package dispatch

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// maxReportAgeMs is the interval between a worker's reports, in ms on its clock: an older report
// has been followed by another one.
const maxReportAgeMs = 1500

// IsOutdated reports whether a worker's report adds to its capacity and is older than the
// worker's clock allows. Such a report arrives late and may tell of a capacity that has shrunk
// since, although no process that knows a later report has seen it: reports of a capacity that
// doesn't change are not passed on to the leader. The next report tells whether the worker has it.
//
// A report that the worker drains or leaves is never outdated, as both hold for the rest of the
// incarnation.
func (d *Dispatcher) IsOutdated(reported *apiv1.PoolWorker) bool {
	if reported.GetClockMs() <= 0 || reported.GetDraining() || reported.GetGone() {
		return false
	}
	d.mu.Lock()
	p := d.pools[reported.GetService()]
	d.mu.Unlock()
	if p == nil || !p.isOutdated(reported) {
		return false
	}
	d.counters.outdatedReports.Inc(1)
	return true
}

func (p *pool) isOutdated(reported *apiv1.PoolWorker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[reported.GetId()]
	if w == nil || w.record.GetBornUnixMs() != reported.GetBornUnixMs() {
		return false
	}
	size := capacity(reported)
	return w.clockMs-reported.GetClockMs() > maxReportAgeMs && size.largest(w.capacity) != w.capacity
}
