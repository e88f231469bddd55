package dispatch

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// reportMemory is how long the newest report of a worker is remembered after it arrived:
// several times the pause between two reports, so that a worker that goes on reporting to
// this process is always remembered.
const reportMemory = 10 * time.Second

// ReportOrder decides which reports of workers change their records. The records hold the
// sequence of the last report that changed them; ReportOrder remembers besides the newest
// report that arrived at this process, which may have changed nothing, and whose record may
// have been removed since. It may be used concurrently.
type ReportOrder struct {
	superseded metrics.Counter // reports older than one that arrived before

	mu      sync.Mutex
	newest  map[string]arrivedReport // by worker id
	sweptAt time.Time
}

// NewReportOrder returns a ReportOrder that has its counter in the registry.
func NewReportOrder(registry metrics.Registry) *ReportOrder {
	return &ReportOrder{
		superseded: metrics.GetOrRegisterCounter("dispatch.reports.superseded", registry),
		newest:     make(map[string]arrivedReport),
	}
}

// arrivedReport identifies a report of a worker.
type arrivedReport struct {
	bornUnixMs, sequence int64
	at                   time.Time
}

// Changes reports whether a report that arrived now changes the worker's record, which is
// nil if there is none. A report that the worker drains or leaves is believed although a
// newer one has arrived, as both hold for the rest of the incarnation.
func (o *ReportOrder) Changes(current, reported *apiv1.PoolWorker, now time.Time) bool {
	if current != nil && reported.GetBornUnixMs() == current.GetBornUnixMs() && !sameProcess(reported, current) {
		return false // not the worker's: its sequence means nothing
	}
	superseded := o.observe(reported, now)
	if superseded && !reported.GetDraining() && !reported.GetGone() {
		return false
	}
	return current == nil || RecordChanged(current, reported)
}

// sameProcess reports whether two records of one incarnation may be of the same process: it has one
// service and one address. An entry of another writer with another address would have the answers of
// whoever listens there taken for the worker's.
func sameProcess(a, b *apiv1.PoolWorker) bool {
	return a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress()
}

// observe remembers the report, unless a newer one has arrived, which it then reports.
func (o *ReportOrder) observe(reported *apiv1.PoolWorker, now time.Time) (superseded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	report := arrivedReport{reported.GetBornUnixMs(), reported.GetSequence(), now}
	known, ok := o.newest[reported.GetId()]
	if ok && now.Sub(known.at) <= reportMemory && known.newerThan(report) {
		o.superseded.Inc(1)
		return true
	}
	o.newest[reported.GetId()] = report
	return false
}

func (r arrivedReport) newerThan(other arrivedReport) bool {
	if r.bornUnixMs != other.bornUnixMs {
		return r.bornUnixMs > other.bornUnixMs
	}
	return r.sequence > other.sequence
}

// sweep forgets reports that arrived too long ago, once in reportMemory.
func (o *ReportOrder) sweep(now time.Time) {
	if now.Sub(o.sweptAt) <= reportMemory {
		return
	}
	for id, report := range o.newest {
		if now.Sub(report.at) > reportMemory {
			delete(o.newest, id)
		}
	}
	o.sweptAt = now
}
