package tasks

import (
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Jobs returns all jobs that are not removed, sorted by name.
func (t *Table) Jobs() []*apiv1.JobStatus {
	var all []*apiv1.JobStatus
	t.jobs.readAll(func(j *job) {
		if !j.removed {
			all = append(all, j.status())
		}
	})
	slices.SortFunc(all, func(a, b *apiv1.JobStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	return all
}

// Job returns one job and its tasks; false if it is not known. A removed job is
// known until it is dropped, see dropRemovedJob.
func (t *Table) Job(name string) (*apiv1.JobStatus, []*apiv1.TaskStatus, bool) {
	var status *apiv1.JobStatus
	var tasks []*apiv1.TaskStatus
	t.jobs.read(name, func(j *job, ok bool) {
		if !ok {
			return
		}
		status = j.status()
		for _, task := range j.tasks {
			tasks = append(tasks, task.status(name))
		}
	})
	return status, tasks, status != nil
}

// Workers returns all workers, sorted by name.
func (t *Table) Workers() []*apiv1.WorkerStatus {
	var all []*apiv1.WorkerStatus
	t.workers.readAll(func(w *worker) {
		all = append(all, w.status())
	})
	slices.SortFunc(all, func(a, b *apiv1.WorkerStatus) int {
		return strings.Compare(a.GetWorker().GetName(), b.GetWorker().GetName())
	})
	return all
}

// status counts the job's tasks by state; placed tasks count as waiting.
func (j *job) status() *apiv1.JobStatus {
	status := &apiv1.JobStatus{
		Name:          j.spec.GetName(),
		Kind:          j.spec.GetKind(),
		Team:          j.spec.GetTeam(),
		Count:         int32(j.count()),
		NeverRunnable: j.neverRunnable,
	}
	for _, task := range j.tasks {
		switch task.state {
		case apiv1.TaskState_TASK_STATE_RUNNING:
			status.Running++
		case apiv1.TaskState_TASK_STATE_WAITING, apiv1.TaskState_TASK_STATE_PLACED:
			status.Waiting++
		case apiv1.TaskState_TASK_STATE_DONE:
			status.Done++
		case apiv1.TaskState_TASK_STATE_FAILED:
			status.Failed++
		case apiv1.TaskState_TASK_STATE_UNKNOWN:
			status.Unknown++
		}
	}
	return status
}

// status reports the task with its live attempt, or else its lost one.
func (t *task) status(job string) *apiv1.TaskStatus {
	status := &apiv1.TaskStatus{
		Job:      job,
		Index:    t.index,
		State:    t.state,
		Failures: t.failures,
		Detail:   t.detail,
	}
	if a := t.liveAttempt; a != nil {
		status.Attempt, status.Worker = a.id, a.worker
	} else if a := t.lostAttempt; a != nil {
		status.Attempt, status.Worker = a.id, a.worker
	}
	return status
}

func (w *worker) status() *apiv1.WorkerStatus {
	return &apiv1.WorkerStatus{
		Worker:           w.message(),
		Used:             w.used.Message(),
		Alive:            w.alive,
		Quarantined:      w.quarantined,
		QuarantineReason: w.quarantineReason,
		Running:          int32(len(w.liveAttempts)),
	}
}
