package tasks

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// keepRemovedMs is how long a job that is no longer configured is remembered,
// if it has non-idempotent tasks that may have started: published again under
// the same generation, they are not started again.
const keepRemovedMs = 30 * 24 * 60 * 60 * 1000

// Configure takes over a published configuration. Attempts that it no longer
// wants are ordered to stop. The configuration must not be changed afterwards.
func (t *Table) Configure(nowUnixMs int64, c *apiv1.Configuration) {
	t.advance(nowUnixMs)
	t.shapes = c.GetShapes()
	wanted := make(map[string]bool, len(c.GetJobs()))
	specs := slices.SortedFunc(slices.Values(c.GetJobs()), func(a, b *apiv1.Job) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	for _, spec := range specs {
		wanted[spec.GetName()] = true
		t.configure(spec)
		t.release()
	}
	for _, name := range t.jobs.names() {
		if !wanted[name] {
			t.remove(t.job(name))
			t.release()
		}
	}
	t.setTeams(c.GetTeams())
	t.checkNever()
	t.release()
}

func (t *Table) configure(spec *apiv1.Job) {
	j := t.job(spec.GetName())
	if j == nil {
		j = &job{spec: spec, serial: t.nextSerial(), generation: spec.GetGeneration()}
		t.jobs.write(spec.GetName()).values[spec.GetName()] = j
		t.resize(j)
		t.changes.job(spec.GetName())
		return
	}
	if !j.removed && proto.Equal(j.spec, spec) {
		return
	}
	before := j.spec
	revived := j.removed
	j.spec = spec
	j.removed = false
	j.removedAt = 0
	t.changes.job(spec.GetName())
	t.resize(j)
	if revived {
		t.reviveTasks(j)
	}
	t.markLive(j)
	t.restartChanged(j, before)
	if j.gang() {
		t.settleGang(j)
	}
	t.settleGeneration(j)
	for _, k := range j.tasks {
		t.dirtyTask(j, k)
	}
}

func (t *Table) nextSerial() uint64 {
	t.jobSerial++
	return t.jobSerial
}

// resize makes the job's tasks fit its count.
func (t *Table) resize(j *job) {
	for _, k := range j.tasks {
		t.cancelOrWant(j, k)
	}
	t.trim(j)
	if len(j.tasks) >= j.count() {
		return
	}
	j.serial = t.nextSerial()
	for len(j.tasks) < j.count() {
		k := &task{index: int32(len(j.tasks)), state: apiv1.TaskState_TASK_STATE_WAITING}
		j.tasks = append(j.tasks, k)
		t.dirtyTask(j, k)
	}
}

// cancelOrWant stops a task that is no longer wanted, and lets one that is
// wanted again wait.
func (t *Table) cancelOrWant(j *job, k *task) {
	switch {
	case j.wanted(k) && k.state == apiv1.TaskState_TASK_STATE_CANCELLED:
		t.setWaiting(j, k, "")
	case j.wanted(k):
	case k.live != nil:
		t.stop(j, k, false)
	case k.state == apiv1.TaskState_TASK_STATE_WAITING:
		t.setState(j, k, apiv1.TaskState_TASK_STATE_CANCELLED, "")
	}
}

// trim drops tasks beyond the count of which nothing must be remembered.
func (t *Table) trim(j *job) {
	for last := len(j.tasks) - 1; last >= j.count(); last-- {
		k := j.tasks[last]
		if k.live != nil || k.started {
			return
		}
		t.dirtyTask(j, k)
		j.tasks = j.tasks[:last]
	}
}

// remove stops all tasks of a job that is no longer configured.
func (t *Table) remove(j *job) {
	if !j.removed {
		j.removed = true
		j.removedAt = t.now
		t.changes.job(j.spec.GetName())
	}
	for _, k := range j.tasks {
		t.cancelOrWant(j, k)
	}
	t.dropRemoved(j)
}

// dropRemoved forgets a removed job once nothing of it must be remembered.
func (t *Table) dropRemoved(j *job) {
	if !j.removed || j.live > 0 {
		return
	}
	if j.mayHaveStarted(len(j.tasks)) && t.now-j.removedAt < keepRemovedMs {
		return
	}
	name := j.spec.GetName()
	for _, k := range j.tasks {
		t.unlose(k)
		t.dirtyTask(j, k)
	}
	delete(t.jobs.write(name).values, name)
	t.changes.job(name)
}

// mayHaveStarted reports whether a non-idempotent one of the job's first n tasks
// may have started.
func (j *job) mayHaveStarted(n int) bool {
	return slices.ContainsFunc(j.tasks[:min(n, len(j.tasks))], func(k *task) bool { return k.started })
}

// reviveTasks lets the tasks of a job that is configured again run again, as
// those of a new job would, unless they are non-idempotent and may have started.
func (t *Table) reviveTasks(j *job) {
	for _, k := range j.tasks {
		if k.terminal() && !k.started {
			t.setWaiting(j, k, "")
		}
	}
}

// markLive makes live attempts non-idempotent that were not when placed.
func (t *Table) markLive(j *job) {
	if !j.spec.GetNonIdempotent() {
		return
	}
	for _, k := range j.tasks {
		if k.live != nil {
			t.worker(k.live.worker)
			k.live.once = true
			k.started = true
		}
	}
}

// restartChanged stops the attempts of a job that became one of another kind,
// and those of a running gang whose tasks are no longer what they were placed
// as: it starts again as one. A non-idempotent gang runs on, unless it shrinks.
func (t *Table) restartChanged(j *job, before *apiv1.Job) {
	if j.live == 0 {
		return
	}
	if before.GetKind() != j.spec.GetKind() {
		t.stopJob(j, j.spec.GetCheckpoint())
		return
	}
	if !j.gang() || j.spec.GetNonIdempotent() {
		return
	}
	same := before.GetCount() == j.spec.GetCount() &&
		before.GetCommand() == j.spec.GetCommand() &&
		before.GetGeneration() == j.spec.GetGeneration() &&
		proto.Equal(before.GetResources(), j.spec.GetResources())
	if !same {
		t.stopJob(j, j.spec.GetCheckpoint())
	}
}

// settleGeneration runs finished and unknown tasks again once the job's
// generation has changed. A gang waits until none of its attempts is live.
func (t *Table) settleGeneration(j *job) {
	if j.removed || j.generation == j.spec.GetGeneration() || j.gang() && j.live > 0 {
		return
	}
	j.generation = j.spec.GetGeneration()
	j.failedOn = nil
	for _, k := range j.tasks {
		k.failures = 0
		k.notBefore = 0
		if k.terminal() {
			t.unlose(k)
			k.started = false
			t.setWaiting(j, k, "")
		}
		t.dirtyTask(j, k)
	}
}

// unlose forgets the task's lost attempt.
func (t *Table) unlose(k *task) {
	if k.lost == nil {
		return
	}
	if w := t.worker(k.lost.worker); w != nil {
		delete(w.lost, k.lost.id)
		w.bump()
	}
	k.lost = nil
}
