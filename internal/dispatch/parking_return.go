package dispatch

import (
	"slices"
	"time"
)

// mayReturn reports whether a parked unit may have to be tried in the pass, and unparks it if that is certain. It is
// called for each parked unit in each pass, and so is cheap rather than exact: canProceed tells for the others.
func (p *pool) mayReturn(pk *parking, pass *passState) bool {
	switch {
	case !pass.now.Before(pk.until) && p.isWorthRetry(pk.unit, pass),
		pk.held && pass.capReleased(pk.unit.job.workspace),
		pk.asked && p.mayAskAboutOpened(pk.unit, pass):
		pk.unit.unpark()
		return true
	case pk.heldAll:
		return false
	case pk.adviceDue(pass.now) && p.advisorAvailable(pk.unit, pass):
		return true
	}
	return p.mayUseGrown(pk, pass)
}

// mayAskAboutOpened reports whether there is a worker that the policy service has not been asked about, as nothing could be
// started there before.
func (p *pool) mayAskAboutOpened(u *unit, pass *passState) bool {
	return slices.ContainsFunc(pass.opened, func(w *worker) bool { return !u.advice.wasAskedAbout(w) })
}

// mayUseGrown reports whether a worker with more room than before may be allowed to the unit and holds a task of it.
func (p *pool) mayUseGrown(pk *parking, pass *passState) bool {
	if !pass.mostGrown.fits(pk.size) {
		return false
	}
	u := pk.unit
	anyWorker := u.job.queue.GetPolicy() == nil
	for _, w := range pass.grown {
		if (anyWorker || u.advice.allowedWorkers.has(w)) && w.free.fits(pk.size) {
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

// retryInterval returns the time after which the parked unit is tried again for lack of any other reason.
func (p *pool) retryInterval(u *unit) time.Duration {
	if u.reservation != nil {
		return minParking
	}
	return min(max(minParking, time.Duration(p.waitList.parkedOf[u.parking.class])*minRetrySpacing), maxParking)
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

// adviceDue reports whether a call to the policy service that could not be made may be tried again.
func (pk *parking) adviceDue(now time.Time) bool {
	return !pk.adviceAt.IsZero() && now.After(pk.adviceAt)
}
