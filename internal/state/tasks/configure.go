package tasks

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// removedJobRetentionMs is how long a job that was removed from the configuration
// is kept if it has non-idempotent tasks that may have started. When the job is
// published again with the same generation, those tasks are not run again.
const removedJobRetentionMs = 30 * 24 * 60 * 60 * 1000

// Configure replaces the configuration with a newly published one. Attempts
// that it no longer calls for are ordered to stop. The table keeps references
// into c, so the caller must not modify it afterwards.
func (t *Table) Configure(nowUnixMs int64, c *apiv1.Configuration) {
	t.advanceClock(nowUnixMs)
	t.shapes = c.GetShapes()
	wanted := make(map[string]bool, len(c.GetJobs()))
	specs := slices.SortedFunc(slices.Values(c.GetJobs()), func(a, b *apiv1.Job) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	for _, spec := range specs {
		wanted[spec.GetName()] = true
		t.configureJob(spec)
		t.releaseLocks()
	}
	for _, name := range t.jobs.names() {
		if !wanted[name] {
			t.removeJob(t.lockJob(name))
			t.releaseLocks()
		}
	}
	t.setTeams(c.GetTeams())
	t.updateNeverRunnable()
	t.releaseLocks()
}

// configureJob adds a job or updates it to the new spec.
func (t *Table) configureJob(spec *apiv1.Job) {
	j := t.lockJob(spec.GetName())
	if j == nil {
		j = &job{spec: spec, serial: t.nextSerial(), generation: spec.GetGeneration()}
		t.jobs.lockShard(spec.GetName()).values[spec.GetName()] = j
		t.resizeJob(j)
		t.changes.markJob(spec.GetName())
		return
	}
	if !j.removed && proto.Equal(j.spec, spec) {
		return
	}
	before := j.spec
	wasRemoved := j.removed
	j.spec = spec
	j.removed = false
	j.removedAt = 0
	t.changes.markJob(spec.GetName())
	t.resizeJob(j)
	if wasRemoved {
		t.requeueTasks(j)
	}
	t.markLiveNonIdempotent(j)
	t.stopChangedJob(j, before)
	if j.isGang() {
		t.reconcileGang(j)
	}
	t.applyGeneration(j)
	for _, task := range j.tasks {
		t.markTaskChanged(j, task)
	}
}

func (t *Table) nextSerial() uint64 {
	t.jobSerial++
	return t.jobSerial
}

// resizeJob adds or removes tasks so that they match the job's count.
func (t *Table) resizeJob(j *job) {
	for _, task := range j.tasks {
		t.reconcileTask(j, task)
	}
	t.trimTasks(j)
	if len(j.tasks) >= j.count() {
		return
	}
	j.serial = t.nextSerial()
	for len(j.tasks) < j.count() {
		task := &task{index: int32(len(j.tasks)), state: apiv1.TaskState_TASK_STATE_WAITING}
		j.tasks = append(j.tasks, task)
		t.markTaskChanged(j, task)
	}
}

// reconcileTask stops or cancels a task beyond the job's count, and requeues a
// cancelled one that is within it again.
func (t *Table) reconcileTask(j *job, task *task) {
	switch {
	case j.wanted(task) && task.state == apiv1.TaskState_TASK_STATE_CANCELLED:
		t.setWaiting(j, task, "")
	case j.wanted(task):
	case task.liveAttempt != nil:
		t.stopTask(j, task, false)
	case task.state == apiv1.TaskState_TASK_STATE_WAITING:
		t.setState(j, task, apiv1.TaskState_TASK_STATE_CANCELLED, "")
	}
}

// trimTasks removes tasks beyond the job's count from the end, up to the first
// one that has a live attempt or is non-idempotent and may have started.
func (t *Table) trimTasks(j *job) {
	for last := len(j.tasks) - 1; last >= j.count(); last-- {
		task := j.tasks[last]
		if task.liveAttempt != nil || task.maybeStarted {
			return
		}
		t.markTaskChanged(j, task)
		j.tasks = j.tasks[:last]
	}
}

// removeJob marks a job that is no longer configured as removed and stops its
// tasks.
func (t *Table) removeJob(j *job) {
	if !j.removed {
		j.removed = true
		j.removedAt = t.now
		t.changes.markJob(j.spec.GetName())
	}
	for _, task := range j.tasks {
		t.reconcileTask(j, task)
	}
	t.dropRemovedJob(j)
}

// dropRemovedJob deletes a removed job once it has no live attempts and, if
// non-idempotent tasks of it may have started, removedJobRetentionMs have passed.
func (t *Table) dropRemovedJob(j *job) {
	if !j.removed || j.liveCount > 0 {
		return
	}
	if j.mayHaveStarted(len(j.tasks)) && t.now-j.removedAt < removedJobRetentionMs {
		return
	}
	name := j.spec.GetName()
	for _, task := range j.tasks {
		t.forgetLostAttempt(task)
		t.markTaskChanged(j, task)
	}
	delete(t.jobs.lockShard(name).values, name)
	t.changes.markJob(name)
}

// mayHaveStarted reports whether any of the job's first n tasks is
// non-idempotent and may have started.
func (j *job) mayHaveStarted(n int) bool {
	return slices.ContainsFunc(j.tasks[:min(n, len(j.tasks))], func(task *task) bool { return task.maybeStarted })
}

// requeueTasks makes the ended tasks of a job that is configured again wait, as
// those of a new job do, except non-idempotent ones that may have started.
func (t *Table) requeueTasks(j *job) {
	for _, task := range j.tasks {
		if task.terminal() && !task.maybeStarted {
			t.setWaiting(j, task, "")
		}
	}
}

// markLiveNonIdempotent marks live attempts as non-idempotent if the job became
// non-idempotent after they were placed.
func (t *Table) markLiveNonIdempotent(j *job) {
	if !j.spec.GetNonIdempotent() {
		return
	}
	for _, task := range j.tasks {
		if task.liveAttempt != nil {
			t.lockWorker(task.liveAttempt.worker)
			task.liveAttempt.nonIdempotent = true
			task.maybeStarted = true
		}
	}
}

// stopChangedJob stops the attempts of a job whose kind changed, and those of a
// running gang whose count, command, generation or resources changed, so that
// the whole gang restarts together. A non-idempotent gang keeps running; if its
// count shrinks, reconcileGang stops it.
func (t *Table) stopChangedJob(j *job, before *apiv1.Job) {
	if j.liveCount == 0 {
		return
	}
	if before.GetKind() != j.spec.GetKind() {
		t.stopJob(j, j.spec.GetCheckpoint())
		return
	}
	if !j.isGang() || j.spec.GetNonIdempotent() {
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

// applyGeneration switches the tasks to the job's new generation: ended tasks,
// also those with unknown outcome, wait again, and failure counts are reset. For
// a gang it waits until none of its attempts is live.
func (t *Table) applyGeneration(j *job) {
	if j.removed || j.generation == j.spec.GetGeneration() || j.isGang() && j.liveCount > 0 {
		return
	}
	j.generation = j.spec.GetGeneration()
	j.failedOn = nil
	for _, task := range j.tasks {
		task.failures = 0
		task.notBefore = 0
		if task.terminal() {
			t.forgetLostAttempt(task)
			task.maybeStarted = false
			t.setWaiting(j, task, "")
		}
		t.markTaskChanged(j, task)
	}
}

// forgetLostAttempt drops the task's lost attempt, so that its worker is no
// longer ordered to stop it.
func (t *Table) forgetLostAttempt(task *task) {
	if task.lostAttempt == nil {
		return
	}
	if w := t.lockWorker(task.lostAttempt.worker); w != nil {
		delete(w.lostAttempts, task.lostAttempt.id)
		w.bumpOrdersRevision()
	}
	task.lostAttempt = nil
}
