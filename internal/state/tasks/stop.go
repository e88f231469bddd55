package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// stopByID makes a live attempt stop, and with it the whole gang it is of. It
// holds its capacity until its worker says that it ended.
func (t *Table) stopByID(id string) {
	a, ok := t.live[id]
	if !ok {
		return
	}
	j := t.job(a.job)
	t.stop(j, j.tasks[a.index], j.spec.GetCheckpoint())
	if j.gang() {
		t.settleGang(j)
	}
}

// stop orders the task's live attempt to stop.
func (t *Table) stop(j *job, k *task, checkpoint bool) {
	a := k.live
	if a.stopping() {
		return
	}
	w := t.worker(a.worker)
	a.state = apiv1.TaskState_TASK_STATE_STOPPING
	a.checkpointStop = checkpoint
	t.setState(j, k, a.state, "")
	w.bump()
}
