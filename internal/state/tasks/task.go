package tasks

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// task is one task of a job.
type task struct {
	index        int32
	state        apiv1.TaskState
	detail       string
	failures     int32
	notBefore    int64    // Unix milliseconds before which it must not be placed
	attempts     uint64   // number of attempts so far
	liveAttempt  *attempt // placed and not ended, uses its worker's capacity; nil if none
	lostAttempt  *attempt // lost with its worker, outcome unknown; nil if none
	maybeStarted bool     // a non-idempotent attempt of this generation may have started
}

// terminal reports whether the task has ended and is not retried by itself.
func (t *task) terminal() bool {
	switch t.state {
	case apiv1.TaskState_TASK_STATE_DONE, apiv1.TaskState_TASK_STATE_FAILED,
		apiv1.TaskState_TASK_STATE_UNKNOWN, apiv1.TaskState_TASK_STATE_CANCELLED:
		return true
	default:
		return false
	}
}
