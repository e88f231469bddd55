package dispatch

import "time"

// health is what the ends of a worker's runs say of it, whatever jobs they
// belong to. A worker on which run after run fails looks free and would draw
// all work, so it is set aside and tried with single tasks.
type health struct {
	failures int       // consecutive failed runs of different jobs
	lastJob  string    // of the last failure
	until    time.Time // set aside until then
	probing  bool      // one task was let through
	backoff  time.Duration
}

const (
	failuresToSetAside = 3 // of different jobs, without a success between them
	firstSetAside      = 2 * time.Second
	longestSetAside    = 8 * time.Second
	refusalSetAside    = 500 * time.Millisecond // after it said that it is unhealthy
)

func (h *health) usable(now time.Time) bool {
	if h.failures < failuresToSetAside {
		return now.After(h.until)
	}
	return now.After(h.until) && !h.probing
}

// suspect reports whether runs have failed here lately without a success since.
func (h *health) suspect() bool { return h.failures > 0 }

// started notes that a task was placed here.
func (h *health) started() {
	if h.failures >= failuresToSetAside {
		h.probing = true
	}
}

func (h *health) succeeded() {
	*h = health{}
}

func (h *health) failed(job string, now time.Time) (setAside bool) {
	if job != h.lastJob || h.probing {
		h.failures++
	}
	h.lastJob = job
	h.probing = false
	if h.failures < failuresToSetAside {
		return false
	}
	h.backoff = min(max(firstSetAside, 2*h.backoff), longestSetAside)
	h.until = now.Add(h.backoff)
	return true
}

// refused notes that the worker said that it takes nothing.
func (h *health) refused(now time.Time) {
	h.until = now.Add(refusalSetAside)
	h.probing = false
}
