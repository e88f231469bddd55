package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

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
	j.never = state.NeverRunnable
	j.amount = resources.FromMessage(state.Spec.GetResources())
	j.blocked = 0
	c.release(j.name)
}

// settleJob sorts the job's tasks anew, after its configuration changed.
func (c *Cell) settleJob(name string) {
	j, ok := c.jobs[name]
	if !ok {
		return
	}
	for at, k := range j.tasks {
		c.settle(j, at, k)
	}
	c.settleReady(j)
	c.dropJob(j)
}

// dropJob forgets a job that is gone and holds nothing.
func (c *Cell) dropJob(j *job) {
	if j.spec != nil || len(j.tasks) > 0 {
		return
	}
	delete(c.jobs, j.name)
	delete(c.ready, j.name)
	delete(c.rolling, j.name)
}

func (c *Cell) updateTask(state *TaskState) {
	j := c.job(state.Job)
	k, ok := j.tasks[state.Index]
	if !ok {
		k = &task{}
		j.tasks[state.Index] = k
	}
	before := k.live
	if before != nil {
		c.removeLive(j, k)
	}
	j.count(k.state, -1)
	j.count(state.State, 1)
	k.state = state.State
	k.next = state.NextAttemptID
	k.notBefore = state.NotBefore
	if state.AttemptID != "" {
		r := liveOf(j, state)
		r.backfill = before != nil && before.id == r.id && before.backfill
		c.addLive(j, k, r)
	}
	c.settle(j, state.Index, k)
	if state.Removed {
		j.dequeue(state.Index, k)
		j.count(k.state, -1)
		j.unpark(k)
		delete(j.tasks, state.Index)
		c.dropJob(j)
	}
	c.settleReady(j)
}

// count keeps the number of running tasks.
func (j *job) count(state apiv1.TaskState, by int) {
	if state == apiv1.TaskState_TASK_STATE_RUNNING {
		j.running += by
	}
}

func liveOf(j *job, state *TaskState) *running {
	return &running{
		id:       state.AttemptID,
		job:      state.Job,
		index:    state.Index,
		worker:   state.Worker,
		amount:   state.Amount,
		team:     state.Team,
		borrowed: state.Borrowed,
		once:     state.NonIdempotent,
		stopping: state.State == apiv1.TaskState_TASK_STATE_STOPPING,
		outdated: state.Outdated,
		placedAt: state.PlacedAt,
		kind:     j.spec.GetKind(),
		class:    classOf(j.spec),
		expected: j.spec.GetExpectedRunMs(),
		saves:    j.spec.GetCheckpoint(),
	}
}

func (c *Cell) addLive(j *job, k *task, r *running) {
	k.live = r
	c.victims.count(r, 1)
	w := c.worker(r.worker)
	w.live[r.id] = r
	c.changeFree(w, resources.Amount{}.Minus(r.amount))
	j.spread(w, 1)
	c.team(r.team).take(r)
	if r.outdated && !r.stopping && r.kind == apiv1.JobKind_JOB_KIND_SERVICE {
		c.rolling[j.name] = j
	}
}

func (c *Cell) removeLive(j *job, k *task) {
	r := k.live
	k.live = nil
	c.victims.count(r, -1)
	w := c.worker(r.worker)
	delete(w.live, r.id)
	c.changeFree(w, r.amount)
	j.spread(w, -1)
	c.team(r.team).give(r)
	c.growth++
	if !w.known && len(w.live) == 0 {
		delete(c.workers, w.Name)
	}
}

// settle puts the task where it belongs: among the due ones, among those that
// wait for their time, or nowhere.
func (c *Cell) settle(j *job, at int32, k *task) {
	waits := k.state == apiv1.TaskState_TASK_STATE_WAITING && k.live == nil && j.spec != nil
	due := max(j.spec.GetReleaseUnixMs(), k.notBefore)
	switch {
	case !waits:
		j.unpark(k)
		j.dequeue(at, k)
	case due > c.now:
		j.dequeue(at, k)
		c.park(j, at, k, due)
	default:
		j.unpark(k)
		j.enqueue(at, k)
	}
	c.settleReady(j)
}

// settleReady lists the job among the ready ones, or takes it off.
func (c *Cell) settleReady(j *job) {
	if !j.startable() {
		delete(c.ready, j.name)
		j.since = 0
		return
	}
	if j.since == 0 {
		j.since = c.now
	}
	c.ready[j.name] = j
}
