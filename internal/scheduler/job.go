package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// job is a job with its tasks and scheduling state.
type job struct {
	name          string
	spec          *apiv1.Job // nil: no longer configured
	neverRunnable string
	amount        resources.Amount
	tasks         map[int32]*task

	dueTasks      []int32 // task indexes, highest first if sorted
	sorted        bool
	delayedTasks  int // waiting tasks that are not yet due
	runningTasks  int // tasks in the running state
	tasksByRack   map[rackKey]int
	tasksByDomain map[string]int
	dueSince      int64 // Unix milliseconds since when the job can be placed; 0: it can't

	blockedEpoch uint64 // the cell's capacityEpoch at the last failed placement; 0: none
	reserveAt    int64  // Unix milliseconds from which capacity may be reserved for it
	retryAt      int64  // Unix milliseconds at which to retry even if no capacity was freed; 0: none
}

// task is a task's state as of the last update.
type task struct {
	state         apiv1.TaskState
	nextAttemptID string
	notBefore     int64
	live          *liveAttempt
	queued        bool  // in the job's dueTasks
	dueAt         int64 // Unix milliseconds at which a delayed task is due; 0: not delayed
}

func newJob(name string) *job {
	return &job{
		name:          name,
		tasks:         make(map[int32]*task),
		tasksByRack:   make(map[rackKey]int),
		tasksByDomain: make(map[string]int),
	}
}

func (j *job) isGang() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_GANG
}

func (j *job) isService() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_SERVICE
}

// mayBorrow reports whether the job may exceed its team's quota. Only jobs whose
// attempts can be preempted may.
func (j *job) mayBorrow() bool {
	return !j.isService() && !j.spec.GetNonIdempotent()
}

// class returns the job's class, by default normal.
func (j *job) class() apiv1.Class {
	return classOf(j.spec)
}

func classOf(spec *apiv1.Job) apiv1.Class {
	if spec.GetClass() == apiv1.Class_CLASS_UNSPECIFIED {
		return apiv1.Class_CLASS_NORMAL
	}
	return spec.GetClass()
}

// enqueue adds a task to the due tasks.
func (j *job) enqueue(index int32, t *task) {
	if t.queued {
		return
	}
	t.queued = true
	j.dueTasks = append(j.dueTasks, index)
	j.sorted = false
}

// dequeue removes a task from the due tasks.
func (j *job) dequeue(index int32, t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	if last := len(j.dueTasks) - 1; j.dueTasks[last] == index {
		j.dueTasks = j.dueTasks[:last]
		return
	}
	i := slices.Index(j.dueTasks, index)
	j.dueTasks = slices.Delete(j.dueTasks, i, i+1)
}

// firstDue returns the due task with the lowest index.
func (j *job) firstDue() int32 {
	j.sortDue()
	return j.dueTasks[len(j.dueTasks)-1]
}

func (j *job) sortDue() {
	if j.sorted {
		return
	}
	slices.SortFunc(j.dueTasks, func(a, b int32) int { return int(b - a) })
	j.sorted = true
}

// allTasksDue reports whether all tasks of a gang are due, so that it can be
// placed.
func (j *job) allTasksDue() bool {
	return len(j.dueTasks) == int(j.spec.GetCount())
}

// nextPlacementSize returns how many tasks the job's next placement has.
func (j *job) nextPlacementSize() int {
	if j.isGang() {
		return len(j.dueTasks)
	}
	return min(1, len(j.dueTasks))
}

// startable reports whether tasks of the job can be placed now, capacity aside.
func (j *job) startable() bool {
	if j.spec == nil || j.neverRunnable != "" || len(j.dueTasks) == 0 {
		return false
	}
	return !j.isGang() || j.allTasksDue()
}

// addToSpread adds to the number of the job's attempts on the worker's rack and
// failure domain.
func (j *job) addToSpread(w *Worker, by int) {
	key := rackKeyOf(w)
	j.tasksByRack[key] += by
	if j.tasksByRack[key] == 0 {
		delete(j.tasksByRack, key)
	}
	j.tasksByDomain[key.domain] += by
	if j.tasksByDomain[key.domain] == 0 {
		delete(j.tasksByDomain, key.domain)
	}
}

func rackKeyOf(w *Worker) rackKey {
	return rackKey{
		domain: w.Location.GetFailureDomain(),
		name:   w.Location.GetRack(),
	}
}
