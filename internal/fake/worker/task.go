package worker

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// task is an attempt that the worker knows.
type task struct {
	phase      apiv1.AttemptReport_Phase
	detail     string
	stop       context.CancelFunc // nil: it was never started
	stopped    bool               // told to stop
	checkpoint bool               // told to save its progress first
}

func (t *task) ended() bool {
	return t.phase != apiv1.AttemptReport_PHASE_RUNNING
}

// settle notes how the task ended.
func (t *task) settle(err error) {
	switch {
	case err == nil:
		t.phase = apiv1.AttemptReport_PHASE_SUCCEEDED
	case t.stopped:
		t.phase = apiv1.AttemptReport_PHASE_STOPPED
	default:
		t.phase = apiv1.AttemptReport_PHASE_FAILED
	}
	if err != nil && !t.stopped {
		t.detail = err.Error()
	}
}
