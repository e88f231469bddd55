package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// stopAttempt makes a live attempt stop, and with it the whole gang it is of. It
// holds its capacity until its worker says that it ended.
func (t *Table) stopAttempt(id string) {
	a, ok := t.liveAttempts[id]
	if !ok {
		return
	}
	j := t.lockJob(a.job)
	t.stopTask(j, j.tasks[a.index], j.spec.GetCheckpoint())
	if j.gang() {
		t.reconcileGang(j)
	}
}

// stopTask orders the task's live attempt to stop.
func (t *Table) stopTask(j *job, k *task, checkpoint bool) {
	a := k.liveAttempt
	if a.stopping() {
		return
	}
	w := t.lockWorker(a.worker)
	a.state = apiv1.TaskState_TASK_STATE_STOPPING
	a.checkpointStop = checkpoint
	t.setState(j, k, a.state, "")
	w.bumpOrdersRevision()
}
