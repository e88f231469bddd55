package dispatch

import "time"

// reservation is the set of workers that a waiting gang has reserved until their
// free capacity is large enough. Other units of the gang's band and of worse bands
// may only backfill: they start tasks that are expected to end before the gang
// starts.
//
// A gang reserves all the workers it needs or none, so that two gangs never wait
// for each other's workers.
type reservation struct {
	workers       []*worker
	expectedStart time.Time // when enough capacity is expected to be free
	beyondLimit   bool      // exceeds maxReservedShare while the policy service is asked
}

// maxReservedShare is the fraction of a pool's workers that all waiting gangs
// together may reserve, so that other work continues. A gang may exceed it if no
// workers are reserved by its own band or a better one, or if its capacity is free now,
// as long as the policy service is asked for its tickets: it gets them for reserved workers
// alone, and can start with the answer.
const maxReservedShare = 0.5

// reservationHorizons are the times within which the capacity for a gang may become
// free. The shortest one that gives enough capacity is used, as reserved workers
// are partly idle. A horizon is only used once it is at most maxIdleShare of the
// time that the gang has waited.
var reservationHorizons = [...]time.Duration{
	0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// maxIdleShare is the fraction of its own waiting time for which a gang may keep
// workers idle.
const maxIdleShare = 0.25

// reservationRetry is the minimum time between two attempts of a gang to reserve
// workers.
const reservationRetry = 200 * time.Millisecond

// reservationOutcome is the result of an attempt to reserve workers.
type reservationOutcome int

const (
	reservationNone          reservationOutcome = iota // not attempted, or the limit is reached
	reservationHeld                                    // the gang has reserved all the workers it needs
	reservationTooFewWorkers                           // too few workers are known to be allowed, unreserved and soon free
)

// reservationOutcomeNames holds the names of the outcomes in the log.
var reservationOutcomeNames = map[reservationOutcome]string{
	reservationNone: "none", reservationHeld: "held", reservationTooFewWorkers: "too few allowed",
}

// reserve reserves workers for the gang's tasks, unless its current reservation can
// still hold them. Reservations of gangs of worse bands on those workers are released.
func (p *pool) reserve(u *unit, tasks int, pass *passState) reservationOutcome {
	if u.reservation != nil && p.reservationHolds(u, tasks, pass.now) {
		p.preemptIfTooLate(u, tasks, pass)
		return reservationHeld
	}
	if u.reservation != nil {
		p.releaseReservation(u)
		pass.reserved = nil
	}
	if pass.now.Before(u.nextReservation) {
		return reservationNone
	}
	u.nextReservation = pass.now.Add(reservationRetry)
	limit := p.maxReserved()
	reserved := pass.reservedWorkers(p.workerList, u.rank.reservationBand())
	available := p.reservableWorkers(u, pass.now)
	if totalFit(available, u) < tasks {
		return reservationTooFewWorkers
	}
	chosen, expectedStart := workersForReservation(u, available, tasks, pass.forecast())
	if len(chosen) > 0 && !expectedStart.After(pass.now) && u.awaitsAdvice(pass.now) {
		p.holdReservation(u, chosen, expectedStart)
		u.reservation.beyondLimit = reserved > 0 && reserved+len(chosen) > limit
		pass.reserved = nil
		return reservationHeld
	}
	if reserved > 0 && reserved >= limit {
		return reservationNone
	}
	if len(chosen) == 0 && u.mayPreempt(pass.now) && p.preemptForGang(u, available, tasks, pass.now) {
		pass.reserved = nil
		return reservationHeld
	}
	if len(chosen) == 0 {
		return reservationTooFewWorkers
	}
	if reserved > 0 && reserved+len(chosen) > limit {
		return reservationNone
	}
	p.holdReservation(u, chosen, expectedStart)
	pass.reserved = nil
	return reservationHeld
}

// maxReserved returns how many workers waiting gangs may reserve, see maxReservedShare.
func (p *pool) maxReserved() int { return int(maxReservedShare * float64(len(p.workerList))) }

// holdReservation reserves the workers for the unit. Reservations of gangs of worse bands
// on them are released.
func (p *pool) holdReservation(u *unit, workers []*worker, expectedStart time.Time) {
	for _, w := range workers {
		if w.reservedFor != nil {
			p.releaseReservation(w.reservedFor)
		}
		w.reservedFor = u
	}
	u.reservation = &reservation{workers: workers, expectedStart: expectedStart}
}

// allowsBackfill reports whether unit u may start tasks on the workers reserved for
// the owner: u is the owner, has a better band, or is expected to end before the
// owner starts.
func (res *reservation) allowsBackfill(u, owner *unit, now time.Time) bool {
	return u == owner || u.rank.outranks(owner.rank) || !now.Add(u.estimate()).After(res.expectedStart)
}

// reservationHolds reports whether the reserved workers can still hold the gang.
// It is false if the capacity is not free reservationRetry after the expected
// start, so that workers that keep the gang waiting are replaced.
func (p *pool) reservationHolds(u *unit, tasks int, now time.Time) bool {
	if u.reservation.beyondLimit && !u.awaitsAdvice(now) {
		return false
	}
	var stillUsable []*worker
	fitting := 0
	for _, w := range u.reservation.workers {
		if p.eligible(w, u, now) && p.mayBeAllowed(w, u) {
			stillUsable = append(stillUsable, w)
			fitting += w.expectedFit(u, now, now)
		}
	}
	overdue := now.After(u.reservation.expectedStart.Add(reservationRetry)) && fitting < tasks
	return !overdue && totalFit(stillUsable, u) >= tasks
}

// totalFit returns how many of the unit's tasks the workers could run if nothing
// else ran there.
func totalFit(workers []*worker, u *unit) int {
	total := 0
	for _, w := range workers {
		total += u.limitPerWorker(w, w.capacity.fitCount(u.size))
	}
	return total
}

// releaseReservation releases the unit's reservation, if any.
func (p *pool) releaseReservation(u *unit) {
	if u.reservation == nil {
		return
	}
	for _, w := range u.reservation.workers {
		if w.reservedFor == u {
			w.reservedFor, w.grewInPass = nil, true
		}
	}
	u.reservation = nil
	u.unpark()
}

// awaitsAdvice reports whether a call to the policy service for the unit is in flight or may
// be made now.
func (u *unit) awaitsAdvice(now time.Time) bool {
	return u.advice.callsInFlight > 0 || u.needsAdvice(now)
}

// releaseUnlessAsking releases a reservation beyond the limit, unless a call to the policy
// service for the unit is in flight. It reports whether there was one to release.
func (p *pool) releaseUnlessAsking(u *unit) bool {
	if u.reservation == nil || !u.reservation.beyondLimit || u.advice.callsInFlight > 0 {
		return false
	}
	p.releaseReservation(u)
	return true
}

// mayBeAllowed reports whether the queue has no policy or the policy is known to
// allow the worker.
func (p *pool) mayBeAllowed(w *worker, u *unit) bool {
	return u.job.queue.GetPolicy() == nil || u.advice.allowed(w)
}

// reservableWorkers returns the workers that the unit may reserve: those that are
// eligible, known to be allowed and not reserved by a unit of its band or a better
// one.
func (p *pool) reservableWorkers(u *unit, now time.Time) []*worker {
	var found []*worker
	for _, w := range p.allowedWorkers(u) {
		if (w.reservedFor == nil || u.rank.outranks(w.reservedFor.rank)) && p.eligible(w, u, now) {
			found = append(found, w)
		}
	}
	return found
}

// workersForReservation returns the fewest workers that are expected to have free
// capacity for the tasks at the earliest possible horizon, and the time of that
// horizon. It returns no workers if no horizon is sufficient.
func workersForReservation(u *unit, workers []*worker, tasks int, forecast *forecast) ([]*worker, time.Time) {
	longest := time.Duration(maxIdleShare * float64(forecast.now.Sub(u.waitingSince)))
	for i, horizon := range reservationHorizons {
		if i > 0 && horizon > longest {
			break
		}
		var options []workerFit
		total := 0
		for _, w := range workers {
			fitting := u.limitPerWorker(w, forecast.freeOn(w)[i].fitCount(u.size))
			options = appendFit(options, w, fitting)
			total += max(0, fitting)
		}
		if total >= tasks {
			return fewestWorkers(options, tasks), forecast.now.Add(horizon)
		}
	}
	return nil, time.Time{}
}

// fewestWorkers returns the workers with the most capacity that together hold the
// tasks. It sorts options.
func fewestWorkers(options []workerFit, tasks int) []*worker {
	sortByFit(options)
	var chosen []*worker
	for _, opt := range options {
		if tasks <= 0 {
			break
		}
		chosen = append(chosen, opt.worker)
		tasks -= opt.fitting
	}
	return chosen
}

// withoutTicket returns the reserved workers for which the unit needs a ticket, at
// most maxWorkersPerCall. It returns none if the capacity for the tasks is not
// expected to be free by the time the policy service has answered.
func (p *pool) withoutTicket(u *unit, tasks int, now time.Time) []*worker {
	answered := now.Add(adviceCost(u.job.queue.GetPolicy(), len(u.reservation.workers)))
	var missing []*worker
	fitting := 0
	for _, w := range u.reservation.workers {
		fitting += w.expectedFit(u, now, answered)
		if len(missing) < maxWorkersPerCall && !u.advice.tickets[w].validAt(answered) {
			missing = append(missing, w)
		}
	}
	if fitting < tasks {
		return nil
	}
	return missing
}
