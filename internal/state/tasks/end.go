package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	// defaultMaxFailures is the number of failures after which a task is not
	// retried, if its job sets no maximum.
	defaultMaxFailures = 3
	// minBackoffMs is the backoff after a task's first failure; it doubles with
	// each further one, up to maxBackoffMs.
	minBackoffMs = 1000
	maxBackoffMs = 5 * 60 * 1000
	// failureResetMs is how long an attempt must run to reset its task's failure
	// count.
	failureResetMs = 10 * 60 * 1000
)

// endAttempt releases the attempt's capacity and quota and detaches it from its
// task. The caller sets the task's next state.
func (t *Table) endAttempt(j *job, w *worker, a *attempt) {
	delete(t.liveAttempts, a.id)
	delete(w.liveAttempts, a.id)
	w.used = w.used.Minus(a.amount)
	w.bumpOrdersRevision()
	t.accountOf(a.team).removeUsage(a)
	task := j.tasks[a.index]
	task.liveAttempt = nil
	j.liveCount--
	if t.now-a.startedAt >= failureResetMs && a.startedAt > 0 {
		task.failures = 0
	}
	t.markTaskChanged(j, task)
}

// afterAttemptEnd follows every reported end of an attempt: it ends a probe,
// reconciles the job and reclassifies borrowed attempts of the team.
func (t *Table) afterAttemptEnd(j *job, w *worker, a *attempt) {
	if w.probeAttempt == a.id {
		w.probeAttempt = ""
		t.markWorkerChanged(w.name)
	}
	t.reconcileJob(j)
	t.reclassifyBorrowed(a.team)
}

// endedEarly reports whether the attempt never ran, or ended within
// minHealthyRunMs of its start.
func (t *Table) endedEarly(a *attempt) bool {
	return a.startedAt == 0 || t.now-a.startedAt < minHealthyRunMs
}

// onSucceeded updates the task of an attempt that succeeded. An idempotent service
// task runs again; a backoff applies if it keeps ending early.
func (t *Table) onSucceeded(j *job, task *task, w *worker, a *attempt) {
	t.recordHealthyStart(j, w, a)
	if !j.isService() || a.nonIdempotent || !j.wanted(task) {
		t.setState(j, task, apiv1.TaskState_TASK_STATE_DONE, "")
		return
	}
	if t.endedEarly(a) {
		task.failures++
	}
	t.scheduleRetry(j, task, "the service's task ended by itself")
}

// onFailed updates the task of an attempt that failed. A non-idempotent task is not
// retried.
func (t *Table) onFailed(j *job, task *task, w *worker, a *attempt, detail string) {
	if a.nonIdempotent {
		t.setState(j, task, apiv1.TaskState_TASK_STATE_FAILED, detail)
		return
	}
	if a.stopping() {
		t.onStopped(j, task, w, a)
		return
	}
	charged := true
	if t.endedEarly(a) {
		charged = t.recordStartFailure(j, w, a)
	} else {
		t.recordHealthyStart(j, w, a)
	}
	t.recordFailure(j, task, charged, detail)
}

// onStopped updates the task of an attempt that was stopped. An idempotent task
// waits again; the outcome of a non-idempotent one is unknown.
func (t *Table) onStopped(j *job, task *task, w *worker, a *attempt) {
	if !t.endedEarly(a) {
		t.recordHealthyStart(j, w, a)
	}
	if a.nonIdempotent {
		t.setState(j, task, apiv1.TaskState_TASK_STATE_UNKNOWN, "stopped after it may have started")
		return
	}
	t.setWaiting(j, task, "")
}

// onNeverStarted updates the task of an attempt that its worker never started, so
// that even a non-idempotent task can be retried.
func (t *Table) onNeverStarted(j *job, task *task, w *worker, a *attempt, detail string) {
	task.maybeStarted = false
	if a.stopping() {
		t.setWaiting(j, task, "")
		return
	}
	t.recordFailure(j, task, t.recordStartFailure(j, w, a), detail)
}

// onLost updates a task whose attempt was lost with its worker. An idempotent
// task waits again; the outcome of a non-idempotent one is unknown.
func (t *Table) onLost(j *job, w *worker, task *task, a *attempt, detail string) {
	if w.probeAttempt == a.id {
		w.probeAttempt = ""
	}
	if !a.nonIdempotent {
		t.setWaiting(j, task, detail)
		return
	}
	task.lostAttempt = a
	w.lostAttempts[a.id] = a
	t.setState(j, task, apiv1.TaskState_TASK_STATE_UNKNOWN, detail)
}

// recordFailure makes the task wait again, at once if the failure does not count
// against it (charged is false), else after a backoff. A task that reaches its
// maximum of failures fails permanently, unless it belongs to a service.
func (t *Table) recordFailure(j *job, task *task, charged bool, detail string) {
	if !charged {
		t.setWaiting(j, task, detail)
		return
	}
	task.failures++
	limit := j.spec.GetMaxFailures()
	if limit == 0 {
		limit = defaultMaxFailures
	}
	if task.failures >= limit && !j.isService() {
		t.setState(j, task, apiv1.TaskState_TASK_STATE_FAILED, fmt.Sprintf("failed %d times; last: %s", task.failures, detail))
		return
	}
	t.scheduleRetry(j, task, detail)
}

// scheduleRetry makes the task wait until its backoff has passed.
func (t *Table) scheduleRetry(j *job, task *task, detail string) {
	backoffMs := int64(0)
	for range task.failures {
		backoffMs = min(max(minBackoffMs, 2*backoffMs), maxBackoffMs)
	}
	task.notBefore = t.now + backoffMs
	t.setWaiting(j, task, detail)
}

// setWaiting makes the task wait for placement, or cancels it if it is no longer
// wanted.
func (t *Table) setWaiting(j *job, task *task, detail string) {
	if !j.wanted(task) {
		t.setState(j, task, apiv1.TaskState_TASK_STATE_CANCELLED, "")
		return
	}
	t.setState(j, task, apiv1.TaskState_TASK_STATE_WAITING, detail)
}

func (t *Table) setState(j *job, task *task, state apiv1.TaskState, detail string) {
	task.state = state
	task.detail = detail
	t.markTaskChanged(j, task)
}

// reconcileJob runs the steps that depend on all tasks of a job, after one of its
// attempts ended.
func (t *Table) reconcileJob(j *job) {
	if j.isGang() {
		t.reconcileGang(j)
	}
	t.applyGeneration(j)
	t.trimTasks(j)
	t.dropRemovedJob(j)
}
