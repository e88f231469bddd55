package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// applyEnd applies a committed end of a run to its worker and task. The caller
// holds the lock.
func (p *pool) applyEnd(w *worker, end EndedRun) {
	t := p.findTask(end.Task)
	if t != nil {
		t.unit.observeRunNumber(end.Run)
	}
	now := time.Now()
	p.countRunEnd(end)
	p.logRunEnded(w, end)
	switch end.Outcome {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		w.health.recordSuccess()
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		if t != nil && t.unit.spec.GetLongRunning() && !t.recordLongRunningFailure(w, end.Run, now) {
			w.health.recordNoResult(runKey{end.Task, end.Run})
		} else {
			p.recordWorkerFailure(w, end, now)
		}
	default:
		w.health.recordNoResult(runKey{end.Task, end.Run})
	}
	if t == nil || t.done {
		return
	}
	current := t.run != nil && t.run.number == end.Run && t.run.worker == w
	if current {
		p.learnDuration(t.run, end, now)
		t.setRun(nil)
	}
	if end.Checkpoint != "" {
		t.saveCheckpoint(end.Checkpoint)
	}
	switch end.Outcome {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		if c := p.containments[t.unit.job.queue.GetName()]; c != nil {
			c.recordSuccess()
		}
		p.completeTask(t)
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		p.recordTaskFailure(t, w, end.Run, now)
	}
}

// countRunEnd counts the end of a run.
func (p *pool) countRunEnd(end EndedRun) {
	switch end.Outcome {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		p.d.counters.endsDone.Inc(1)
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		p.d.counters.endsFailed.Inc(1)
	default:
		p.d.counters.endsOther.Inc(1)
	}
}

// runOutcomeNames holds the names of the outcomes in the log.
var runOutcomeNames = map[apiv1.RunOutcome]string{
	apiv1.RunOutcome_RUN_OUTCOME_DONE:    "done",
	apiv1.RunOutcome_RUN_OUTCOME_FAILED:  "failed",
	apiv1.RunOutcome_RUN_OUTCOME_STOPPED: "stopped",
	apiv1.RunOutcome_RUN_OUTCOME_LAPSED:  "lapsed",
	apiv1.RunOutcome_RUN_OUTCOME_BROKEN:  "broken",
	apiv1.RunOutcome_RUN_OUTCOME_ALONE:   "alone",
}

// recordWorkerFailure records a failed run in the health of its worker.
func (p *pool) recordWorkerFailure(w *worker, end EndedRun, now time.Time) {
	name, _ := parseTaskName(end.Task)
	if w.health.recordFailure(name.job, now) {
		p.d.counters.workersQuarantined.Inc(1)
		p.d.Logger.Warn("worker quarantined after failures", "worker", w.record.GetId(), "failures", w.health.failures,
			"for_ms", w.health.backoff.Milliseconds())
	}
}

// completeTask marks a task as done, and a whole gang as soon as one member is
// done. Long-running tasks are never done.
func (p *pool) completeTask(t *task) {
	u := t.unit
	if u.spec.GetLongRunning() {
		return
	}
	if !u.spec.GetGang() {
		t.setDone()
		u.remaining--
		u.forgetCrashes(t)
		if t.run != nil {
			p.stopRun(t.run, "another run of the task is done")
		}
	} else {
		for _, member := range u.tasks {
			member.setDone()
		}
		u.remaining = 0
		p.releaseReservation(u)
	}
	if u.remaining > 0 {
		return
	}
	u.job.unfinishedUnits--
	if u.job.unfinishedUnits == 0 {
		p.d.Logger.Info("job completed", "job", u.job.id, "queue", u.job.queue.GetName(),
			"took_ms", time.Since(u.job.accepted).Milliseconds(), "objective_ms", u.job.objective.Milliseconds())
		p.deleteJob(u.job)
		p.keepDeparted(u.job)
		p.recordTested(u.job.queue.GetName(), false, time.Now())
	}
}

// recordTaskFailure counts a failed run and fails the job when the attempts are
// used up. The count must agree with that of the replicated table: the failures
// of all members of a gang are counted together.
func (p *pool) recordTaskFailure(t *task, w *worker, number int64, now time.Time) {
	u := t.unit
	counted := t
	if u.spec.GetGang() {
		counted = u.tasks[0]
	}
	counted.addFailure(number)
	if t.failedOn == nil {
		t.failedOn = make(map[string]bool)
	}
	t.failedOn[w.record.GetId()] = true
	if !u.spec.GetLongRunning() && counted.failures() >= max(1, int(u.job.queue.GetMaxAttempts())) {
		p.d.Logger.Info("job failed", "job", u.job.id, "queue", u.job.queue.GetName(), "task", t.name().String(), "failures", counted.failures())
		p.removeJobLocked(u.job.id, "job failed")
		return
	}
	if u.spec.GetLongRunning() {
		t.notBefore = now.Add(min(minLongRunningBackoff<<min(counted.failures(), 4), maxLongRunningBackoff))
	}
}

// Bounds of the exponential backoff before a failed long-running task is started
// again.
const (
	minLongRunningBackoff = 100 * time.Millisecond
	maxLongRunningBackoff = time.Second
)
