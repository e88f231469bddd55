package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// job is a job and its tasks.
type job struct {
	name   string
	spec   *apiv1.Job // nil: not configured any more
	never  string
	amount resources.Amount
	tasks  map[int32]*task

	waiting []int32 // due tasks, highest index first
	sorted  bool
	parked  int // waiting tasks that are not yet due
	running int // tasks whose state is running
	racks   map[rackKey]int
	domains map[string]int
	since   int64 // Unix milliseconds since when the job has due tasks

	blocked   uint64 // the cell's growth when no worker could take a task; 0: none
	reserveAt int64  // Unix milliseconds from which room may be sought for it
	retryAt   int64  // Unix milliseconds at which to try again all the same; 0: none
}

// task is a task as last seen.
type task struct {
	state     apiv1.TaskState
	next      string // id of its next attempt
	notBefore int64
	live      *running
	queued    bool  // among the job's due tasks
	due       int64 // Unix milliseconds at which a parked task is due; 0: not parked
}

func newJob(name string) *job {
	return &job{
		name:    name,
		tasks:   make(map[int32]*task),
		racks:   make(map[rackKey]int),
		domains: make(map[string]int),
	}
}

func (j *job) gang() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_GANG
}

func (j *job) service() bool {
	return j.spec.GetKind() == apiv1.JobKind_JOB_KIND_SERVICE
}

// mayBorrow reports whether the job's attempts can be preempted.
func (j *job) mayBorrow() bool {
	return !j.service() && !j.spec.GetNonIdempotent()
}

// class returns the job's class; unspecified counts as normal.
func (j *job) class() apiv1.Class {
	return classOf(j.spec)
}

func classOf(spec *apiv1.Job) apiv1.Class {
	if spec.GetClass() == apiv1.Class_CLASS_UNSPECIFIED {
		return apiv1.Class_CLASS_NORMAL
	}
	return spec.GetClass()
}

// enqueue adds a due task.
func (j *job) enqueue(at int32, k *task) {
	if k.queued {
		return
	}
	k.queued = true
	j.waiting = append(j.waiting, at)
	j.sorted = false
}

// dequeue drops a task that no longer waits.
func (j *job) dequeue(at int32, k *task) {
	if !k.queued {
		return
	}
	k.queued = false
	if last := len(j.waiting) - 1; j.waiting[last] == at {
		j.waiting = j.waiting[:last]
		return
	}
	i := slices.Index(j.waiting, at)
	j.waiting = slices.Delete(j.waiting, i, i+1)
}

// first returns the due task of the lowest index.
func (j *job) first() int32 {
	j.sort()
	return j.waiting[len(j.waiting)-1]
}

func (j *job) sort() {
	if j.sorted {
		return
	}
	slices.SortFunc(j.waiting, func(a, b int32) int { return int(b - a) })
	j.sorted = true
}

// whole reports whether a gang can be placed: each of its tasks is due.
func (j *job) whole() bool {
	return len(j.waiting) == int(j.spec.GetCount())
}

// next returns how many tasks the job's next placement has.
func (j *job) next() int {
	if j.gang() {
		return len(j.waiting)
	}
	return min(1, len(j.waiting))
}

// startable reports whether a decision may place tasks of the job now.
func (j *job) startable() bool {
	if j.spec == nil || j.never != "" || len(j.waiting) == 0 {
		return false
	}
	return !j.gang() || j.whole()
}

// spread counts an attempt on the worker's rack, or takes it off.
func (j *job) spread(w *Worker, by int) {
	key := placeOf(w)
	j.racks[key] += by
	if j.racks[key] == 0 {
		delete(j.racks, key)
	}
	j.domains[key.domain] += by
	if j.domains[key.domain] == 0 {
		delete(j.domains, key.domain)
	}
}

func placeOf(w *Worker) rackKey {
	return rackKey{
		domain: w.Location.GetFailureDomain(),
		name:   w.Location.GetRack(),
	}
}
