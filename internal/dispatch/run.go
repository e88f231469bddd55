package dispatch

import "time"

// phase is how far a run has come, as the leader knows.
type phase int

const (
	phaseStarting phase = iota // the start was sent; its answer is open
	phaseActive                // the worker said that it runs
	phaseStopping              // it was told to stop; its end is not listed yet
)

// run is one start of a task on a worker. It holds its capacity until its end
// is listed, or until it is certain that it never runs.
type run struct {
	task          *task // nil: of no task that is still wanted
	name          string
	number        int64
	worker        *worker
	size          resources
	phase         phase
	startSent     time.Time
	confirmedAt   time.Time // when the worker confirmed the start or the stop
	stopConfirmed bool      // the stop was confirmed at acked
	reason        string    // of the stop
	ticket        string
	orphaned      bool // its task is not known here, nor its size
}

type runKey struct {
	name   string
	number int64
}

func (r *run) key() runKey { return runKey{r.name, r.number} }
