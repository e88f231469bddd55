package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// unit is one step of one occurrence of a job. Placement works on units: all
// tasks of a unit have the same size and requirements.
type unit struct {
	job             *job
	occurrence      int
	step            int
	spec            *apiv1.JobStep
	size            resources // of a task, on its worker
	countedSize     resources // of a task, against the cap of its workspace
	tasks           []*task
	remaining       int // number of tasks not done
	active          int // number of tasks not done that have a run
	lastRunNumber   int64
	advice          advice
	reservation     *reservation // of a waiting gang; nil: none
	nextReservation time.Time    // earliest next attempt to reserve workers
	rank            rank         // in the current pass
	waitingSince    time.Time    // since when no task could be started; zero: not waiting
	waitLoggedAt    time.Time
	heldAt          time.Time     // the pass in which a cap last held it back
	heldLoggedAt    time.Time     // when it was last logged that a cap holds it back
	suspendedUntil  time.Time     // not placed until then, after a panic
	preemptedAt     time.Time     // when runs of other units were last stopped for this one
	listed          bool          // by the pool among the units that are not parked
	parking         *parking      // why passes leave it out; nil: they don't
	risk            risk          // in the current pass
	mostCrashes     int           // of workers under one of its tasks
	pointedAt       bool          // the last of several crashes points at one of its tasks
	remainingPath   time.Duration // estimated length of the critical path after this step
}

// name returns the text form of the step's name.
func (u *unit) name() string { return stepName(u.job.id, u.occurrence, u.step) }

// estimate returns the estimated duration of one task.
func (u *unit) estimate() time.Duration {
	return time.Duration(u.spec.GetEstimateMs()) * time.Millisecond
}

// nextRunNumber returns a run number higher than that of any earlier run of the
// unit, including runs started by earlier leaders.
func (u *unit) nextRunNumber(term uint64) int64 {
	u.lastRunNumber = max(u.lastRunNumber+1, int64(term)*runNumbersPerTerm+1)
	return u.lastRunNumber
}

// runNumbersPerTerm is the size of the range of run numbers of one term.
const runNumbersPerTerm = 1 << 20

// observeRunNumber makes later run numbers higher than the given one.
func (u *unit) observeRunNumber(number int64) { u.lastRunNumber = max(u.lastRunNumber, number) }

// pending returns the tasks that can be started now. A gang has none until all
// its members can be started, as the members start together.
func (u *unit) pending(now time.Time) []*task {
	var waiting []*task
	for _, t := range u.tasks {
		if t.pending(now) {
			waiting = append(waiting, t)
		} else if u.spec.GetGang() && !t.done {
			return nil
		}
	}
	return waiting
}

// hasPendingTask reports whether any task can be started now. Unlike pending, it
// treats the members of a gang as single tasks.
func (u *unit) hasPendingTask(now time.Time) bool {
	if u.active == u.remaining {
		return false
	}
	for _, t := range u.tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
}

// ready reports whether the unit has tasks left, its occurrence is due and the
// steps it depends on are done.
func (u *unit) ready(nowUnixMs int64) bool {
	if u.remaining == 0 || nowUnixMs < u.dueUnixMs() {
		return false
	}
	return u.dependenciesDone()
}

// dependenciesDone reports whether the steps that the unit depends on are done.
func (u *unit) dependenciesDone() bool {
	for _, dependency := range u.spec.GetDependsOn() {
		if u.job.unit(u.occurrence, int(dependency)).remaining > 0 {
			return false
		}
	}
	return true
}

// likelyCulprit reports whether the crash of a worker is attributed to one of the unit's tasks.
func (u *unit) likelyCulprit() bool {
	if u.mostCrashes == 0 {
		return false
	}
	for _, t := range u.tasks {
		if !t.done && len(t.crashes.AttributedRuns) > 0 {
			return true
		}
	}
	return false
}

// forgetCrashes ends the suspicion that a task which is done has caused.
func (u *unit) forgetCrashes(completed *task) {
	if u.mostCrashes == 0 || completed.crashes.Count() < u.mostCrashes {
		return
	}
	u.mostCrashes = 0
	for _, t := range u.tasks {
		if !t.done {
			u.mostCrashes = max(u.mostCrashes, t.crashes.Count())
		}
	}
}

// dueUnixMs returns the due time of the occurrence in Unix milliseconds, or 0 if
// the job doesn't repeat and may start at once.
func (u *unit) dueUnixMs() int64 {
	spec := u.job.spec
	if spec.GetRepeatCount() <= 0 {
		return 0
	}
	return spec.GetFirstUnixMs() + int64(u.occurrence)*spec.GetIntervalMs()
}

// partlyRunning reports whether some members of a gang, but not all, have a run.
func (u *unit) partlyRunning() bool {
	runningCount := 0
	for _, t := range u.tasks {
		if t.run != nil {
			runningCount++
		}
	}
	return runningCount > 0 && runningCount < len(u.tasks)
}
