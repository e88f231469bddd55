package dispatch

import "time"

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
