package dispatch

import "time"

// health is what the ends of a worker's runs say of it, whatever jobs they
// belong to. A worker on which run after run fails looks free and would draw
// all work, so it is set aside and tried with single tasks.
type health struct {
	failures         int       // consecutive failed runs of different jobs
	lastFailedJob    string    // of the last failure
	quarantinedUntil time.Time // set aside until then
	probing          bool      // one task was let through
	backoff          time.Duration
}

const (
	failuresToQuarantine = 3 // of different jobs, without a success between them
	minQuarantine        = 2 * time.Second
	maxQuarantine        = 8 * time.Second
	refusalQuarantine    = 500 * time.Millisecond // after it said that it is unhealthy
)

func (h *health) schedulable(now time.Time) bool {
	if h.failures < failuresToQuarantine {
		return now.After(h.quarantinedUntil)
	}
	return now.After(h.quarantinedUntil) && !h.probing
}

// suspect reports whether runs have failed here lately without a success since.
func (h *health) suspect() bool { return h.failures > 0 }

// recordPlacement notes that a task was placed here.
func (h *health) recordPlacement() {
	if h.failures >= failuresToQuarantine {
		h.probing = true
	}
}

func (h *health) recordSuccess() {
	*h = health{}
}

func (h *health) recordFailure(job string, now time.Time) (setAside bool) {
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

// recordRefusal notes that the worker said that it takes nothing.
func (h *health) recordRefusal(now time.Time) {
	h.quarantinedUntil = now.Add(refusalQuarantine)
	h.probing = false
}
