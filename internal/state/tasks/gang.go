package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// reconcileGang keeps a gang all or nothing: once one of its tasks is neither
// done, placed nor running, all others are stopped, and once none is live, all wait
// to be placed together. A gang with non-idempotent tasks that may have started is
// not restarted.
func (t *Table) reconcileGang(j *job) {
	if j.liveCount == 0 {
		j.placedCount = 0
	}
	broken := j.removed
	for _, task := range j.tasks {
		if j.liveCount > 0 && int(task.index) >= j.placedCount {
			continue // added while the non-idempotent gang was running
		}
		if task.liveAttempt == nil && !j.wanted(task) {
			continue
		}
		activeOrDone := task.liveAttempt != nil && !task.liveAttempt.stopping() || task.state == apiv1.TaskState_TASK_STATE_DONE
		broken = broken || !activeOrDone
	}
	if !broken {
		return
	}
	if j.liveCount > 0 {
		t.stopJob(j, j.spec.GetCheckpoint())
		return
	}
	if !j.mayHaveStarted(j.count()) {
		t.restartGang(j)
	}
}

// stopJob orders all live attempts of the job to stop.
func (t *Table) stopJob(j *job, checkpoint bool) {
	for _, task := range j.tasks {
		if task.liveAttempt != nil {
			t.stopTask(j, task, checkpoint)
		}
	}
}

// restartGang makes all tasks of a gang wait together, or fails all of them if
// one reached its maximum of failures. The gang has no live attempts and no
// non-idempotent task that may have started.
func (t *Table) restartGang(j *job) {
	var notBefore int64
	var failed *task
	for _, task := range j.tasks {
		notBefore = max(notBefore, task.notBefore)
		if j.wanted(task) && task.state == apiv1.TaskState_TASK_STATE_FAILED && failed == nil {
			failed = task
		}
	}
	for _, task := range j.tasks {
		switch {
		case !j.wanted(task):
		case failed == nil:
			task.notBefore = notBefore
			t.setWaiting(j, task, task.detail)
		case task.state != apiv1.TaskState_TASK_STATE_FAILED:
			t.setState(j, task, apiv1.TaskState_TASK_STATE_FAILED,
				fmt.Sprintf("task %d of the gang failed", failed.index))
		}
	}
}
