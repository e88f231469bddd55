package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// report takes a worker's word on one attempt. A word on an attempt that this
// boot of the worker doesn't hold changes nothing.
func (t *Table) report(m *apiv1.AttemptReport) {
	w := t.worker(m.GetWorker())
	if w == nil || w.boot != m.GetBoot() {
		return
	}
	if a, ok := w.live[m.GetAttempt()]; ok {
		t.reportLive(w, a, m)
		return
	}
	if a, ok := w.lost[m.GetAttempt()]; ok {
		t.reportLost(w, a, m)
	}
}

func (t *Table) reportLive(w *worker, a *attempt, m *apiv1.AttemptReport) {
	j := t.job(a.job)
	k := j.tasks[a.index]
	phase := m.GetPhase()
	if phase == apiv1.AttemptReport_PHASE_NEVER_STARTED && a.startedAt > 0 {
		phase = apiv1.AttemptReport_PHASE_FAILED // it was reported as running before
	}
	switch phase {
	case apiv1.AttemptReport_PHASE_RUNNING:
		t.running(j, k, a)
	case apiv1.AttemptReport_PHASE_SUCCEEDED:
		t.end(j, w, a)
		t.succeeded(j, k, w, a)
		t.ended(j, w, a)
	case apiv1.AttemptReport_PHASE_FAILED:
		t.end(j, w, a)
		t.failed(j, k, w, a, m.GetDetail())
		t.ended(j, w, a)
	case apiv1.AttemptReport_PHASE_STOPPED:
		t.end(j, w, a)
		t.stopped(j, k, w, a)
		t.ended(j, w, a)
	case apiv1.AttemptReport_PHASE_NEVER_STARTED:
		t.end(j, w, a)
		t.neverStarted(j, k, w, a, m.GetDetail())
		t.ended(j, w, a)
	}
}

func (t *Table) running(j *job, k *task, a *attempt) {
	if a.startedAt == 0 {
		a.startedAt = t.now
	}
	if a.state != apiv1.TaskState_TASK_STATE_PLACED {
		return
	}
	a.state = apiv1.TaskState_TASK_STATE_RUNNING
	k.state = a.state
	k.detail = ""
	t.dirtyTask(j, k)
}

// reportLost settles an attempt whose worker was given up and came back with
// the same boot.
func (t *Table) reportLost(w *worker, a *attempt, m *apiv1.AttemptReport) {
	if m.GetPhase() == apiv1.AttemptReport_PHASE_RUNNING {
		return // it is ordered to stop
	}
	j := t.job(a.job)
	k := j.tasks[a.index]
	delete(w.lost, a.id)
	k.lost = nil
	w.bump()
	t.dirtyTask(j, k)
	switch m.GetPhase() {
	case apiv1.AttemptReport_PHASE_SUCCEEDED:
		t.setState(j, k, apiv1.TaskState_TASK_STATE_DONE, "")
	case apiv1.AttemptReport_PHASE_FAILED:
		t.setState(j, k, apiv1.TaskState_TASK_STATE_FAILED, m.GetDetail())
	case apiv1.AttemptReport_PHASE_NEVER_STARTED:
		if a.startedAt > 0 {
			break // it was reported as running before
		}
		k.started = false
		t.setWaiting(j, k, "its worker never started it")
	}
	t.afterEnd(j)
}

// WouldChange reports whether the report would change the table.
func (t *Table) WouldChange(m *apiv1.AttemptReport) bool {
	settles := false
	t.workers.read(m.GetWorker(), func(w *worker, ok bool) {
		if !ok || w.boot != m.GetBoot() {
			return
		}
		runs := m.GetPhase() == apiv1.AttemptReport_PHASE_RUNNING
		if a, ok := w.live[m.GetAttempt()]; ok {
			settles = !runs || a.startedAt == 0
			return
		}
		_, lost := w.lost[m.GetAttempt()]
		settles = lost && !runs
	})
	return settles
}
