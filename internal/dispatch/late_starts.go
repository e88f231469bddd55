package dispatch

import (
	"slices"
	"time"
)

// delayRestart delays the next start of a task until the longest lease has expired that any
// incarnation of its worker may have been granted with a start executed by the time.
func (p *pool) delayRestart(r *run, executed time.Time) {
	if t := r.task; t != nil && !t.done {
		t.notBefore = latestOf(t.notBefore, executed.Add(p.d.Timing.longestLease()+leaseExpiryMargin))
	}
}

// delayRestarts delays the next starts of the tasks of runs that were on a worker which is silent, if a
// later incarnation may have executed them or may still do so, and returns these.
func (p *pool) delayRestarts(runs []*run) []*run {
	var uncertain []*run
	for _, r := range runs {
		if r.mayBeOfLaterIncarnation() {
			p.delayRestart(r, r.attemptSent)
			p.countUntilLeaseExpires(r)
			uncertain = append(uncertain, r)
		}
	}
	return uncertain
}

// countUntilLeaseExpires goes on counting a run that a later incarnation of its lost worker may
// execute, until the longest lease of such a start has expired or it is stopped there.
func (p *pool) countUntilLeaseExpires(r *run) {
	r.staysCounted = false
	if !r.counted {
		return
	}
	length := time.Until(r.attemptSent.Add(p.d.Timing.longestLease() + leaseExpiryMargin))
	p.d.spawn(func() {
		if sleep(p.d.ctx, length) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if r.worker.runs[r.key()] != r {
			p.d.ledger.removeRun(r)
		}
	})
}

// maxStartDelay is how long after it was sent a start request without a response is assumed to be
// executed at most. The users' platform states no bound but "seconds".
const maxStartDelay = 12 * time.Second

// addLateStart remembers a run that is over of which a start request may still be executed, and
// forgets those of which none may any more.
func (w *worker) addLateStart(r *run, now time.Time) {
	w.lateStarts = append(slices.DeleteFunc(w.lateStarts, func(other *run) bool {
		return now.Sub(other.attemptSent) > maxStartDelay
	}), r)
}

// recordUnanswered records that a start request of the run got no response.
func (p *pool) recordUnanswered(r *run, now time.Time) {
	r.unanswered = true
	w := p.workers[r.worker.id]
	switch {
	case r.worker.runs[r.key()] == r:
		if r.transferred {
			r.worker.recordLateStart(r, p.d.Timing)
		}
	case w == nil:
	case w == r.worker:
		w.addLateStart(r, now)
	default:
		p.fenceLateStarts([]*run{r}, w, now)
	}
}

// recordLateStart records that the worker may yet execute a start request that was sent to a former incarnation.
// It takes the deadline also from one that it rejects, for all that runs there; on its own clock the deadline of
// the former one may be the longest lease away.
func (w *worker) recordLateStart(r *run, timing Timing) {
	w.recordLeaseGranted(r.attemptSent, maxStartDelay+timing.longestLease())
}

// fenceLateStarts stops, on a worker, runs that are over on a former incarnation of it, so that it
// rejects their start requests. Their tasks are not started before it has confirmed that. The caller
// holds the lock.
func (p *pool) fenceLateStarts(runs []*run, w *worker, now time.Time) {
	for _, r := range runs {
		if now.Sub(r.attemptSent) > maxStartDelay {
			continue
		}
		w.recordLateStart(r, p.d.Timing)
		if w.runs[r.key()] != nil {
			continue
		}
		r.worker, r.phase, r.stopConfirmed = w, phaseActive, false
		r.located, r.absent, r.transferred, r.fence = false, false, true, true
		w.addRun(r)
		p.stopRun(r, "a start request of it may reach its worker's next incarnation")
	}
}
