package scheduler

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Worker is a worker with its load.
type Worker struct {
	Name        string
	Boot        string
	Location    *apiv1.Location
	Capacity    resources.Amount
	Free        resources.Amount // capacity less what live attempts hold
	Alive       bool
	Quarantined bool
	ProbeAt     int64            // Unix milliseconds; 0: no probe may start
	Usage       resources.Amount // measured, with a lag

	registered bool // registered, not only named by an attempt
	attempts   map[string]*liveAttempt
	reserved   resources.Amount // for jobs that wait for more room
	rack       *rack
	bucket     int // in the index; notIndexed if it takes no work
	position   int // within its bucket
}

const notIndexed = -1

// usable reports whether ordinary work may be placed on the worker.
func (w *Worker) usable() bool {
	return w.registered && w.Alive && !w.Quarantined
}

// liveAttempt is a live attempt.
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
	expectedRunMs int64 // milliseconds that it runs; 0: unknown
	checkpoints   bool  // it can save its progress before it stops
	backfill      bool  // it uses room reserved for another job
}

// defaultRunMs is how long an attempt of unknown run time is taken to run.
const defaultRunMs = 60 * 60 * 1000

// farFuture is a time that does not come.
const farFuture = int64(1) << 62

// expectedEnd returns when the attempt is expected to end. One that has overrun is
// taken to run for as long again.
func (r *liveAttempt) expectedEnd(now int64) int64 {
	if r.stopping {
		return now
	}
	if r.kind == apiv1.JobKind_JOB_KIND_SERVICE {
		return farFuture
	}
	run := r.expectedRunMs
	if run == 0 {
		run = defaultRunMs
	}
	if end := r.placedAt + run; end > now {
		return end
	}
	return now + max(run, now-r.placedAt)
}
