package dispatch

import (
	"slices"
	"time"
)

// parking is why passes leave out a unit that waits: one has tried to place it, and nothing that decides on it has
// changed since. A unit returns as soon as
//   - a worker that it may use has more room;
//   - the policy service has time for a call that could not be made;
//   - the cap of its workspace may permit more;
//   - its own state changes, such as by an end of a run or an answer of the policy service;
//   - the time until comes, for what passes with the time alone.
//
// Load pattern: thousands of units wait for workers that are in use. Passes that try all of them take the leader's
// processor time from the starts and ends that would work them off, so the longer the backlog, the less is done.
type parking struct {
	pool     *pool
	until    time.Time
	adviceAt time.Time // when a call to the policy service may be tried again; zero: none is wanted
	asked    bool      // the policy service has been asked about all workers that could be used
	held     bool      // the cap of its workspace holds tasks back
	heldAll  bool      // these are all tasks that could start
	parkedSums
	class int
}

// parkedSums are sums over parked units of one workspace.
type parkedSums struct {
	units, heldUnits int
	demand           resources // of the tasks that wait for workers
}

func (s *parkedSums) add(o parkedSums) {
	s.units += o.units
	s.heldUnits += o.heldUnits
	s.demand.add(o.demand)
}

func (s *parkedSums) subtract(o parkedSums) {
	s.units -= o.units
	s.heldUnits -= o.heldUnits
	s.demand.subtract(o.demand)
}

// Classes of parked units, by which they are tried again.
const (
	classUrgent = iota
	classGang   // gangs that still have a value: they look for workers to reserve
	classOther
	parkingClasses
)

const (
	// minRetrySpacing bounds the rate at which the units of a class are tried again for lack of any other reason, so
	// that it does not grow with the backlog, unless maxParking requires more.
	minRetrySpacing = time.Millisecond
	// minParking and maxParking bound the time after which a unit is tried again for lack of any other reason.
	minParking = idlePassInterval
	maxParking = 2 * time.Second
)

// park leaves the unit out of passes until something changes for it. unplaced is the number of its tasks that found
// no worker. The caller holds the lock.
func (p *pool) park(u *unit, unplaced int, pass *passState) {
	if u.risk.onTrial() {
		return // what it waits for is chosen anew by each pass
	}
	pk := &parking{pool: p, asked: u.advice.exhausted, held: u.heldAt.Equal(pass.now), class: classOther}
	pk.units = 1
	if pk.held {
		pk.heldUnits = 1
	}
	if pk.heldAll = pk.held && unplaced == 0; !pk.heldAll {
		pk.demand = u.size.times(u.remaining - u.active)
	}
	if u.advice.deferred {
		pk.adviceAt = latestOf(u.advice.retryAt, pass.now)
		if u.spec.GetGang() {
			pk.adviceAt = latestOf(pk.adviceAt, u.nextReservation)
		}
	}
	switch {
	case u.rank.band == bandUrgent:
		pk.class = classUrgent
	case u.spec.GetGang() && u.rank.band < bandExpired:
		pk.class = classGang
	}
	p.parkedUnits[pk.class]++
	u.parking = pk
	pk.until = pass.now.Add(p.retryInterval(u))
	if pk.held {
		pk.until = earliestOf(pk.until, p.d.ledger.settledAt(), pass.now)
	}
	for _, t := range u.tasks {
		pk.until = earliestOf(pk.until, t.notBefore, pass.now)
	}
	sums := p.parked[u.job.workspace]
	sums.add(pk.parkedSums)
	p.parked[u.job.workspace] = sums
}

// retryInterval returns the time after which the parked unit is tried again for lack of any other reason.
func (p *pool) retryInterval(u *unit) time.Duration {
	if u.reservation != nil {
		return minParking
	}
	return min(max(minParking, time.Duration(p.parkedUnits[u.parking.class])*minRetrySpacing), maxParking)
}

// isWorthRetry reports whether trying the unit again for lack of any other reason may have a result. If not, the unit
// stays parked for as long as before.
func (p *pool) isWorthRetry(u *unit, pass *passState) bool {
	pk := u.parking
	if pk.class == classUrgent || pk.held || pk.asked || u.reservation != nil {
		return true
	}
	if u.spec.GetGang() {
		reserved := pass.reservedWorkers(p.workerList, u.rank.reservationBand())
		if reserved == 0 || reserved < p.maxReserved() {
			return true
		}
	} else if p.canUseAny(u, p.workerList, pass) {
		return true
	}
	pk.until = pass.now.Add(p.retryInterval(u))
	return false
}

// unpark makes the next pass try the unit again. It does nothing unless the unit is parked. The caller holds the lock
// of its pool.
func (u *unit) unpark() {
	pk := u.parking
	if pk == nil {
		return
	}
	u.parking = nil
	pk.pool.parkedUnits[pk.class]--
	sums := pk.pool.parked[u.job.workspace]
	sums.subtract(pk.parkedSums)
	if sums.units == 0 {
		delete(pk.pool.parked, u.job.workspace)
		return
	}
	pk.pool.parked[u.job.workspace] = sums
}

