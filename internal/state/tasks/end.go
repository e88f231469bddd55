package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	// defaultMaxFailures is how often a task fails before it is given up.
	defaultMaxFailures = 3
	// firstRetryMs is the pause after a task's first failure; it doubles with
	// each further one, up to maxRetryMs.
	firstRetryMs = 1000
	maxRetryMs   = 5 * 60 * 1000
	// forgiveMs is how long an attempt must run for its task's earlier failures
	// to be forgiven.
	forgiveMs = 10 * 60 * 1000
)

// end gives the attempt's capacity back. The caller says what becomes of the
// task.
func (t *Table) end(j *job, w *worker, a *attempt) {
	delete(t.live, a.id)
	delete(w.live, a.id)
	w.used = w.used.Minus(a.amount)
	w.bump()
	t.team(a.team).give(a)
	k := j.tasks[a.index]
	k.live = nil
	j.live--
	if t.now-a.startedAt >= forgiveMs && a.startedAt > 0 {
		k.failures = 0
	}
	t.dirtyTask(j, k)
}

// ended does what follows the end of any attempt.
func (t *Table) ended(j *job, w *worker, a *attempt) {
	if w.probe == a.id {
		w.probe = ""
		t.dirtyWorker(w.name)
	}
	t.afterEnd(j)
	t.redeem(a.team)
}

// soon reports whether the attempt ended too soon to call its start good.
func (t *Table) soon(a *attempt) bool {
	return a.startedAt == 0 || t.now-a.startedAt < soonMs
}

func (t *Table) succeeded(j *job, k *task, w *worker, a *attempt) {
	t.startedWell(j, w, a)
	if !j.service() || a.once || !j.wanted(k) {
		t.setState(j, k, apiv1.TaskState_TASK_STATE_DONE, "")
		return
	}
	if t.soon(a) {
		k.failures++
	}
	t.retry(j, k, "the service's task ended by itself")
}

func (t *Table) failed(j *job, k *task, w *worker, a *attempt, detail string) {
	if a.once {
		t.setState(j, k, apiv1.TaskState_TASK_STATE_FAILED, detail)
		return
	}
	if a.stopping() {
		t.stopped(j, k, w, a)
		return
	}
	charged := true
	if t.soon(a) {
		charged = t.failedSoon(j, w, a)
	} else {
		t.startedWell(j, w, a)
	}
	t.charge(j, k, charged, detail)
}

func (t *Table) stopped(j *job, k *task, w *worker, a *attempt) {
	if !t.soon(a) {
		t.startedWell(j, w, a)
	}
	if a.once {
		t.setState(j, k, apiv1.TaskState_TASK_STATE_UNKNOWN, "stopped after it may have started")
		return
	}
	t.setWaiting(j, k, "")
}

func (t *Table) neverStarted(j *job, k *task, w *worker, a *attempt, detail string) {
	k.started = false
	if a.stopping() {
		t.setWaiting(j, k, "")
		return
	}
	t.charge(j, k, t.failedSoon(j, w, a), detail)
}

// lose settles a task whose attempt ended with its worker.
func (t *Table) lose(j *job, w *worker, k *task, a *attempt, why string) {
	if w.probe == a.id {
		w.probe = ""
	}
	if !a.once {
		t.setWaiting(j, k, why)
		return
	}
	k.lost = a
	w.lost[a.id] = a
	t.setState(j, k, apiv1.TaskState_TASK_STATE_UNKNOWN, why)
}

// charge counts a failure against the task, or not, and lets it try again.
func (t *Table) charge(j *job, k *task, charged bool, detail string) {
	if !charged {
		t.setWaiting(j, k, detail)
		return
	}
	k.failures++
	limit := j.spec.GetMaxFailures()
	if limit == 0 {
		limit = defaultMaxFailures
	}
	if k.failures >= limit && !j.service() {
		t.setState(j, k, apiv1.TaskState_TASK_STATE_FAILED, fmt.Sprintf("failed %d times; last: %s", k.failures, detail))
		return
	}
	t.retry(j, k, detail)
}

func (t *Table) retry(j *job, k *task, detail string) {
	pause := int64(0)
	for range k.failures {
		pause = min(max(firstRetryMs, 2*pause), maxRetryMs)
	}
	k.notBefore = t.now + pause
	t.setWaiting(j, k, detail)
}

// setWaiting lets the task be placed, unless it is no longer wanted.
func (t *Table) setWaiting(j *job, k *task, detail string) {
	if !j.wanted(k) {
		t.setState(j, k, apiv1.TaskState_TASK_STATE_CANCELLED, "")
		return
	}
	t.setState(j, k, apiv1.TaskState_TASK_STATE_WAITING, detail)
}

func (t *Table) setState(j *job, k *task, state apiv1.TaskState, detail string) {
	k.state = state
	k.detail = detail
	t.dirtyTask(j, k)
}

// afterEnd settles what depends on the whole job.
func (t *Table) afterEnd(j *job) {
	if j.gang() {
		t.settleGang(j)
	}
	t.settleGeneration(j)
	t.trim(j)
	t.dropRemoved(j)
}
