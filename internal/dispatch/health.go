package dispatch

import "time"

// health tracks the failures of runs on a worker across all jobs. A worker on
// which every run fails has free capacity all the time and would attract all
// tasks, so it is quarantined with exponential backoff and then probed with single
// tasks until one succeeds.
type health struct {
	failures         int       // consecutive failures; several in a row of one job count once, except for probes
	lastFailedJob    string    // id of the job that failed last
	quarantinedUntil time.Time // no starts until then
	probing          bool      // a probe was placed and its result is not known yet
	probe            runKey    // the latest probe
	probeUntil       time.Time // when the probe of a long-running task ends without a result; zero: the probe will end
	backoff          time.Duration
}

const (
	failuresToQuarantine = 3 // consecutive failures of different jobs
	minQuarantine        = 2 * time.Second
	maxQuarantine        = 8 * time.Second
	refusalQuarantine    = 500 * time.Millisecond // after the worker refused a start as unhealthy or out of capacity
	// longRunningProbe is how long the next probe waits for the result of a long-running task, which may never end.
	longRunningProbe = minQuarantine
)

// schedulable reports whether tasks may be placed on the worker: it is not
// quarantined and no probe is pending.
func (h *health) schedulable(now time.Time) bool {
	if h.failures < failuresToQuarantine {
		return now.After(h.quarantinedUntil)
	}
	return now.After(h.quarantinedUntil) && (!h.probing || (!h.probeUntil.IsZero() && now.After(h.probeUntil)))
}

// suspect reports whether runs have failed since the last success.
func (h *health) suspect() bool { return h.failures > 0 }

// recordPlacement records that a run was placed on the worker. It is a probe if
// the worker has failed too often.
func (h *health) recordPlacement(r *run, now time.Time) {
	if h.failures < failuresToQuarantine {
		return
	}
	h.probing, h.probe, h.probeUntil = true, r.key(), time.Time{}
	if r.isLongRunning() {
		h.probeUntil = now.Add(longRunningProbe)
	}
}

// recordNoResult records that a run has ended and says nothing about the worker, for
// example because it was stopped. If it was the probe, another one may be placed.
func (h *health) recordNoResult(key runKey) {
	if h.probing && h.probe == key {
		h.probing = false
	}
}

// recordSuccess clears all failures.
func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure records a failed run of the job and reports whether the worker is
// quarantined because of it.
func (h *health) recordFailure(job string, now time.Time) (quarantined bool) {
	if job != h.lastFailedJob || h.probing {
		h.failures++
	}
	h.lastFailedJob = job
	h.probing = false
	if h.failures < failuresToQuarantine {
		return false
	}
	h.backoff = min(max(minQuarantine, 2*h.backoff), maxQuarantine)
	h.quarantinedUntil = now.Add(h.backoff)
	return true
}

// recordRefusal records that the worker refused a start.
func (h *health) recordRefusal(now time.Time) {
	h.quarantinedUntil = now.Add(refusalQuarantine)
	h.probing = false
}

// quickFailures are the failures of a long-running task's runs soon after their starts since one has worked for
// longRunningProbe. Such a task is restarted without a limit, so it would quarantine one worker after the other.
type quickFailures struct {
	worker  string // id of the last one's; "": none
	several bool   // they were on several workers, so the task is the likely cause
}

// recordLongRunningFailure records a failed run of the long-running task and reports whether its worker may be the cause:
// the run has failed soon, and no earlier one has on another worker. The age of a run is known if this leader has started
// it and it is the current one.
func (t *task) recordLongRunningFailure(w *worker, number int64, now time.Time) bool {
	r := t.run
	if r == nil || r.number != number || r.worker != w || r.startSent.IsZero() || r.hasWorked(now) {
		return false
	}
	f := &t.quickFails
	f.several = f.several || (f.worker != "" && f.worker != w.id)
	f.worker = w.id
	return !f.several
}

// hasWorked reports whether the run has worked for longRunningProbe.
func (r *run) hasWorked(now time.Time) bool {
	return !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) >= longRunningProbe
}
