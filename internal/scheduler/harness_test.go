package scheduler_test

import (
	"fmt"
	"math/rand/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

const (
	gib     = int64(1) << 30
	startMs = int64(1_700_000_000_000) // Unix milliseconds
)

// harness drives a cell with the changes that the task table would send.
type harness struct {
	cell    *scheduler.Cell
	now     int64
	jobs    map[string]*apiv1.Job
	running map[string]*apiv1.Attempt // by attempt id
	serials map[string]int            // attempts so far, by "job/index"
	boots   map[string]string
	startAt map[string]int64 // by attempt id
}

func newHarness() *harness {
	return &harness{
		cell:    scheduler.NewCell(),
		now:     startMs,
		jobs:    make(map[string]*apiv1.Job),
		running: make(map[string]*apiv1.Attempt),
		serials: make(map[string]int),
		boots:   make(map[string]string),
		startAt: make(map[string]int64),
	}
}

func (h *harness) update(changes *scheduler.Changes) {
	h.cell.Update(h.now, changes)
}

// workers adds n workers, 8 per rack, in six failure domains.
func (h *harness) workers(n int, capacity resources.Amount) {
	changes := &scheduler.Changes{}
	for i := range n {
		changes.Workers = append(changes.Workers, workerState(i, capacity))
	}
	h.update(changes)
}

func workerState(i int, capacity resources.Amount) scheduler.WorkerState {
	rack := i / 8
	return scheduler.WorkerState{
		Name: fmt.Sprintf("w%04d", i),
		Boot: "1",
		Location: &apiv1.Location{
			FailureDomain: fmt.Sprintf("d%d", rack%6),
			Rack:          fmt.Sprintf("r%d", rack),
		},
		Capacity: capacity,
		Alive:    true,
	}
}

func (h *harness) teams(teams ...*apiv1.Team) {
	h.update(&scheduler.Changes{Teams: teams, TeamsChanged: true})
}

func (h *harness) nextID(job string, index int32) string {
	key := fmt.Sprintf("%s/%d", job, index)
	h.serials[key]++
	return fmt.Sprintf("%s/%d", key, h.serials[key])
}

func (h *harness) waitingState(job string, index int32) scheduler.TaskState {
	return scheduler.TaskState{
		Job:           job,
		Index:         index,
		State:         apiv1.TaskState_TASK_STATE_WAITING,
		NextAttemptID: h.nextID(job, index),
	}
}

// publish adds or changes jobs. All tasks of a new job wait.
func (h *harness) publish(jobs ...*apiv1.Job) {
	changes := &scheduler.Changes{}
	for _, j := range jobs {
		_, known := h.jobs[j.GetName()]
		h.jobs[j.GetName()] = j
		changes.Jobs = append(changes.Jobs, scheduler.JobState{Name: j.GetName(), Spec: j})
		if known {
			continue
		}
		for index := range j.GetCount() {
			changes.Tasks = append(changes.Tasks, h.waitingState(j.GetName(), index))
		}
	}
	h.update(changes)
}

// round runs a scheduling round and reports all placed tasks as running.
func (h *harness) round(limit int) *scheduler.Decision {
	d := h.cell.Schedule(h.now, limit)
	h.carryOut(d)
	return d
}

func (h *harness) carryOut(d *scheduler.Decision) {
	changes := &scheduler.Changes{}
	for _, plan := range d.Plans {
		for _, a := range plan.GetAttempts() {
			h.running[a.GetId()] = a
			h.startAt[a.GetId()] = h.now
			changes.Tasks = append(changes.Tasks, h.liveState(a, apiv1.TaskState_TASK_STATE_RUNNING))
		}
	}
	h.update(changes)
}

func (h *harness) liveState(a *apiv1.Attempt, state apiv1.TaskState) scheduler.TaskState {
	j := h.jobs[a.GetJob()]
	return scheduler.TaskState{
		Job:           a.GetJob(),
		Index:         a.GetIndex(),
		State:         state,
		AttemptID:     a.GetId(),
		Worker:        a.GetWorker(),
		Amount:        resources.FromMessage(a.GetResources()),
		Team:          j.GetTeam(),
		Borrowed:      a.GetBorrowed(),
		NonIdempotent: j.GetNonIdempotent(),
		PlacedAt:      h.startAt[a.GetId()],
	}
}

// finish ends an attempt, and its task with it.
func (h *harness) finish(id string) {
	a := h.running[id]
	delete(h.running, id)
	h.update(&scheduler.Changes{Tasks: []scheduler.TaskState{{
		Job: a.GetJob(), Index: a.GetIndex(), State: apiv1.TaskState_TASK_STATE_DONE,
	}}})
}

// requeue ends an attempt; its task waits again.
func (h *harness) requeue(id string) {
	a := h.running[id]
	delete(h.running, id)
	h.update(&scheduler.Changes{Tasks: []scheduler.TaskState{h.waitingState(a.GetJob(), a.GetIndex())}})
}

// stop ends the attempts that a decision stops; their tasks wait again.
func (h *harness) stop(d *scheduler.Decision) {
	for _, id := range d.Stop {
		h.requeue(id)
	}
}

// workload describes one user's work: what its tasks need, and how long batch
// tasks run.
type workload struct {
	name     string
	worker   resources.Amount
	services resources.Amount
	batch    func(r *rand.Rand) (resources.Amount, int64)
	gang     func(r *rand.Rand) (resources.Amount, int32)
	urgent   resources.Amount
}

// uniform returns a multiple of step between low and high.
func uniform(r *rand.Rand, low, high, step int64) int64 {
	return step * (low/step + r.Int64N((high-low)/step+1))
}

// despacho plans routes and rebalances loads; most tasks need processors.
func despacho() workload {
	return workload{
		name:     "despacho",
		worker:   resources.Amount{CPU: 16000, Memory: 64 * gib},
		services: resources.Amount{CPU: 2000, Memory: 8 * gib},
		batch: func(r *rand.Rand) (resources.Amount, int64) {
			amount := resources.Amount{CPU: uniform(r, 500, 4000, 500), Memory: uniform(r, gib, 12*gib, gib)}
			return amount, uniform(r, 5_000, 60_000, 1000)
		},
		gang: func(r *rand.Rand) (resources.Amount, int32) {
			return resources.Amount{CPU: 2000, Memory: 4 * gib}, 4 + r.Int32N(13)
		},
		urgent: resources.Amount{CPU: 500, Memory: gib},
	}
}

// sagarmatha projects cohorts and refits tables; most tasks need memory.
func sagarmatha() workload {
	return workload{
		name:     "sagarmatha",
		worker:   resources.Amount{CPU: 32000, Memory: 64 * gib},
		services: resources.Amount{CPU: 2000, Memory: 6 * gib},
		batch: func(r *rand.Rand) (resources.Amount, int64) {
			amount := resources.Amount{CPU: uniform(r, 1000, 8000, 1000), Memory: uniform(r, 2*gib, 20*gib, gib)}
			return amount, uniform(r, 30_000, 300_000, 1000)
		},
		gang: func(r *rand.Rand) (resources.Amount, int32) {
			return resources.Amount{CPU: 2000, Memory: 4 * gib}, 8 + r.Int32N(57)
		},
		urgent: resources.Amount{CPU: 500, Memory: gib},
	}
}

func batchJob(name string, amount resources.Amount, count int32) *apiv1.Job {
	return &apiv1.Job{
		Name:          name,
		Kind:          apiv1.JobKind_JOB_KIND_BATCH,
		Class:         apiv1.Class_CLASS_NORMAL,
		Resources:     amount.Message(),
		Count:         count,
		ExpectedRunMs: 30_000,
	}
}
