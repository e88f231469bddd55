package dispatch

import (
	"time"

	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// task is one of the tasks of a unit. Failed tasks are run again.
type task struct {
	unit       *unit
	index      int
	done       bool
	run        *run           // current run; nil: none
	fences     int            // number of runs that are over and being stopped so that no worker executes their starts
	failedRuns map[int64]bool // numbers of the runs that failed
	checkpoint string
	failedOn   map[string]bool // ids of workers on which it failed
	quickFails quickFailures   // of a long-running task
	notBefore  time.Time       // earliest next start
	// preemptions is how often a run of the task was stopped for another unit.
	preemptions int
	// mayBeRunning is set while the previous leader may have started the task on
	// a worker that has not reported to this leader yet.
	mayBeRunning bool
	crashes      jobs.Crashes // of workers under its runs
	// crashUnrecorded is set while the last crash is not committed yet.
	crashUnrecorded bool
	// unconfirmedLosses is the number of its runs that were lost since the leadership was last confirmed.
	unconfirmedLosses int
}

// name returns the name that identifies the task to workers.
func (t *task) name() taskName {
	return taskName{job: t.unit.job.id, occurrence: t.unit.occurrence, step: t.unit.step, index: t.index}
}

// setRun sets the task's current run; nil: it has none.
func (t *task) setRun(r *run) {
	t.unit.unpark()
	if !t.done {
		t.unit.active += count(r != nil) - count(t.run != nil)
	}
	if t.run != nil && t.run.isLongRunning() && t.run.hasWorked(time.Now()) {
		t.quickFails = quickFailures{}
	}
	t.run = r
}

// setDone marks the task as done. A run that it still has goes on until it is stopped.
func (t *task) setDone() {
	t.unit.unpark()
	if !t.done {
		t.unit.active -= count(t.run != nil)
	}
	t.done = true
}

// count returns 1 if the condition holds.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// pending reports whether the task can be started now.
func (t *task) pending(now time.Time) bool {
	return !t.done && t.run == nil && t.fences == 0 && !t.mayBeRunning && !t.crashUnrecorded && t.unconfirmedLosses == 0 && !now.Before(t.notBefore)
}

// addFailure records a failed run. A run reported again, also to another leader,
// is counted once.
func (t *task) addFailure(number int64) {
	if t.failedRuns == nil {
		t.failedRuns = make(map[int64]bool)
	}
	t.failedRuns[number] = true
}

// failures returns the number of distinct failed runs.
func (t *task) failures() int { return len(t.failedRuns) }
