package dispatch

import "time"

// allowedWorkers returns the workers that the unit's policy is known to allow, or
// all workers if the queue has no policy.
func (p *pool) allowedWorkers(u *unit) []*worker {
	if u.job.queue.GetPolicy() == nil {
		return p.workerList
	}
	found := make([]*worker, len(u.advice.allowedTickets))
	for i, t := range u.advice.allowedTickets {
		found[i] = t.worker
	}
	return found
}

// candidates returns the workers on which tasks of the unit can be started now.
func (p *pool) candidates(u *unit, now time.Time) []candidate {
	var found []candidate
	if u.job.queue.GetPolicy() == nil {
		for _, w := range p.workerList {
			found = p.addCandidate(found, u, w, "", now)
		}
		return found
	}
	for _, t := range u.advice.allowedTickets {
		if t.validAt(now) {
			found = p.addCandidate(found, u, t.worker, t.value, now)
		}
	}
	return found
}

// addCandidate appends the worker to found if a task of the unit can be started
// on it now.
func (p *pool) addCandidate(found []candidate, u *unit, w *worker, ticket string, now time.Time) []candidate {
	if !w.free.fits(u.size) || !p.mayStartOn(w, u, now) {
		return found
	}
	fitting := p.freeFit(w, u)
	if fitting <= 0 {
		return found
	}
	return append(found, candidate{worker: w, fitting: fitting, ticket: ticket})
}

// mayStartOn reports whether the unit may start tasks on the worker now, apart
// from free capacity and the policy.
func (p *pool) mayStartOn(w *worker, u *unit, now time.Time) bool {
	if owner := w.reservedFor; owner != nil && !owner.reservation.allowsBackfill(u, owner, now) {
		return false
	}
	return p.eligible(w, u, now) && p.admits(w, u, now)
}

// eligible reports whether the worker can take new tasks and has the label that
// the unit requires, and whether it is a trial worker exactly if the unit needs one. It ignores reservations, capacity and the policy.
func (p *pool) eligible(w *worker, u *unit, now time.Time) bool {
	return !w.lost && w.trial == u.risk.onTrial() && w.schedulable(now) && w.hasLabel(u.spec.GetLabel())
}
