package dispatch

import (
	"slices"
	"time"
)

// runPass executes one scheduling pass: it places the waiting units in the order
// of their rank. It does nothing without a valid leader lease, and stops once start
// requests have to wait for a slot: a run that waits occupies capacity and its ticket
// expires, and urgent ones would queue behind it.
//
// Load pattern: more starts than the leader can send, because it is slow or there are many
// waiting units. Without this bound most starts are sent too late and refused, and all of
// their work is done again.
func (p *pool) runPass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.d.leaderLease.remaining() <= 0 {
		return
	}
	now := time.Now()
	nowUnixMs := p.d.nowUnixMs()
	pass := p.newPassState(now)
	defer p.recordRoom(pass)
	defer p.recordCut(pass)
	found := p.waitingUnits(pass, nowUnixMs)
	waiting := p.withoutHeld(found, pass)
	defer p.recordWaiting(found, pass)
	p.d.counters.unitsWaiting.Update(int64(p.countWaiting(found)))
	p.shares = p.computeShares(waiting)
	p.rankByShares(waiting, pass)
	slices.SortFunc(waiting, compareUnits)
	p.chooseTrialWorkers(waiting, pass.harmlessWaits, now)
	defer p.measureLoad(now, nowUnixMs)
	p.placeAll(waiting, pass)
}

// placeAll places the units, which are sorted.
func (p *pool) placeAll(units []*unit, pass *passState) {
	if pass.shares != nil {
		p.placeByShares(units, pass)
		return
	}
	for _, u := range units {
		if !p.placeNext(u, pass) {
			return
		}
	}
}

// placeNext places the next unit of a pass. It returns false if the pass has to end, as start requests
// wait for slots.
func (p *pool) placeNext(u *unit, pass *passState) bool {
	if p.startRoom(u) <= 0 {
		pass.cutForStarts(u)
		return p.d.orderSlots.room() > 0 // others may use more of the slots
	}
	if u.parking != nil {
		if !p.canProceed(u, pass) {
			return true
		}
		u.unpark()
	}
	if !p.d.contain("the placement of a unit", u.name(), func() { p.placeUnit(u, pass) }) {
		u.suspendedUntil = pass.now.Add(panicBackoff)
	}
	return true
}

// waitingUnits returns the ready units with tasks that can be started, ranked but not sorted, without the parked
// ones that can't return in the pass. For units that are not ready it requests advice ahead.
func (p *pool) waitingUnits(pass *passState, nowUnixMs int64) []*unit {
	var found []*unit
	for pk := range p.waitList.allParked() {
		if p.returns(pk, pass) && pk.unit.parking != nil && p.waitsInPass(pk.unit, pass, nowUnixMs) {
			found = append(found, pk.unit)
		}
	}
	for _, u := range p.waitList.unparked() {
		if p.waitsInPass(u, pass, nowUnixMs) {
			found = append(found, u)
		}
	}
	return found
}

// returns reports whether a parked unit may have to be tried in the pass. It may unpark the unit.
func (p *pool) returns(pk *parking, pass *passState) bool {
	if p.mayReturn(pk, pass) {
		return true
	}
	if !pass.harmlessWaits {
		pass.harmlessWaits = !pk.heldAll && pass.now.Sub(pk.unit.waitingSince) > harmlessWait
	}
	return false
}

// waitsInPass reports whether the pass has to place the unit, unless it is parked and does not return, and ranks it then.
func (p *pool) waitsInPass(u *unit, pass *passState, nowUnixMs int64) bool {
	now := pass.now
	if u.remaining == 0 || now.Before(u.suspendedUntil) {
		return false
	}
	if !u.ready(nowUnixMs) {
		p.requestAdviceAhead(u, pass, nowUnixMs)
		return false
	}
	if u.parking == nil && !u.hasPendingTask(now) {
		return false
	}
	u.rank, u.risk = rankOf(u, now), p.riskOf(u, now)
	u.rank.work = p.lateOrder(u)
	if u.waitingSince.IsZero() {
		u.waitingSince = now
	}
	return true
}

// countWaiting returns the number of units that wait, given those that a pass has found.
func (p *pool) countWaiting(found []*unit) int {
	waiting := len(p.waitList.parked)
	for _, u := range found {
		waiting += count(u.parking == nil)
	}
	return waiting
}

// requestAdviceAhead requests advice for a unit that becomes ready within the
// duration of a call, so that the advice has arrived by then.
func (p *pool) requestAdviceAhead(u *unit, pass *passState, nowUnixMs int64) {
	now := pass.now
	if !u.needsAdvice(now) || u.advice.tickets != nil {
		return
	}
	cost := adviceCost(u.job.queue.GetPolicy(), maxWorkersPerCall/2)
	if nowUnixMs+cost.Milliseconds() < u.dueUnixMs() || !u.dependenciesDoneWithin(now, cost) {
		return
	}
	u.rank, u.risk = rankOf(u, now), p.riskOf(u, now)
	p.requestAdvice(u, p.workersToAskAbout(u, int(u.spec.GetCount()), now), pass)
}

