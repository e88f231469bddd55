package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// stopAttempt orders a live attempt to stop, and with it the whole gang to which
// it belongs. Its capacity stays in use until its worker reports the end.
func (t *Table) stopAttempt(id string) {
	a, ok := t.liveAttempts[id]
	if !ok {
		return
	}
	j := t.lockJob(a.job)
	t.stopTask(j, j.tasks[a.index], j.spec.GetCheckpoint())
	if j.isGang() {
		t.reconcileGang(j)
	}
}

// stopTask orders the task's live attempt to stop, with a checkpoint if asked. It
// does nothing if the attempt is stopping already.
func (t *Table) stopTask(j *job, task *task, checkpoint bool) {
	a := task.liveAttempt
	if a.stopping() {
		return
	}
	w := t.lockWorker(a.worker)
	a.state = apiv1.TaskState_TASK_STATE_STOPPING
	a.checkpointStop = checkpoint
	t.setState(j, task, a.state, "")
	w.bumpOrdersRevision()
}
