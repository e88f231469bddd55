package worker

import (
	"context"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// task is an attempt that was run here or whose stop was ordered. The worker's lock
// guards it.
type task struct {
	phase               apiv1.AttemptReport_Phase
	detail              string
	stop                context.CancelFunc // nil if the task was never started
	stopRequested       bool               // an order or the expired lease stopped it
	checkpointRequested bool               // the order was to checkpoint before stopping
}

func (t *task) ended() bool {
	return t.phase != apiv1.AttemptReport_PHASE_RUNNING
}

// setOutcome sets the phase and the detail by the task's error.
func (t *task) setOutcome(err error) {
	switch {
	case err == nil:
		t.phase = apiv1.AttemptReport_PHASE_SUCCEEDED
	case t.stopRequested:
		t.phase = apiv1.AttemptReport_PHASE_STOPPED
	default:
		t.phase = apiv1.AttemptReport_PHASE_FAILED
	}
	if err != nil && !t.stopRequested {
		t.detail = err.Error()
	}
}
