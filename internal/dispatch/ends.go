package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// ended lets a recorded end take effect. The caller holds the lock.
func (p *pool) ended(w *worker, end EndedRun) {
	t := p.findTask(end.Task)
	if t != nil {
		t.unit.noteRun(end.Run)
	}
	now := time.Now()
	p.logEnd(w, end)
	switch end.Outcome {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		w.health.succeeded()
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		p.noteFailure(w, end, now)
	}
	if t == nil || t.done {
		return
	}
	current := t.run != nil && t.run.number == end.Run && t.run.worker == w
	if current {
		t.run = nil
	}
	if end.Checkpoint != "" {
		t.keepCheckpoint(end.Checkpoint)
	}
	switch end.Outcome {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		p.taskDone(t)
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		p.taskFailed(t, w, end.Run, now)
	}
}

func (p *pool) logEnd(w *worker, end EndedRun) {
	switch end.Outcome {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		p.d.counters.done.Inc(1)
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		p.d.counters.failed.Inc(1)
	default:
		p.d.counters.otherEnds.Inc(1)
	}
	p.d.Logger.Info("run ended", "task", end.Task, "number", end.Run, "worker", w.record.GetId(),
		"outcome", outcomeNames[end.Outcome], "saved", end.Checkpoint != "")
}

// outcomeNames are the outcomes as the log shows them.
var outcomeNames = map[apiv1.RunOutcome]string{
	apiv1.RunOutcome_RUN_OUTCOME_DONE:    "done",
	apiv1.RunOutcome_RUN_OUTCOME_FAILED:  "failed",
	apiv1.RunOutcome_RUN_OUTCOME_STOPPED: "stopped",
	apiv1.RunOutcome_RUN_OUTCOME_LAPSED:  "lapsed",
	apiv1.RunOutcome_RUN_OUTCOME_BROKEN:  "broken",
	apiv1.RunOutcome_RUN_OUTCOME_ALONE:   "alone",
}

func (p *pool) noteFailure(w *worker, end EndedRun, now time.Time) {
	name, _ := parseTaskName(end.Task)
	if w.health.failed(name.job, now) {
		p.d.counters.setAside.Inc(1)
		p.d.Logger.Warn("worker set aside", "worker", w.record.GetId(), "failures", w.health.failures,
			"for_ms", w.health.backoff.Milliseconds())
	}
}

// taskDone notes a task as done; a gang is done with its first member.
func (p *pool) taskDone(t *task) {
	u := t.unit
	if u.spec.GetLongRunning() {
		return
	}
	if !u.spec.GetGang() {
		t.done = true
		u.remaining--
		if t.run != nil {
			p.stop(t.run, "another run of the task is done")
		}
	} else {
		for _, member := range u.tasks {
			member.done = true
		}
		u.remaining = 0
		p.giveUpBooking(u)
	}
	if u.remaining > 0 {
		return
	}
	u.job.open--
	if u.job.open == 0 {
		p.d.Logger.Info("job completed", "job", u.job.id, "queue", u.job.queue.GetName(),
			"took_ms", time.Since(u.job.accepted).Milliseconds(), "objective_ms", u.job.objective.Milliseconds())
		delete(p.jobs, u.job.id)
	}
}

// taskFailed counts a failed run. The replicated table has counted it the same
// way: a gang's members share their failures.
func (p *pool) taskFailed(t *task, w *worker, number int64, now time.Time) {
	u := t.unit
	counted := t
	if u.spec.GetGang() {
		counted = u.tasks[0]
	}
	counted.countFailure(number)
	if t.failedOn == nil {
		t.failedOn = make(map[string]bool)
	}
	t.failedOn[w.record.GetId()] = true
	if !u.spec.GetLongRunning() && counted.failures() >= max(1, int(u.job.queue.GetMaxAttempts())) {
		p.d.Logger.Info("job failed", "job", u.job.id, "queue", u.job.queue.GetName(), "task", t.name().String(), "failures", counted.failures())
		p.dropLocked(u.job.id, "job failed")
		return
	}
	if u.spec.GetLongRunning() {
		t.notBefore = now.Add(min(longRunningPause<<min(counted.failures(), 4), longestPause))
	}
}

// Pauses before a long-running task that failed is started again.
const (
	longRunningPause = 100 * time.Millisecond
	longestPause     = time.Second
)
