package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// reconcileGang keeps a gang all or nothing: once one of its tasks is neither
// done nor running, all others are stopped, and once none is live, all wait to
// be placed together. A gang with non-idempotent tasks that may have started is
// not restarted.
func (t *Table) reconcileGang(j *job) {
	if j.liveCount == 0 {
		j.placedCount = 0
	}
	broken := j.removed
	for _, k := range j.tasks {
		if j.liveCount > 0 && int(k.index) >= j.placedCount {
			continue // added while the non-idempotent gang was running
		}
		if k.liveAttempt == nil && !j.wanted(k) {
			continue
		}
		whole := k.liveAttempt != nil && !k.liveAttempt.stopping() || k.state == apiv1.TaskState_TASK_STATE_DONE
		broken = broken || !whole
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
	for _, k := range j.tasks {
		if k.liveAttempt != nil {
			t.stopTask(j, k, checkpoint)
		}
	}
}

// restartGang makes all tasks of a gang wait together, or fails all of them if
// one reached its maximum of failures. The gang has no live attempts and no
// non-idempotent task that may have started.
func (t *Table) restartGang(j *job) {
	var notBefore int64
	var failed *task
	for _, k := range j.tasks {
		notBefore = max(notBefore, k.notBefore)
		if j.wanted(k) && k.state == apiv1.TaskState_TASK_STATE_FAILED && failed == nil {
			failed = k
		}
	}
	for _, k := range j.tasks {
		switch {
		case !j.wanted(k):
		case failed == nil:
			k.notBefore = notBefore
			t.setWaiting(j, k, k.detail)
		case k.state != apiv1.TaskState_TASK_STATE_FAILED:
			t.setState(j, k, apiv1.TaskState_TASK_STATE_FAILED,
				fmt.Sprintf("task %d of the gang failed", failed.index))
		}
	}
}
