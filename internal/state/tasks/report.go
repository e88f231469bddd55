package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// applyReport applies a worker's report on one attempt. It ignores a report from
// another boot, or on an attempt that the worker does not hold.
func (t *Table) applyReport(m *apiv1.AttemptReport) {
	w := t.lockWorker(m.GetWorker())
	if w == nil || w.boot != m.GetBoot() {
		return
	}
	if a, ok := w.liveAttempts[m.GetAttempt()]; ok {
		t.applyLiveReport(w, a, m)
		return
	}
	if a, ok := w.lostAttempts[m.GetAttempt()]; ok {
		t.applyLostReport(w, a, m)
	}
}

// applyLiveReport applies a report on a live attempt.
func (t *Table) applyLiveReport(w *worker, a *attempt, m *apiv1.AttemptReport) {
	j := t.lockJob(a.job)
	task := j.tasks[a.index]
	phase := m.GetPhase()
	if phase == apiv1.AttemptReport_PHASE_NEVER_STARTED && a.startedAt > 0 {
		phase = apiv1.AttemptReport_PHASE_FAILED // it was reported as running before
	}
	switch phase {
	case apiv1.AttemptReport_PHASE_RUNNING:
		t.onRunning(j, task, a)
	case apiv1.AttemptReport_PHASE_SUCCEEDED:
		t.endAttempt(j, w, a)
		t.onSucceeded(j, task, w, a)
		t.afterAttemptEnd(j, w, a)
	case apiv1.AttemptReport_PHASE_FAILED:
		t.endAttempt(j, w, a)
		t.onFailed(j, task, w, a, m.GetDetail())
		t.afterAttemptEnd(j, w, a)
	case apiv1.AttemptReport_PHASE_STOPPED:
		t.endAttempt(j, w, a)
		t.onStopped(j, task, w, a)
		t.afterAttemptEnd(j, w, a)
	case apiv1.AttemptReport_PHASE_NEVER_STARTED:
		t.endAttempt(j, w, a)
		t.onNeverStarted(j, task, w, a, m.GetDetail())
		t.afterAttemptEnd(j, w, a)
	}
}

// onRunning records the start of the attempt. A stopping attempt stays so.
func (t *Table) onRunning(j *job, task *task, a *attempt) {
	if a.startedAt == 0 {
		a.startedAt = t.now
	}
	if a.state != apiv1.TaskState_TASK_STATE_PLACED {
		return
	}
	a.state = apiv1.TaskState_TASK_STATE_RUNNING
	task.state = a.state
	task.detail = ""
	t.markTaskChanged(j, task)
}

// applyLostReport applies a report on a non-idempotent attempt whose worker's lease
// expired and which registered again with the same boot.
func (t *Table) applyLostReport(w *worker, a *attempt, m *apiv1.AttemptReport) {
	if m.GetPhase() == apiv1.AttemptReport_PHASE_RUNNING {
		return // it has already been ordered to stop
	}
	j := t.lockJob(a.job)
	task := j.tasks[a.index]
	delete(w.lostAttempts, a.id)
	task.lostAttempt = nil
	w.bumpOrdersRevision()
	t.markTaskChanged(j, task)
	switch m.GetPhase() {
	case apiv1.AttemptReport_PHASE_SUCCEEDED:
		t.setState(j, task, apiv1.TaskState_TASK_STATE_DONE, "")
	case apiv1.AttemptReport_PHASE_FAILED:
		t.setState(j, task, apiv1.TaskState_TASK_STATE_FAILED, m.GetDetail())
	case apiv1.AttemptReport_PHASE_NEVER_STARTED:
		if a.startedAt > 0 {
			break // it was reported as running before
		}
		task.maybeStarted = false
		t.setWaiting(j, task, "its worker never started it")
	}
	t.reconcileJob(j)
}

// WouldChange reports whether applying the report would change the table.
func (t *Table) WouldChange(m *apiv1.AttemptReport) bool {
	changes := false
	t.workers.read(m.GetWorker(), func(w *worker, ok bool) {
		if !ok || w.boot != m.GetBoot() {
			return
		}
		running := m.GetPhase() == apiv1.AttemptReport_PHASE_RUNNING
		if a, ok := w.liveAttempts[m.GetAttempt()]; ok {
			changes = !running || a.startedAt == 0
			return
		}
		_, lost := w.lostAttempts[m.GetAttempt()]
		changes = lost && !running
	})
	return changes
}
