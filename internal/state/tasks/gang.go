package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// reconcileGang keeps a gang whole or absent: once a task of it is neither done
// nor live, all others stop, and once none is live, all start again as one.
func (t *Table) reconcileGang(j *job) {
	if j.liveCount == 0 {
		j.placedCount = 0
	}
	broken := j.removed
	for _, k := range j.tasks {
		if j.liveCount > 0 && int(k.index) >= j.placedCount {
			continue // added to a non-idempotent gang that runs
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

func (t *Table) stopJob(j *job, checkpoint bool) {
	for _, k := range j.tasks {
		if k.liveAttempt != nil {
			t.stopTask(j, k, checkpoint)
		}
	}
}

// restartGang makes all tasks of a gang without live attempts wait together,
// or gives all up if one has failed too often. No task of it is non-idempotent and
// may have started.
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
