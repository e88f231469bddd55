package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Worker is a worker's state and load.
type Worker struct {
	Name        string
	Boot        string
	Location    *apiv1.Location
	Capacity    resources.Amount
	Free        resources.Amount // capacity not held by live attempts
	Alive       bool
	Quarantined bool
	ProbeAt     int64            // Unix milliseconds from which a probe may start; 0: none may
	Usage       resources.Amount // measured, with a lag

	registered bool // in the task table; false: only referenced by a live attempt
	attempts   map[string]*liveAttempt
	reserved   resources.Amount // by jobs that wait for capacity
	rack       *rack
	bucket     int // in the index; notIndexed if the worker is not usable
	position   int // within the bucket
}

const notIndexed = -1

// usable reports whether tasks other than probes may be placed on the worker.
func (w *Worker) usable() bool {
	return w.registered && w.Alive && !w.Quarantined
}

// liveAttempt is an attempt that holds capacity on a worker.
type liveAttempt struct {
	id            string
	job           string
	index         int32
	worker        string
	amount        resources.Amount
	team          string
	borrowed      bool
	nonIdempotent bool
	stopping      bool
	outdated      bool
	placedAt      int64
	kind          apiv1.JobKind
	class         apiv1.Class
	expectedRunMs int64 // expected run time in milliseconds; 0: unknown
	checkpoints   bool  // it can save its progress when it is stopped
	backfill      bool  // it uses capacity reserved for another job
}

// defaultRunMs is the run time assumed for attempts that declare none.
const defaultRunMs = 60 * 60 * 1000

// farFuture is later than any real time; services are expected to end then.
const farFuture = int64(1) << 62

// expectedEnd returns when the attempt is expected to end, in Unix milliseconds. An
// attempt that has overrun is assumed to run as long again.
func (a *liveAttempt) expectedEnd(now int64) int64 {
	if a.stopping {
		return now
	}
	if a.kind == apiv1.JobKind_JOB_KIND_SERVICE {
		return farFuture
	}
	run := a.expectedRunMs
	if run == 0 {
		run = defaultRunMs
	}
	if end := a.placedAt + run; end > now {
		return end
	}
	return now + max(run, now-a.placedAt)
}
