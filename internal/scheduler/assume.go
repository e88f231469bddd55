package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// assume places the job's first due task on the worker in the cell, before the
// placement is committed, and returns the attempt to commit.
func (c *Cell) assume(j *job, w *Worker, borrowed, backfill bool) *apiv1.Attempt {
	index := j.firstDue()
	t := j.tasks[index]
	j.dequeue(index, t)
	t.state = apiv1.TaskState_TASK_STATE_PLACED
	c.consumeReservation(j, w)
	c.addAttempt(j, t, &liveAttempt{
		id:            t.nextAttemptID,
		job:           j.name,
		index:         index,
		worker:        w.Name,
		amount:        j.amount,
		team:          j.spec.GetTeam(),
		borrowed:      borrowed,
		nonIdempotent: j.spec.GetNonIdempotent(),
		placedAt:      c.now,
		kind:          j.spec.GetKind(),
		class:         j.class(),
		expectedRunMs: j.spec.GetExpectedRunMs(),
		checkpoints:   j.spec.GetCheckpoint(),
		backfill:      backfill,
	})
	if w.Quarantined {
		w.ProbeAt = 0
	}
	c.updateReady(j)
	return &apiv1.Attempt{
		Id:         t.nextAttemptID,
		Job:        j.name,
		Index:      index,
		Worker:     w.Name,
		Boot:       w.Boot,
		Resources:  j.amount.Message(),
		Generation: j.spec.GetGeneration(),
		Borrowed:   borrowed,
	}
}
