package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// job returns the job of that name, which is added if it is unknown.
func (c *Cell) job(name string) *job {
	j, ok := c.jobs[name]
	if !ok {
		j = newJob(name)
		c.jobs[name] = j
	}
	return j
}

func (c *Cell) updateJob(state *JobState) {
	j := c.job(state.Name)
	j.spec = state.Spec
	j.neverRunnable = state.NeverRunnable
	j.amount = resources.FromMessage(state.Spec.GetResources())
	j.blockedEpoch = 0
	c.removeReservation(j.name)
}

// requeueJob requeues all tasks of a job after its configuration changed.
func (c *Cell) requeueJob(name string) {
	j, ok := c.jobs[name]
	if !ok {
		return
	}
	for index, t := range j.tasks {
		c.requeueTask(j, index, t)
	}
	c.updateReady(j)
	c.pruneJob(j)
}

// pruneJob removes a job that is no longer configured and has no tasks.
func (c *Cell) pruneJob(j *job) {
	if j.spec != nil || len(j.tasks) > 0 {
		return
	}
	delete(c.jobs, j.name)
	delete(c.readyJobs, j.name)
	delete(c.rollingJobs, j.name)
}

func (c *Cell) updateTask(state *TaskState) {
	j := c.job(state.Job)
	t, ok := j.tasks[state.Index]
	if !ok {
		t = &task{}
		j.tasks[state.Index] = t
	}
	before := t.live
	if before != nil {
		c.removeAttempt(j, t)
	}
	j.countRunning(t.state, -1)
	j.countRunning(state.State, 1)
	t.state = state.State
	t.nextAttemptID = state.NextAttemptID
	t.notBefore = state.NotBefore
	if state.AttemptID != "" {
		a := newLiveAttempt(j, state)
		a.backfill = before != nil && before.id == a.id && before.backfill
		c.addAttempt(j, t, a)
	}
	c.requeueTask(j, state.Index, t)
	if state.Removed {
		j.dequeue(state.Index, t)
		j.countRunning(t.state, -1)
		j.cancelDelay(t)
		delete(j.tasks, state.Index)
		c.pruneJob(j)
	}
	c.updateReady(j)
}

// countRunning adds by to the number of running tasks if the state is running.
func (j *job) countRunning(state apiv1.TaskState, by int) {
	if state == apiv1.TaskState_TASK_STATE_RUNNING {
		j.runningTasks += by
	}
}

func newLiveAttempt(j *job, state *TaskState) *liveAttempt {
	return &liveAttempt{
		id:            state.AttemptID,
		job:           state.Job,
		index:         state.Index,
		worker:        state.Worker,
		amount:        state.Amount,
		team:          state.Team,
		borrowed:      state.Borrowed,
		nonIdempotent: state.NonIdempotent,
		stopping:      state.State == apiv1.TaskState_TASK_STATE_STOPPING,
		outdated:      state.Outdated,
		placedAt:      state.PlacedAt,
		kind:          j.spec.GetKind(),
		class:         classOf(j.spec),
		expectedRunMs: j.spec.GetExpectedRunMs(),
		checkpoints:   j.spec.GetCheckpoint(),
	}
}

func (c *Cell) addAttempt(j *job, t *task, a *liveAttempt) {
	t.live = a
	c.preemptible.add(a, 1)
	w := c.worker(a.worker)
	w.attempts[a.id] = a
	c.adjustFree(w, resources.Amount{}.Minus(a.amount))
	j.addToSpread(w, 1)
	c.team(a.team).addUsage(a)
	if a.outdated && !a.stopping && a.kind == apiv1.JobKind_JOB_KIND_SERVICE {
		c.rollingJobs[j.name] = j
	}
}

func (c *Cell) removeAttempt(j *job, t *task) {
	a := t.live
	t.live = nil
	c.preemptible.add(a, -1)
	w := c.worker(a.worker)
	delete(w.attempts, a.id)
	c.adjustFree(w, a.amount)
	j.addToSpread(w, -1)
	c.team(a.team).removeUsage(a)
	c.capacityEpoch++
	if !w.registered && len(w.attempts) == 0 {
		delete(c.workers, w.Name)
	}
}

// requeueTask adds the task to the due or delayed tasks if it waits for placement,
// and removes it from both otherwise.
func (c *Cell) requeueTask(j *job, index int32, t *task) {
	waiting := t.state == apiv1.TaskState_TASK_STATE_WAITING && t.live == nil && j.spec != nil
	due := max(j.spec.GetReleaseUnixMs(), t.notBefore)
	switch {
	case !waiting:
		j.cancelDelay(t)
		j.dequeue(index, t)
	case due > c.now:
		j.dequeue(index, t)
		c.delay(j, index, t, due)
	default:
		j.cancelDelay(t)
		j.enqueue(index, t)
	}
	c.updateReady(j)
}

// updateReady adds the job to the ready jobs or removes it.
func (c *Cell) updateReady(j *job) {
	if !j.startable() {
		delete(c.readyJobs, j.name)
		j.dueSince = 0
		return
	}
	if j.dueSince == 0 {
		j.dueSince = c.now
	}
	c.readyJobs[j.name] = j
}
