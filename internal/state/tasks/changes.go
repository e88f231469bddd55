package tasks

import (
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

// changes records what changed since the scheduler last read the table. Apart
// from the team list it holds names and indexes only, so its size is bounded by
// the table's even if it is never read.
type changes struct {
	mu           sync.Mutex
	reset        bool
	teamsChanged bool
	teamSpecs    []*apiv1.Team
	jobs         map[string]bool
	workers      map[string]bool
	tasks        map[string]map[int32]bool
	ready        chan struct{}
}

func newChanges() *changes {
	c := &changes{ready: make(chan struct{}, 1)}
	c.clear()
	return c
}

func (c *changes) clear() {
	c.reset = false
	c.teamsChanged = false
	c.jobs = make(map[string]bool)
	c.workers = make(map[string]bool)
	c.tasks = make(map[string]map[int32]bool)
}

// signalReady wakes the reader; it never blocks.
func (c *changes) signalReady() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *changes) markJob(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[name] = true
	c.signalReady()
}

func (c *changes) markWorker(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[name] = true
	c.signalReady()
}

func (c *changes) markTask(job string, index int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	indexes, ok := c.tasks[job]
	if !ok {
		indexes = make(map[int32]bool)
		c.tasks[job] = indexes
	}
	indexes[index] = true
	c.signalReady()
}

func (c *changes) markTeams(specs []*apiv1.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teamSpecs = specs
	c.teamsChanged = true
	c.signalReady()
}

// markReset makes the next read return the full state.
func (c *changes) markReset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clear()
	c.reset = true
	c.signalReady()
}

// take returns the recorded changes and clears them.
func (c *changes) take() *changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := &changes{
		reset:        c.reset,
		teamsChanged: c.teamsChanged,
		teamSpecs:    c.teamSpecs,
		jobs:         c.jobs,
		workers:      c.workers,
		tasks:        c.tasks,
	}
	c.clear()
	return taken
}

// ChangesReady returns a channel that receives a value when DrainChanges has
// something to return.
func (t *Table) ChangesReady() <-chan struct{} {
	return t.changes.ready
}

// DrainFullState returns the whole table as a reset and discards the recorded
// changes.
func (t *Table) DrainFullState() *scheduler.Changes {
	t.changes.markReset()
	return t.DrainChanges()
}

// DrainChanges returns what changed since the last call of DrainChanges or
// DrainFullState. Only one goroutine may call the two.
func (t *Table) DrainChanges() *scheduler.Changes {
	taken := t.changes.take()
	out := &scheduler.Changes{
		Reset:        taken.reset,
		Teams:        taken.teamSpecs,
		TeamsChanged: taken.teamsChanged || taken.reset,
	}
	if taken.reset {
		t.appendFullState(out)
		return out
	}
	for _, name := range sortedKeys(taken.workers) {
		t.workers.read(name, func(w *worker, ok bool) {
			out.Workers = append(out.Workers, workerState(name, w, ok))
		})
	}
	for _, name := range sortedKeys(taken.jobs) {
		t.jobs.read(name, func(j *job, ok bool) {
			out.Jobs = append(out.Jobs, jobState(name, j, ok))
		})
	}
	for _, name := range sortedKeys(taken.tasks) {
		t.appendTasks(out, name, taken.tasks[name])
	}
	return out
}

func (t *Table) appendTasks(out *scheduler.Changes, name string, indexes map[int32]bool) {
	t.jobs.read(name, func(j *job, ok bool) {
		for index := range indexes {
			if !ok || int(index) >= len(j.tasks) {
				out.Tasks = append(out.Tasks, scheduler.TaskState{Job: name, Index: index, Removed: true})
				continue
			}
			out.Tasks = append(out.Tasks, taskState(j, j.tasks[index]))
		}
	})
}

func (t *Table) appendFullState(out *scheduler.Changes) {
	t.workers.readAll(func(w *worker) {
		out.Workers = append(out.Workers, workerState(w.name, w, true))
	})
	t.jobs.readAll(func(j *job) {
		out.Jobs = append(out.Jobs, jobState(j.spec.GetName(), j, true))
		for _, task := range j.tasks {
			out.Tasks = append(out.Tasks, taskState(j, task))
		}
	})
}

func workerState(name string, w *worker, ok bool) scheduler.WorkerState {
	if !ok {
		return scheduler.WorkerState{Name: name, Removed: true}
	}
	state := scheduler.WorkerState{
		Name:        name,
		Boot:        w.boot,
		Location:    w.location,
		Capacity:    w.capacity,
		Alive:       w.alive,
		Quarantined: w.quarantined,
		ProbeAt:     w.probeAt,
	}
	if w.probeAttempt != "" {
		state.ProbeAt = 0
	}
	return state
}

func jobState(name string, j *job, ok bool) scheduler.JobState {
	if !ok || j.removed {
		return scheduler.JobState{Name: name}
	}
	return scheduler.JobState{Name: name, Spec: j.spec, NeverRunnable: j.neverRunnable}
}

func taskState(j *job, task *task) scheduler.TaskState {
	state := scheduler.TaskState{
		Job:           j.spec.GetName(),
		Index:         task.index,
		State:         task.state,
		NextAttemptID: attemptID(j.spec.GetName(), task.index, j.serial, task.attempts+1),
		NotBefore:     task.notBefore,
		Removed:       !j.wanted(task) && task.liveAttempt == nil,
	}
	if a := task.liveAttempt; a != nil {
		state.AttemptID = a.id
		state.Worker = a.worker
		state.Amount = a.amount
		state.Team = a.team
		state.Borrowed = a.borrowed
		state.NonIdempotent = a.nonIdempotent
		state.PlacedAt = a.placedAt
		state.Outdated = j.outdated(a)
	}
	return state
}
