package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// assume places the job's first due task on the worker, in the cell alone, and
// returns the attempt to be committed.
func (c *Cell) assume(j *job, w *Worker, borrowed, backfill bool) *apiv1.Attempt {
	at := j.first()
	k := j.tasks[at]
	j.dequeue(at, k)
	k.state = apiv1.TaskState_TASK_STATE_PLACED
	c.consume(j, w)
	c.addLive(j, k, &running{
		id:       k.next,
		job:      j.name,
		index:    at,
		worker:   w.Name,
		amount:   j.amount,
		team:     j.spec.GetTeam(),
		borrowed: borrowed,
		once:     j.spec.GetNonIdempotent(),
		placedAt: c.now,
		kind:     j.spec.GetKind(),
		class:    j.class(),
		expected: j.spec.GetExpectedRunMs(),
		saves:    j.spec.GetCheckpoint(),
		backfill: backfill,
	})
	if w.Quarantined {
		w.ProbeAt = 0
	}
	c.settleReady(j)
	return &apiv1.Attempt{
		Id:         k.next,
		Job:        j.name,
		Index:      at,
		Worker:     w.Name,
		Boot:       w.Boot,
		Resources:  j.amount.Message(),
		Generation: j.spec.GetGeneration(),
		Borrowed:   borrowed,
	}
}
