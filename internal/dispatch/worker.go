package dispatch

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// worker is one worker of a pool.
type worker struct {
	record   *apiv1.PoolWorker
	capacity resources
	free     resources
	runs     map[runKey]*run
	orphaned int  // runs of tasks that are not known here, and so of unknown size
	lost     bool // its life is over

	reservedFor *unit // the waiting gang that collects room here

	// synced: a report under this term's token has told what runs here.
	synced      bool
	ackCursor   int64 // ends up to it are recorded
	clockMs     int64 // on the worker's clock, not later than it was at clockAt
	clockAt     time.Time
	leaseEnd    time.Time // when all leases that anyone granted here have run out
	reportedAt  time.Time // of the last report
	failedCalls int       // consecutive calls that met no listener
	health      health
	cancel      context.CancelFunc // ends the hold loop
	leaving     bool               // said that it leaves
}

func newWorker(record *apiv1.PoolWorker) *worker {
	size := capacity(record)
	return &worker{record: record, capacity: size, free: size, runs: make(map[runKey]*run), leaving: record.GetGone()}
}

// minClockRate is the lowest rate of a worker's clock, as the platform states it.
const minClockRate = 0.98

// leaseExpiryMargin is how long after its lease's end a worker may take to notice.
const leaseExpiryMargin = 300 * time.Millisecond

// leaseDeadline returns the time on the worker's clock that is certain to have come
// once left has passed from now. It is 0 while the clock is not known.
func (w *worker) leaseDeadline(now time.Time, left time.Duration) int64 {
	if w.clockAt.IsZero() || left <= 0 {
		return 0
	}
	return w.clockMs + int64(minClockRate*float64((now.Sub(w.clockAt)+left).Milliseconds()))
}

// noteLeaseGranted notes that leases were extended until left from now.
func (w *worker) noteLeaseGranted(now time.Time, left time.Duration) {
	if end := now.Add(left); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// observeClock takes over a reading that was made between the call and now.
func (w *worker) observeClock(clockMs int64, now time.Time) {
	if clockMs > 0 {
		w.clockMs, w.clockAt = clockMs, now
	}
}

// schedulable reports whether new tasks may be started here.
func (w *worker) schedulable(now time.Time) bool {
	return w.synced && w.orphaned == 0 && !w.record.GetDraining() && !w.leaving && w.failedCalls == 0 && w.health.schedulable(now)
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.record.GetLabels(), label)
}

// rack returns the worker's rack: the label after its kind.
func (w *worker) rack() string {
	labels := w.record.GetLabels()
	if len(labels) < 2 {
		return ""
	}
	return labels[1]
}

// runsOfUnit counts the unit's runs here.
func (w *worker) runsOfUnit(u *unit) int {
	count := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.unit == u {
			count++
		}
	}
	return count
}

// removeRun gives back the room of a run that is over.
func (w *worker) removeRun(r *run) {
	delete(w.runs, r.key())
	w.free.add(r.size)
	if r.orphaned {
		w.orphaned--
	}
}
