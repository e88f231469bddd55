package tasks

import (
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	// failureWindowMs is how long a failed start counts against its worker.
	failureWindowMs = 5 * 60 * 1000
	// minHealthyRunMs is how soon after its start a failure counts as a failed start.
	minHealthyRunMs = 10 * 1000
	// quarantineMinJobs is how many different jobs must have failed to start.
	quarantineMinJobs = 3
	// maxQuarantinedDivisor bounds the quarantined workers, as a divisor of all
	// workers that are alive: at most a tenth, and always at least one.
	maxQuarantinedDivisor = 10
	// minProbeDelayMs is how long a worker is set aside before its first probe;
	// the time doubles with each failed probe, up to maxProbeMs.
	minProbeDelayMs = 30 * 1000
	maxProbeDelayMs = 30 * 60 * 1000
	// maxFailedOn is on how many workers a job's starts must have failed before
	// its failures no longer count against further workers.
	maxFailedOn = 3
)

// startFailure is a start that failed soon, on one worker.
type startFailure struct {
	job     string
	index   int32
	at      int64
	charged bool // the task's failure count includes it
}

// health is what a worker's failed starts say of it.
type health struct {
	failures         []startFailure // oldest first
	quarantined      bool
	probeAt          int64 // from when one task may probe the worker
	probesFailed     int32
	quarantineReason string
	probeAttempt     string // the attempt that probes a quarantined worker
}

// recordStartFailure notes a failed start on the worker and sets it aside if starts of
// several jobs failed. It reports whether the task is to be charged.
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

func (t *Table) quarantine(w *worker) {
	w.quarantined = true
	w.probesFailed = 0
	w.probeAt = t.now + probeDelay(0)
	w.quarantineReason = fmt.Sprintf("starts of %d jobs failed within %d s", distinctJobs(w.failures), failureWindowMs/1000)
	w.probeAttempt = ""
	t.quarantined[w.name] = true
	last := len(w.failures) - 1
	for _, f := range w.failures[:last] {
		t.uncountFailure(f)
	}
	w.failures = nil
	t.markWorkerChanged(w.name)
}

// uncountFailure takes a failure that was the worker's back from the task's count.
func (t *Table) uncountFailure(f startFailure) {
	j := t.lockJob(f.job)
	if j == nil || int(f.index) >= len(j.tasks) || !f.charged {
		return
	}
	k := j.tasks[f.index]
	if k.failures == 0 {
		return
	}
	k.failures--
	t.markTaskChanged(j, k)
	if k.state == apiv1.TaskState_TASK_STATE_FAILED && !k.maybeStarted {
		t.requeueFailed(j, k)
	}
}

// requeueFailed lets a task that was given up wait again, and with it the
// whole gang it is of.
func (t *Table) requeueFailed(j *job, k *task) {
	const detail = "failed on a worker that failed several jobs"
	if !j.gang() {
		t.setWaiting(j, k, detail)
		return
	}
	for _, other := range j.tasks {
		if other.state == apiv1.TaskState_TASK_STATE_FAILED && !other.maybeStarted {
			t.setWaiting(j, other, detail)
		}
	}
}

// recordHealthyStart notes that a start on the worker went well.
func (t *Table) recordHealthyStart(j *job, w *worker, a *attempt) {
	j.failedOn = nil
	w.failures = nil
	if w.probeAttempt == a.id {
		t.endQuarantine(w)
	}
}

// endQuarantine gives the worker back to all jobs.
func (t *Table) endQuarantine(w *worker) {
	if !w.quarantined {
		return
	}
	w.health = health{}
	delete(t.quarantined, w.name)
	t.markWorkerChanged(w.name)
}

// endPassedQuarantines gives back each worker whose probe has run for long enough.
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

// mayQuarantine reports whether one more worker may be set aside.
func (t *Table) mayQuarantine() bool {
	return len(t.quarantined) < max(1, t.aliveWorkers/maxQuarantinedDivisor)
}

func probeDelay(failed int32) int64 {
	pause := int64(minProbeDelayMs)
	for range failed {
		pause = min(2*pause, maxProbeDelayMs)
	}
	return pause
}

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

// recordFailedOn notes that a start of the job failed on the worker, and
// reports whether its starts failed on so many others that the job is at fault.
func (j *job) recordFailedOn(worker string) bool {
	if !slices.Contains(j.failedOn, worker) && len(j.failedOn) <= maxFailedOn {
		j.failedOn = append(j.failedOn, worker)
	}
	return len(j.failedOn) > maxFailedOn
}
