package tasks

import (
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	// failureWindowMs is how long a start failure counts against its worker.
	failureWindowMs = 5 * 60 * 1000
	// minHealthyRunMs is how long an attempt must run for its start to count as
	// healthy; an earlier failure is a start failure.
	minHealthyRunMs = 10 * 1000
	// quarantineMinJobs is how many different jobs must have failed to start on a
	// worker within failureWindowMs for it to be quarantined.
	quarantineMinJobs = 3
	// maxQuarantinedDivisor limits the quarantined workers to the number of alive
	// workers divided by it, a tenth; one is always allowed.
	maxQuarantinedDivisor = 10
	// minProbeDelayMs is the time from quarantine to the first probe of a worker;
	// it doubles with each failed probe, up to maxProbeDelayMs.
	minProbeDelayMs = 30 * 1000
	maxProbeDelayMs = 30 * 60 * 1000
	// maxFailedOn is the number of workers on which a job's starts may fail
	// before the job is considered at fault and its start failures no longer count
	// against further workers.
	maxFailedOn = 3
)

// startFailure is an attempt that failed within minHealthyRunMs of its start, or
// never started.
type startFailure struct {
	job     string
	index   int32
	at      int64 // Unix milliseconds
	charged bool  // it is included in the task's failure count
}

// health is a worker's recent start failures and quarantine state.
type health struct {
	failures         []startFailure // oldest first
	quarantined      bool
	probeAt          int64 // Unix milliseconds from which one task may probe the worker
	probesFailed     int32
	quarantineReason string
	probeAttempt     string // id of the attempt that probes the quarantined worker; empty: none
}

// recordStartFailure records a start failure on the worker and quarantines it if
// enough different jobs failed to start on it. It reports whether the failure
// counts against the task.
func (t *Table) recordStartFailure(j *job, w *worker, a *attempt) bool {
	if w.quarantined {
		if w.probeAttempt == a.id {
			w.probesFailed++
			w.probeAt = t.now + probeDelay(w.probesFailed)
		}
		return false
	}
	if j.recordFailedOn(w.name) {
		return true
	}
	w.failures = recentFailures(w.failures, t.now)
	w.failures = append(w.failures, startFailure{job: a.job, index: a.index, at: t.now, charged: true})
	if distinctJobs(w.failures) < quarantineMinJobs || !t.mayQuarantine() {
		return true
	}
	t.quarantine(w)
	return false
}

// quarantine excludes the worker from placement, except for probes. Its recent
// start failures no longer count against their tasks.
func (t *Table) quarantine(w *worker) {
	w.quarantined = true
	w.probesFailed = 0
	w.probeAt = t.now + probeDelay(0)
	w.quarantineReason = fmt.Sprintf("starts of %d jobs failed within %d s", distinctJobs(w.failures), failureWindowMs/1000)
	w.probeAttempt = ""
	t.quarantined[w.name] = true
	last := len(w.failures) - 1 // not counted against its task yet
	for _, f := range w.failures[:last] {
		t.uncountFailure(f)
	}
	w.failures = nil
	t.markWorkerChanged(w.name)
}

// uncountFailure subtracts a failure that was the worker's fault from the task's
// count. A failed task waits again, unless it is non-idempotent and may have started.
func (t *Table) uncountFailure(f startFailure) {
	j := t.lockJob(f.job)
	if j == nil || int(f.index) >= len(j.tasks) || !f.charged {
		return
	}
	task := j.tasks[f.index]
	if task.failures == 0 {
		return
	}
	task.failures--
	t.markTaskChanged(j, task)
	if task.state == apiv1.TaskState_TASK_STATE_FAILED && !task.maybeStarted {
		t.requeueFailed(j, task)
	}
}

// requeueFailed makes a failed task wait again, together with the failed tasks of
// its gang.
func (t *Table) requeueFailed(j *job, task *task) {
	const detail = "failed on a worker that failed several jobs"
	if !j.isGang() {
		t.setWaiting(j, task, detail)
		return
	}
	for _, other := range j.tasks {
		if other.state == apiv1.TaskState_TASK_STATE_FAILED && !other.maybeStarted {
			t.setWaiting(j, other, detail)
		}
	}
}

// recordHealthyStart clears the start failures of the job and of the worker, and
// ends the worker's quarantine if the attempt was its probe.
func (t *Table) recordHealthyStart(j *job, w *worker, a *attempt) {
	j.failedOn = nil
	w.failures = nil
	if w.probeAttempt == a.id {
		t.endQuarantine(w)
	}
}

// endQuarantine lets all jobs use the worker again and clears its health record.
func (t *Table) endQuarantine(w *worker) {
	if !w.quarantined {
		return
	}
	w.health = health{}
	delete(t.quarantined, w.name)
	t.markWorkerChanged(w.name)
}

// endPassedQuarantines ends the quarantine of each worker whose probe has run for
// minHealthyRunMs.
func (t *Table) endPassedQuarantines() {
	for _, name := range sortedKeys(t.quarantined) {
		w := t.lockWorker(name)
		probe := w.liveAttempts[w.probeAttempt]
		if probe != nil && probe.startedAt > 0 && t.now-probe.startedAt >= minHealthyRunMs {
			t.endQuarantine(w)
		}
		t.releaseLocks()
	}
}

// mayQuarantine reports whether one more worker may be quarantined.
func (t *Table) mayQuarantine() bool {
	return len(t.quarantined) < max(1, t.aliveWorkers/maxQuarantinedDivisor)
}

// probeDelay returns the delay in milliseconds before the next probe.
func probeDelay(failed int32) int64 {
	delayMs := int64(minProbeDelayMs)
	for range failed {
		delayMs = min(2*delayMs, maxProbeDelayMs)
	}
	return delayMs
}

// recentFailures returns the failures within failureWindowMs before now.
func recentFailures(all []startFailure, now int64) []startFailure {
	first := 0
	for first < len(all) && all[first].at+failureWindowMs <= now {
		first++
	}
	return all[first:]
}

func distinctJobs(failures []startFailure) int {
	jobs := make(map[string]bool, len(failures))
	for _, f := range failures {
		jobs[f.job] = true
	}
	return len(jobs)
}

// recordFailedOn records that a start of the job failed on the worker. It reports
// whether starts failed on more than maxFailedOn workers, so that the job and
// not the workers is at fault.
func (j *job) recordFailedOn(worker string) bool {
	if !slices.Contains(j.failedOn, worker) && len(j.failedOn) <= maxFailedOn {
		j.failedOn = append(j.failedOn, worker)
	}
	return len(j.failedOn) > maxFailedOn
}
