package tasks

import (
	"sync"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

// changes collects what the scheduler has not yet seen. It holds names only,
// so that it is bounded by the table's size while nobody reads it.
type changes struct {
	mu           sync.Mutex
	reset        bool
	teamsChanged bool
	teamSpecs    []*apiv1.Team
	jobs         map[string]bool
	workers      map[string]bool
	tasks        map[string]map[int32]bool
	woken        chan struct{}
}

func newChanges() *changes {
	c := &changes{woken: make(chan struct{}, 1)}
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

func (c *changes) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

func (c *changes) job(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[name] = true
	c.wake()
}

func (c *changes) worker(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[name] = true
	c.wake()
}

func (c *changes) task(job string, index int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	indexes, ok := c.tasks[job]
	if !ok {
		indexes = make(map[int32]bool)
		c.tasks[job] = indexes
	}
	indexes[index] = true
	c.wake()
}

func (c *changes) teams(specs []*apiv1.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teamSpecs = specs
	c.teamsChanged = true
	c.wake()
}

func (c *changes) everything() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clear()
	c.reset = true
	c.wake()
}

// take returns what was collected and starts anew.
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

// ChangesReady returns a channel that receives when there is something to drain.
func (t *Table) ChangesReady() <-chan struct{} {
	return t.changes.woken
}

// DrainFullState returns the whole table, and leaves nothing for Drain.
func (t *Table) DrainFullState() *scheduler.Changes {
	t.changes.everything()
	return t.DrainChanges()
}

// DrainChanges returns what changed since the last call. There is one reader.
func (t *Table) DrainChanges() *scheduler.Changes {
	taken := t.changes.take()
	out := &scheduler.Changes{
		Reset:        taken.reset,
		Teams:        taken.teamSpecs,
		TeamsChanged: taken.teamsChanged || taken.reset,
	}
	if taken.reset {
		t.drainAll(out)
		return out
	}
	for _, name := range ids(taken.workers) {
		t.workers.read(name, func(w *worker, ok bool) {
			out.Workers = append(out.Workers, workerState(name, w, ok))
		})
	}
	for _, name := range ids(taken.jobs) {
		t.jobs.read(name, func(j *job, ok bool) {
			out.Jobs = append(out.Jobs, jobState(name, j, ok))
		})
	}
	for _, name := range ids(taken.tasks) {
		t.drainTasks(out, name, taken.tasks[name])
	}
	return out
}

func (t *Table) drainTasks(out *scheduler.Changes, name string, indexes map[int32]bool) {
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

func (t *Table) drainAll(out *scheduler.Changes) {
	t.workers.readAll(func(w *worker) {
		out.Workers = append(out.Workers, workerState(w.name, w, true))
	})
	t.jobs.readAll(func(j *job) {
		out.Jobs = append(out.Jobs, jobState(j.spec.GetName(), j, true))
		for _, k := range j.tasks {
			out.Tasks = append(out.Tasks, taskState(j, k))
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
	if w.probe != "" {
		state.ProbeAt = 0
	}
	return state
}

func jobState(name string, j *job, ok bool) scheduler.JobState {
	if !ok || j.removed {
		return scheduler.JobState{Name: name}
	}
	return scheduler.JobState{Name: name, Spec: j.spec, NeverRunnable: j.never}
}

func taskState(j *job, k *task) scheduler.TaskState {
	state := scheduler.TaskState{
		Job:           j.spec.GetName(),
		Index:         k.index,
		State:         k.state,
		NextAttemptID: attemptID(j.spec.GetName(), k.index, j.serial, k.attempts+1),
		NotBefore:     k.notBefore,
		Removed:       !j.wanted(k) && k.live == nil,
	}
	if a := k.live; a != nil {
		state.AttemptID = a.id
		state.Worker = a.worker
		state.Amount = a.amount
		state.Team = a.team
		state.Borrowed = a.borrowed
		state.NonIdempotent = a.once
		state.PlacedAt = a.placedAt
		state.Outdated = j.outdated(a)
	}
	return state
}
