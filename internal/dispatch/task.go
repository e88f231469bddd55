package dispatch

import "time"

// task is one task of a unit.
type task struct {
	unit       *unit
	index      int
	done       bool
	run        *run           // the present one; nil: none
	failedRuns map[int64]bool // numbers of the runs that failed
	checkpoint string
	failedOn   map[string]bool // workers on which it failed
	notBefore  time.Time
	// unclear: the previous leader may have started it on a worker that has not
	// reported yet.
	mayBeRunning bool
}

func (t *task) name() taskName {
	return taskName{job: t.unit.job.id, occurrence: t.unit.occurrence, step: t.unit.step, index: t.index}
}

// pending reports whether the task waits for a start.
func (t *task) pending(now time.Time) bool {
	return !t.done && t.run == nil && !t.mayBeRunning && !now.Before(t.notBefore)
}

// addFailure notes a failed run. The same end may come again, also under
// another leader.
func (t *task) addFailure(number int64) {
	if t.failedRuns == nil {
		t.failedRuns = make(map[int64]bool)
	}
	t.failedRuns[number] = true
}

func (t *task) failures() int { return len(t.failedRuns) }
