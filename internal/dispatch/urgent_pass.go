package dispatch

import (
	"slices"
	"time"
)

// runUrgentPass executes a pass that looks at urgent jobs accepted lately only. They come before all others, so the result
// is that of a whole pass, whose length depends on what else waits.
//
// Load pattern: an urgent job arrives, or the policy service answers for it, while thousands of other units wait. Its
// tasks last about as long as the rest after a whole pass.
func (p *pool) runUrgentPass() { p.executePass(p.newUrgentPassState, p.placeUrgent) }

// placeUrgent places the units of urgent jobs that wait.
func (p *pool) placeUrgent(pass *passState) {
	nowUnixMs := p.d.nowUnixMs()
	p.urgentJobs = slices.DeleteFunc(p.urgentJobs, func(j *job) bool { return j.removed || !j.mayBeUrgent(pass.now) })
	var waiting []*unit
	for _, j := range p.urgentJobs {
		for _, u := range j.units {
			returns := u.parking == nil || p.returns(u.parking, pass)
			if returns && p.waitsInPass(u, pass, nowUnixMs) && u.rank.band == bandUrgent && !u.risk.onTrial() {
				waiting = append(waiting, u)
			}
		}
	}
	waiting = p.withoutHeld(waiting, pass)
	p.rankByShares(waiting, pass)
	slices.SortFunc(waiting, compareUnits)
	p.placeAll(waiting, pass)
}

// mayBeUrgent reports whether units of the job may be urgent, apart from later occurrences.
func (j *job) mayBeUrgent(now time.Time) bool {
	return j.queue.GetPriority() == 0 && !j.overRate && now.Before(j.accepted.Add(j.objective))
}

// addUrgent lets urgent passes look at the job, if it is urgent.
func (p *pool) addUrgent(j *job) {
	if j.mayBeUrgent(time.Now()) {
		p.urgentJobs = append(p.urgentJobs, j)
		p.requestUrgentPass()
	}
}

// requestUrgentPass triggers a pass for urgent units soon. It never blocks.
func (p *pool) requestUrgentPass() {
	select {
	case p.urgentWakeup <- struct{}{}:
	default:
	}
}
