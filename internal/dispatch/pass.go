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
func (p *pool) runPass() { p.executePass(p.newPassState, p.placeWaiting) }

// executePass executes a pass, unless the leader lease has expired.
func (p *pool) executePass(newState func(now time.Time) *passState, place func(pass *passState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.d.leaderLease.remaining() <= 0 {
		return
	}
	pass := newState(time.Now())
	defer p.recordRoom(pass)
	defer p.recordCut(pass)
	place(pass)
}

// placeWaiting places all units that wait.
func (p *pool) placeWaiting(pass *passState) {
	nowUnixMs := p.d.nowUnixMs()
	found := p.waitingUnits(pass, nowUnixMs)
	waiting := p.withoutHeld(found, pass)
	defer p.recordWaiting(found, pass)
	p.d.counters.unitsWaiting.Update(int64(p.countWaiting(found)))
	p.shares = p.computeShares(waiting)
	p.rankByShares(waiting, pass)
	slices.SortFunc(waiting, compareUnits)
	p.chooseTrialWorkers(waiting, pass.harmlessWaits, pass.now)
	defer p.measureLoad(pass.now, nowUnixMs)
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
