package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// unit is one step of one occurrence of a job: what is placed together.
type unit struct {
	job             *job
	occurrence      int
	step            int
	spec            *apiv1.JobStep
	size            resources
	tasks           []*task
	remaining       int // tasks not done
	lastRunNumber   int64
	advice          advice
	reservation     *reservation // of a waiting gang
	nextReservation time.Time    // not before, if none could be made
	rank            rank         // in the present pass
	waitingSince    time.Time    // without a start
	waitLoggedAt    time.Time
	remainingPath   time.Duration // longest chain of estimates that follows this step
}

func (u *unit) name() string { return stepName(u.job.id, u.occurrence, u.step) }

func (u *unit) estimate() time.Duration {
	return time.Duration(u.spec.GetEstimateMs()) * time.Millisecond
}

// nextRunNumber returns a run number that no run of the unit had before, under any
// leader.
func (u *unit) nextRunNumber(term uint64) int64 {
	u.lastRunNumber = max(u.lastRunNumber+1, int64(term)*runNumbersPerTerm+1)
	return u.lastRunNumber
}

// runNumbersPerTerm is the room for run numbers between two terms.
const runNumbersPerTerm = 1 << 20

func (u *unit) observeRunNumber(number int64) { u.lastRunNumber = max(u.lastRunNumber, number) }

// pending returns the tasks that wait for a start. A gang's members wait until
// no run of any of them is left.
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

// hasPendingTask reports whether any task waits for a start.
func (u *unit) hasPendingTask(now time.Time) bool {
	for _, t := range u.tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
}

// ready reports whether the steps before are done and the occurrence is due.
func (u *unit) ready(nowUnixMs int64) bool {
	if u.remaining == 0 || nowUnixMs < u.dueUnixMs() {
		return false
	}
	return u.dependenciesDone()
}

func (u *unit) dependenciesDone() bool {
	for _, before := range u.spec.GetDependsOn() {
		if u.job.unit(u.occurrence, int(before)).remaining > 0 {
			return false
		}
	}
	return true
}

// dueUnixMs returns when the occurrence is due; 0: at once.
func (u *unit) dueUnixMs() int64 {
	spec := u.job.spec
	if spec.GetRepeatCount() <= 0 {
		return 0
	}
	return spec.GetFirstUnixMs() + int64(u.occurrence)*spec.GetIntervalMs()
}

// partlyRunning reports whether some members of a gang have a run and others have none.
func (u *unit) partlyRunning() bool {
	with := 0
	for _, t := range u.tasks {
		if t.run != nil {
			with++
		}
	}
	return with > 0 && with < len(u.tasks)
}
