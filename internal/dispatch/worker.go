package dispatch

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// worker is one incarnation of a worker of a pool.
type worker struct {
	id       string
	record   *apiv1.PoolWorker // the newest; replaced, never modified
	pool     *pool             // nil in tests: its runs are not counted
	stored   *apiv1.PoolWorker // the former incarnation's, which the table has until this one reports; nil: record
	capacity resources
	free     resources // capacity minus the resources of all runs
	runs     map[runKey]*run
	orphaned int // number of runs of unknown tasks, whose size is unknown
	addedAt  time.Time
	lost     bool // removed from the pool
	silent   bool // removed because it did not answer

	predecessor *predecessor // whose runs this incarnation may have executed; nil: none
	// lateStarts are runs that are over here, of which a start request may still be executed: by
	// a later incarnation, as this one rejects it.
	lateStarts []*run

	slot       int        // among the workers of its pool
	seenRoom   workerRoom // at the end of the last pass
	grewInPass bool       // it got more room since the last pass began

	reservedFor *unit // the waiting gang that has reserved the worker; nil: none
	trial       bool  // runs contained and isolated units only
	trialUsedAt time.Time
	trialClaims []*unit // the waiting units for which a trial worker is kept, set by each pass
	riskyRuns   int     // number of runs whose risk is not riskNone

	listedBorn int64 // Unix time in ms of its birth, by its last list of runs; 0: none
	// synced is set once the worker has reported its runs for this term's token.
	synced      bool
	endsPending bool       // its last report did not list all ends
	ackCursor   int64      // sequence up to which ends are committed
	sentCursor  int64      // acknowledged by the last poll; 0: nothing
	ackedCursor int64      // the highest one of a poll that was answered
	uncommitted []EndedRun // ends that its last report listed and that are not committed yet
	clockMs     int64      // reading of the worker's clock, taken at clockAt or earlier
	clockAt     time.Time
	leaseEnd    time.Time // when all leases granted by any leader have expired
	reportedAt  time.Time // time of the last Hold response
	// lastPoll and answeredPoll are when the last Hold request was sent, and the last one that was answered.
	lastPoll, answeredPoll clock.Reading
	idlePollAt             time.Time     // time of the next Hold request if polls follow each other at intervals
	pollNow                chan struct{} // holds an element if the next poll may be due earlier
	heardAt                time.Time     // time of the last response
	refusedAt              time.Time     // time of the first call since then that found no listener; zero: none
	suspected              bool          // it has probably crashed since then
	failedCalls            int           // calls refused for lack of a listener since the last success; at least 1 after any failed Hold call
	health                 health
	cancel                 context.CancelFunc // ends the hold loop
	leaving                bool               // its record is marked as gone
}

// newWorker returns a worker without runs.
func newWorker(record *apiv1.PoolWorker) *worker {
	size := capacity(record)
	return &worker{
		id: record.GetId(), record: record, capacity: size, free: size,
		runs: make(map[runKey]*run), addedAt: time.Now(), leaving: record.GetGone(),
		pollNow: make(chan struct{}, 1),
	}
}

// minClockRate is the lowest rate of a worker's clock relative to ours that the
// platform allows.
const minClockRate = 0.98

// leaseExpiryMargin is how long a worker may take to end its runs after its lease
// has expired.
const leaseExpiryMargin = 300 * time.Millisecond

// leaseDeadline returns a lease deadline in ms on the worker's clock that is
// certain to have passed once the remaining time of the leader lease has elapsed
// here, even if the worker's clock runs at minClockRate. It returns 0 if the
// worker's clock is not known or the remaining time is not positive.
func (w *worker) leaseDeadline(now time.Time, remaining time.Duration) int64 {
	if w.clockAt.IsZero() || remaining <= 0 {
		return 0
	}
	return w.lowestClockMs(now.Add(remaining))
}

// lowestClockMs returns the lowest reading that the worker's clock can show at the time. A reading must be known.
func (w *worker) lowestClockMs(at time.Time) int64 {
	return w.clockMs + int64(minClockRate*float64(at.Sub(w.clockAt).Milliseconds()))
}

// recordLeaseGranted records that the worker may hold leases until the
// remaining time of the leader lease has elapsed.
func (w *worker) recordLeaseGranted(now time.Time, remaining time.Duration) {
	if end := now.Add(remaining); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// observeClock records a reading of the worker's clock that was received now.
// A reading of 0 means that the worker sent none.
func (w *worker) observeClock(clockMs int64, now time.Time) {
	if clockMs > 0 {
		w.clockMs, w.clockAt = clockMs, now
	}
}

// observeResponse records that the worker has responded to a call.
func (w *worker) observeResponse(now time.Time) {
	w.heardAt, w.refusedAt, w.suspected, w.failedCalls = now, time.Time{}, false, 0
}

// endedBy returns the time by which an incarnation that is known to have ended by now had
// probably done so: when nothing listened at its address any more.
func (w *worker) endedBy(now time.Time) time.Time {
	if w.refusedAt.IsZero() {
		return now
	}
	return w.refusedAt
}

// schedulable reports whether new tasks may be started on the worker.
func (w *worker) schedulable(now time.Time) bool {
	return w.synced && w.stored == nil && w.orphaned == 0 && !w.record.GetDraining() && !w.leaving && w.failedCalls == 0 && w.health.schedulable(now)
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.record.GetLabels(), label)
}

// isReservedForOther reports whether a waiting gang other than the unit has reserved the
// worker.
func (w *worker) isReservedForOther(u *unit) bool { return w.reservedFor != nil && w.reservedFor != u }

// rack returns the worker's rack, which is its second label, or "".
func (w *worker) rack() string {
	labels := w.record.GetLabels()
	if len(labels) < 2 {
		return ""
	}
	return labels[1]
}

// runsOfUnit returns the number of the unit's runs on the worker.
func (w *worker) runsOfUnit(u *unit) int {
	count := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.unit == u {
			count++
		}
	}
	return count
}

// addRun adds a run, which occupies its resources from now on.
func (w *worker) addRun(r *run) {
	if r.fence {
		r.task.fences++
	}
	w.pool.account().addRun(r)
	w.pool.occupy(r)
	w.runs[r.key()] = r
	w.free.subtract(r.size)
	if r.risk != riskNone {
		w.riskyRuns++
	}
}

// removeRun removes a run and frees its resources.
func (w *worker) removeRun(r *run) {
	w.detachRun(r)
	if !r.staysCounted {
		w.pool.account().removeRun(r)
	}
}

// detachRun is removeRun for a run that the ledger goes on counting, since it moves to another
// incarnation.
func (w *worker) detachRun(r *run) {
	if r.fence {
		r.task.fences--
		r.task.unit.unpark()
	}
	delete(w.runs, r.key())
	w.pool.vacate(r)
	if r.risk != riskNone {
		w.riskyRuns--
	}
	w.free.add(r.size)
	w.grewInPass = true
	if r.orphaned {
		if w.orphaned--; w.orphaned == 0 {
			w.pool.account().removeOrphans(w)
		}
	}
	if r.unanswered {
		w.addLateStart(r, time.Now())
	}
}
