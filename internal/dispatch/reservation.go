package dispatch

import "time"

// reservation is the set of workers whose room a waiting gang collects. Units of its
// band and of worse ones start only what should be over when the gang begins.
//
// A gang books all the workers it needs or none, so that two gangs never wait
// for each other's workers.
type reservation struct {
	workers       []*worker
	expectedStart time.Time // when their room should have come together
}

// maxReservedShare is the part of a pool's workers that waiting gangs may book
// together, so that other work goes on. A first booking may take more.
const maxReservedShare = 0.5

// reservationHorizons are the times within which a gang's room may come together. The
// shortest that gives enough room counts, since booked workers stand idle. A gang
// may use those that are not longer than a share of the time it has waited itself.
var reservationHorizons = [...]time.Duration{
	0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// maxIdleShare is the part of its own waiting time for which a gang may keep workers
// idle.
const maxIdleShare = 0.25

// reservationRetry is the pause after a gang found no workers to book.
const reservationRetry = 200 * time.Millisecond

// reservationOutcome tells whether a gang has booked its workers.
type reservationOutcome int

const (
	reservationNone          reservationOutcome = iota // not now
	reservationHeld                                    // the gang has workers enough
	reservationTooFewWorkers                           // too few workers are known to be allowed, free and soon idle
)

// reservationOutcomeNames are the outcomes as the log shows them.
var reservationOutcomeNames = map[reservationOutcome]string{
	reservationNone: "none", reservationHeld: "held", reservationTooFewWorkers: "too few allowed",
}

// reserve makes sure that the gang has booked workers enough, if there are any.
func (p *pool) reserve(u *unit, tasks int, pass *passState) reservationOutcome {
	if u.reservation != nil && p.reservationHolds(u, tasks, pass.now) {
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
	limit := int(maxReservedShare * float64(len(p.workerList)))
	reserved := pass.reservedWorkers(p.workerList, u.rank.band)
	if reserved > 0 && reserved >= limit {
		return reservationNone
	}
	free := p.reservableWorkers(u, pass.now)
	if totalFit(free, u) < tasks {
		return reservationTooFewWorkers
	}
	chosen, expectedStart := workersForReservation(u, free, tasks, pass.forecast(p.workerList))
	if len(chosen) == 0 {
		return reservationTooFewWorkers
	}
	if reserved > 0 && reserved+len(chosen) > limit {
		return reservationNone
	}
	for _, w := range chosen {
		if w.reservedFor != nil {
			p.releaseReservation(w.reservedFor) // of a worse band
		}
		w.reservedFor = u
	}
	u.reservation = &reservation{workers: chosen, expectedStart: expectedStart}
	pass.reserved = nil
	return reservationHeld
}

// allowsBackfill reports whether a unit may start on a worker that is booked for
// another, as far as the booking goes.
func (b *reservation) allowsBackfill(u, owner *unit, now time.Time) bool {
	return u == owner || u.rank.band < owner.rank.band || !now.Add(u.estimate()).After(b.expectedStart)
}

// reservationHolds reports whether the booked workers can still hold the gang, and
// soon will. One that keeps the gang waiting is exchanged.
func (p *pool) reservationHolds(u *unit, tasks int, now time.Time) bool {
	var left []*worker
	fitting := 0
	for _, w := range u.reservation.workers {
		if p.eligible(w, u, now) && p.mayBeAllowed(w, u) {
			left = append(left, w)
			fitting += w.expectedFit(u, now, now)
		}
	}
	late := now.After(u.reservation.expectedStart.Add(reservationRetry)) && fitting < tasks
	return !late && totalFit(left, u) >= tasks
}

// totalFit is how many of the unit's tasks the workers could run if nothing else
// ran there.
func totalFit(workers []*worker, u *unit) int {
	total := 0
	for _, w := range workers {
		total += u.limitPerWorker(w, w.capacity.fitCount(u.size))
	}
	return total
}

// releaseReservation lets other units use the booked workers.
func (p *pool) releaseReservation(u *unit) {
	if u.reservation == nil {
		return
	}
	for _, w := range u.reservation.workers {
		if w.reservedFor == u {
			w.reservedFor = nil
		}
	}
	u.reservation = nil
}

// mayBeAllowed reports whether the unit's policy is known to allow the worker.
func (p *pool) mayBeAllowed(w *worker, u *unit) bool {
	return u.job.queue.GetPolicy() == nil || u.advice.allowed(w)
}

// reservableWorkers returns the workers that the unit could book: those that are known to
// be allowed and that no unit of its band or a better one has booked.
func (p *pool) reservableWorkers(u *unit, now time.Time) []*worker {
	var found []*worker
	for _, w := range p.allowedWorkers(u) {
		if (w.reservedFor == nil || u.rank.band < w.reservedFor.rank.band) && p.eligible(w, u, now) {
			found = append(found, w)
		}
	}
	return found
}

// workersForReservation returns the fewest workers that should have room for the tasks
// soonest, and when, or none.
func workersForReservation(u *unit, workers []*worker, tasks int, forecast *forecast) ([]*worker, time.Time) {
	longest := time.Duration(maxIdleShare * float64(forecast.now.Sub(u.waitingSince)))
	for i, horizon := range reservationHorizons {
		if i > 0 && horizon > longest {
			break
		}
		var options []workerFit
		total := 0
		for _, w := range workers {
			fitting := u.limitPerWorker(w, forecast.free[w][i].fitCount(u.size))
			options = appendFit(options, w, fitting)
			total += max(0, fitting)
		}
		if total >= tasks {
			return fewestWorkers(options, tasks), forecast.now.Add(horizon)
		}
	}
	return nil, time.Time{}
}

// fewestWorkers returns the workers with the most room that together hold the tasks.
func fewestWorkers(options []workerFit, tasks int) []*worker {
	sortByFit(options)
	var chosen []*worker
	for _, one := range options {
		if tasks <= 0 {
			break
		}
		chosen = append(chosen, one.worker)
		tasks -= one.fitting
	}
	return chosen
}

// withoutTicket returns the booked workers for which the unit needs a ticket, if
// its room should be there once the policy service has answered.
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
