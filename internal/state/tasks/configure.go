package tasks

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// removedJobRetentionMs is how long a job that is no longer configured is remembered,
// if it has non-idempotent tasks that may have started: published again under
// the same generation, they are not started again.
const removedJobRetentionMs = 30 * 24 * 60 * 60 * 1000

// Configure takes over a published configuration. Attempts that it no longer
// wants are ordered to stop. The configuration must not be changed afterwards.
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
	revived := j.removed
	j.spec = spec
	j.removed = false
	j.removedAt = 0
	t.changes.markJob(spec.GetName())
	t.resizeJob(j)
	if revived {
		t.requeueTasks(j)
	}
	t.markLiveNonIdempotent(j)
	t.stopChangedJob(j, before)
	if j.gang() {
		t.reconcileGang(j)
	}
	t.applyGeneration(j)
	for _, k := range j.tasks {
		t.markTaskChanged(j, k)
	}
}

func (t *Table) nextSerial() uint64 {
	t.jobSerial++
	return t.jobSerial
}

// resizeJob makes the job's tasks fit its count.
func (t *Table) resizeJob(j *job) {
	for _, k := range j.tasks {
		t.reconcileTask(j, k)
	}
	t.trimTasks(j)
	if len(j.tasks) >= j.count() {
		return
	}
	j.serial = t.nextSerial()
	for len(j.tasks) < j.count() {
		k := &task{index: int32(len(j.tasks)), state: apiv1.TaskState_TASK_STATE_WAITING}
		j.tasks = append(j.tasks, k)
		t.markTaskChanged(j, k)
	}
}

// reconcileTask stops a task that is no longer wanted, and lets one that is
// wanted again wait.
func (t *Table) reconcileTask(j *job, k *task) {
	switch {
	case j.wanted(k) && k.state == apiv1.TaskState_TASK_STATE_CANCELLED:
		t.setWaiting(j, k, "")
	case j.wanted(k):
	case k.liveAttempt != nil:
		t.stopTask(j, k, false)
	case k.state == apiv1.TaskState_TASK_STATE_WAITING:
		t.setState(j, k, apiv1.TaskState_TASK_STATE_CANCELLED, "")
	}
}

// trimTasks drops tasks beyond the count of which nothing must be remembered.
func (t *Table) trimTasks(j *job) {
	for last := len(j.tasks) - 1; last >= j.count(); last-- {
		k := j.tasks[last]
		if k.liveAttempt != nil || k.maybeStarted {
			return
		}
		t.markTaskChanged(j, k)
		j.tasks = j.tasks[:last]
	}
}

// removeJob stops all tasks of a job that is no longer configured.
func (t *Table) removeJob(j *job) {
	if !j.removed {
		j.removed = true
		j.removedAt = t.now
		t.changes.markJob(j.spec.GetName())
	}
	for _, k := range j.tasks {
		t.reconcileTask(j, k)
	}
	t.dropRemovedJob(j)
}

// dropRemovedJob forgets a removed job once nothing of it must be remembered.
func (t *Table) dropRemovedJob(j *job) {
	if !j.removed || j.liveCount > 0 {
		return
	}
	if j.mayHaveStarted(len(j.tasks)) && t.now-j.removedAt < removedJobRetentionMs {
		return
	}
	name := j.spec.GetName()
	for _, k := range j.tasks {
		t.forgetLostAttempt(k)
		t.markTaskChanged(j, k)
	}
	delete(t.jobs.lockShard(name).values, name)
	t.changes.markJob(name)
}

// mayHaveStarted reports whether a non-idempotent one of the job's first n tasks
// may have started.
func (j *job) mayHaveStarted(n int) bool {
	return slices.ContainsFunc(j.tasks[:min(n, len(j.tasks))], func(k *task) bool { return k.maybeStarted })
}

// requeueTasks lets the tasks of a job that is configured again run again, as
// those of a new job would, unless they are non-idempotent and may have started.
func (t *Table) requeueTasks(j *job) {
	for _, k := range j.tasks {
		if k.terminal() && !k.maybeStarted {
			t.setWaiting(j, k, "")
		}
	}
}

// markLiveNonIdempotent makes live attempts non-idempotent that were not when placed.
func (t *Table) markLiveNonIdempotent(j *job) {
	if !j.spec.GetNonIdempotent() {
		return
	}
	for _, k := range j.tasks {
		if k.liveAttempt != nil {
			t.lockWorker(k.liveAttempt.worker)
			k.liveAttempt.nonIdempotent = true
			k.maybeStarted = true
		}
	}
}

// stopChangedJob stops the attempts of a job that became one of another kind,
// and those of a running gang whose tasks are no longer what they were placed
// as: it starts again as one. A non-idempotent gang runs on, unless it shrinks.
func (t *Table) stopChangedJob(j *job, before *apiv1.Job) {
	if j.liveCount == 0 {
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

// applyGeneration runs finished and unknown tasks again once the job's
// generation has changed. A gang waits until none of its attempts is live.
func (t *Table) applyGeneration(j *job) {
	if j.removed || j.generation == j.spec.GetGeneration() || j.gang() && j.liveCount > 0 {
		return
	}
	j.generation = j.spec.GetGeneration()
	j.failedOn = nil
	for _, k := range j.tasks {
		k.failures = 0
		k.notBefore = 0
		if k.terminal() {
			t.forgetLostAttempt(k)
			k.maybeStarted = false
			t.setWaiting(j, k, "")
		}
		t.markTaskChanged(j, k)
	}
}

// forgetLostAttempt forgets the task's lost attempt.
func (t *Table) forgetLostAttempt(k *task) {
	if k.lostAttempt == nil {
		return
	}
	if w := t.lockWorker(k.lostAttempt.worker); w != nil {
		delete(w.lostAttempts, k.lostAttempt.id)
		w.bumpOrdersRevision()
	}
	k.lostAttempt = nil
}