// unparkQueue unparks the units of the queue's jobs.
func (p *pool) unparkQueue(queue string) {
	for _, j := range p.jobs {
		if j.queue.GetName() != queue {
			continue
		}
		for _, u := range j.units {
			u.unpark()
		}
	}
}

// mayReturn reports whether a parked unit may have to be tried in the pass, and unparks it if that is certain. It is
// called for each parked unit in each pass, and so is cheap rather than exact: canProceed tells for the others.
func (p *pool) mayReturn(u *unit, pass *passState) bool {
	pk := u.parking
	switch {
	case !pass.now.Before(pk.until) && p.isWorthRetry(u, pass),
		pk.held && pass.capReleased(u.job.workspace),
		pk.asked && p.mayAskAboutOpened(u, pass):
		u.unpark()
		return true
	case pk.heldAll:
		return false
	case pk.adviceDue(pass.now) && p.advisorAvailable(u, pass):
		return true
	}
	return p.mayUseGrown(u, pass)
}

// mayAskAboutOpened reports whether there is a worker that the policy service has not been asked about, as nothing could be
// started there before.
func (p *pool) mayAskAboutOpened(u *unit, pass *passState) bool {
	return slices.ContainsFunc(pass.opened, func(w *worker) bool { return !u.advice.wasAskedAbout(w) })
}

// mayUseGrown reports whether a worker with more room than before may be allowed to the unit and holds a task of it.
func (p *pool) mayUseGrown(u *unit, pass *passState) bool {
	if !pass.mostGrown.fits(u.size) {
		return false
	}
	anyWorker := u.job.queue.GetPolicy() == nil
	for _, w := range pass.grown {
		if (anyWorker || u.advice.allowedWorkers.has(w)) && w.free.fits(u.size) {
			return true
		}
	}
	return false
}

// canProceed reports whether the pass can start tasks of a parked unit, or call the policy service for it. Units
// before it in the pass may have taken what let it return.
func (p *pool) canProceed(u *unit, pass *passState) bool {
	pk := u.parking
	if pk.adviceDue(pass.now) && p.advisorAvailable(u, pass) {
		return true
	}
	return p.canUseAny(u, pass.grown, pass)
}

// canUseAny reports whether tasks of the parked unit can start on any of the workers, or the policy service be asked about
// one that has room. A gang has to fit on all that it may use.
func (p *pool) canUseAny(u *unit, workers []*worker, pass *passState) bool {
	hasPolicy := u.job.queue.GetPolicy() != nil
	for _, w := range workers {
		if (hasPolicy && !u.advice.allowedWorkers.has(w)) || !w.free.fits(u.size) || p.freeFit(w, u) <= 0 || !p.mayStartOn(w, u, pass.now) {
			continue
		}
		switch {
		case w.reservedFor == u:
			return true
		case u.spec.GetGang():
			fits := p.fitsGang(u, pass)
			if fits || u.reservation == nil {
				return fits
			}
		case !hasPolicy || u.advice.tickets[w].validAt(pass.now) || p.canRenew(u, w, pass):
			return true
		}
	}
	return false
}

// canRenew reports whether the unit may ask for another ticket for the worker now. If not, it does so later.
func (p *pool) canRenew(u *unit, w *worker, pass *passState) bool {
	pk := u.parking
	if !u.advice.allowed(w) || u.advice.callsInFlight > 0 {
		return false
	}
	if u.needsAdvice(pass.now) && p.advisorAvailable(u, pass) {
		return true
	}
	pk.adviceAt = latestOf(u.advice.retryAt, pass.now)
	return false
}

// fitsGang reports whether the gang fits, apart from reservations, on workers that it may be started on now, or that it may
// reserve now and ask for tickets for.
func (p *pool) fitsGang(u *unit, pass *passState) bool {
	missing := int(u.spec.GetCount())
	count := func(w *worker) bool {
		if w.free.fits(u.size) && p.mayStartOn(w, u, pass.now) {
			missing -= p.freeFit(w, u)
		}
		return missing <= 0
	}
	if u.job.queue.GetPolicy() == nil {
		return slices.ContainsFunc(p.workerList, count)
	}
	mayReserve := u.needsAdvice(pass.now) && !pass.now.Before(u.nextReservation) && p.advisorAvailable(u, pass)
	return slices.ContainsFunc(u.advice.allowedTickets, func(t *ticket) bool {
		return (mayReserve || t.validAt(pass.now)) && count(t.worker)
	})
}

// adviceDue reports whether a call to the policy service that could not be made may be tried again.
func (pk *parking) adviceDue(now time.Time) bool {
	return !pk.adviceAt.IsZero() && now.After(pk.adviceAt)
}

// earliestOf returns the earlier of the times, of which the second counts only if it is after now.
func earliestOf(at, other, now time.Time) time.Time {
	if other.After(now) && other.Before(at) {
		return other
	}
	return at
}