// dependenciesDoneWithin reports whether all tasks that the unit depends on are
// done, or run and are expected to be done within the time.
func (u *unit) dependenciesDoneWithin(now time.Time, within time.Duration) bool {
	for _, stepIndex := range u.spec.GetDependsOn() {
		dependency := u.job.unit(u.occurrence, int(stepIndex))
		for _, t := range dependency.tasks {
			if t.done {
				continue
			}
			if t.run == nil || t.run.startSent.Add(dependency.estimate()-within).After(now) {
				return false
			}
		}
	}
	return true
}

// placeUnit starts as many of the unit's waiting tasks as fit. For the others it
// reserves workers (gangs) or requests advice.
func (p *pool) placeUnit(u *unit, pass *passState) {
	now := pass.now
	waiting := u.pending(now)
	if len(waiting) == 0 {
		return // a gang of which some member still has a run or is backing off
	}
	u.advice.deferred, u.advice.exhausted = false, false
	if room := p.startRoom(u); !u.spec.GetGang() && int64(len(waiting)) > room {
		waiting = waiting[:max(0, room)]
		pass.cutForStarts(u)
	}
	waiting = p.cutToShare(u, waiting, pass)
	if waiting = p.cutToCap(u, waiting, pass); len(waiting) == 0 {
		p.park(u, 0, pass)
		return
	}
	if u.risk.onTrial() {
		p.releaseReservation(u) // its workers are not on trial
	}
	candidates := p.candidates(u, now)
	p.d.counters.unitsTried.Inc(1)
	if len(candidates) == 0 {
		p.d.counters.unitsWithoutRoom.Inc(1)
	}
	var placed []placement
	if u.spec.GetGang() {
		placed = p.placeGang(u, waiting, candidates)
	} else {
		placed = p.placeTasks(u, waiting, candidates)
	}
	if permitted := p.reserveStarts(u, placed, pass); len(permitted) < len(placed) {
		waiting = waiting[:len(waiting)-(len(placed)-len(permitted))]
		placed = permitted
	}
	if len(placed) > 0 {
		p.releaseReservation(u)
		u.waitingSince = time.Time{}
		u.advice.fruitlessCalls = 0
		p.startRuns(u, placed, now)
	}
	unplaced := len(waiting) - len(placed)
	if unplaced > 0 && !u.spec.GetGang() && !u.risk.onTrial() {
		p.preemptForTasks(u, unplaced, now)
	}
	switch {
	case unplaced == 0:
	case u.spec.GetGang() && !u.risk.onTrial():
		p.reserveForGang(u, unplaced, pass)
	case p.mayAsk(u, pass):
		p.requestAdvice(u, p.workersToAskAbout(u, unplaced, now), pass)
	}
	if unplaced > 0 || u.heldAt.Equal(now) {
		p.park(u, unplaced, pass)
	}
}

// reserveForGang reserves workers for a waiting gang. It requests advice about
// further workers while too few are known to be allowed, and tickets when the
// reserved capacity is about to be free.
func (p *pool) reserveForGang(u *unit, tasks int, pass *passState) {
	outcome := p.reserve(u, tasks, pass)
	p.logGangWait(u, tasks, outcome, pass)
	p.requestGangAdvice(u, tasks, outcome, pass)
	if p.releaseUnlessAsking(u) {
		pass.reserved = nil
	}
}

// requestGangAdvice requests the advice that the gang needs after an attempt to reserve
// workers, if a call can be made now.
func (p *pool) requestGangAdvice(u *unit, tasks int, outcome reservationOutcome, pass *passState) {
	switch outcome {
	case reservationHeld:
		if missing := p.withoutTicket(u, tasks, pass.now); len(missing) > 0 && p.mayAsk(u, pass) {
			p.requestAdvice(u, missing, pass)
		}
	case reservationTooFewWorkers:
		if p.mayAsk(u, pass) {
			p.requestAdvice(u, p.newWorkersToAskAbout(u, maxWorkersPerCall, tasks, pass.now), pass)
		}
	}
}

// logGangWait logs why a gang waits, at most once per waitLogInterval.
func (p *pool) logGangWait(u *unit, tasks int, outcome reservationOutcome, pass *passState) {
	if pass.now.Sub(u.waitLoggedAt) < waitLogInterval {
		return
	}
	u.waitLoggedAt = pass.now
	reserved, fitting := 0, 0
	if u.reservation != nil {
		reserved = len(u.reservation.workers)
		for _, w := range u.reservation.workers {
			fitting += p.freeFit(w, u)
		}
	}
	p.d.Logger.Info("gang waits for capacity", "step", u.name(), "tasks", tasks, "waited_ms", pass.now.Sub(u.waitingSince).Milliseconds(),
		"booking", reservationOutcomeNames[outcome], "band", int(u.rank.band), "booked_workers", reserved, "room_now", fitting,
		"allowed", len(u.advice.allowedTickets), "asking", u.advice.callsInFlight)
}

// waitLogInterval is the minimum time between two log lines about a waiting gang.
const waitLogInterval = 5 * time.Second

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
