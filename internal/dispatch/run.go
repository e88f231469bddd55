package dispatch

import "time"

// phase is the state of a run as far as this leader knows.
type phase int

const (
	phaseStarting phase = iota // a start request is pending or in flight, without a response yet
	phaseActive                // the worker confirmed that it runs
	phaseStopping              // to be stopped; the worker has not reported its end yet
)

// run is one attempt to run a task on a worker. It occupies its resources until
// the worker reports its end, or until it is certain that it doesn't run and
// never will.
type run struct {
	task          *task // nil: the run is not wanted
	name          string
	number        int64
	worker        *worker
	size          resources
	phase         phase
	decidedAt     time.Time // when this leader decided on the start; zero: it adopted the run
	startSent     time.Time // when the first start request was sent
	attemptSent   time.Time // when the latest start request was sent
	sent          bool      // a start request was sent, or the worker reported the run
	unanswered    bool      // a start request got no response and may be executed later
	located       bool      // the worker's incarnation has executed it, not a later one
	absent        bool      // the worker's incarnation has listed its runs without it
	fence         bool      // it is over, and stopped so that the worker rejects its start requests
	transferred   bool      // from the incarnation that it was started for to a later one
	clockBefore   int64     // reading of the worker's clock known when the latest start request was sent
	risk          risk      // of its unit when it was started
	confirmedAt   time.Time // when the worker confirmed the start, or the stop if stopConfirmed
	stopConfirmed bool
	reason        string // why it is stopped
	ticket        string // of the policy service
	orphaned      bool   // neither its task nor its size is known to this leader
	workspace     string // empty: none, or not known
	countedSize   resources
	occupying     bool // counted by its pool, see occupy
	counted       bool // by the ledger
	staysCounted  bool // by the ledger, when it is removed from its worker
}

// isLongRunning reports whether the run is of a long-running task.
func (r *run) isLongRunning() bool { return r.task != nil && r.task.unit.spec.GetLongRunning() }

// mayBeOfLaterIncarnation reports whether a later incarnation than the run's worker may have
// executed its start or may still do so.
func (r *run) mayBeOfLaterIncarnation() bool {
	return r.sent && r.task != nil && (!r.located || r.unanswered)
}

// runKey identifies a run among those of a worker.
type runKey struct {
	name   string
	number int64
}

func (r *run) key() runKey { return runKey{r.name, r.number} }

// renewTicket replaces the run's ticket by the last one that its unit got for the worker. It
// reports whether the run needs no ticket or has a valid one.
func (r *run) renewTicket(now time.Time) bool {
	if r.ticket == "" {
		return true
	}
	t := r.task.unit.advice.tickets[r.worker]
	if !t.validAt(now) {
		return false
	}
	r.ticket = t.value
	return true
}
