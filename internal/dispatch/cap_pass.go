package dispatch

import "time"

// capRequest returns the request to start so many of the unit's tasks.
func (p *pool) capRequest(u *unit, tasks int) capRequest {
	limit, limited := capOf(p.d.Table.Catalog().Workspace(u.job.workspace))
	return capRequest{
		workspace: u.job.workspace, limit: limit, limited: limited,
		size: u.countedSize, tasks: tasks, gang: u.spec.GetGang(), overage: p.d.QuotaOverage,
	}
}

// withoutHeld returns the waiting units without those that the cap of their workspace holds back
// altogether. They take no part in the pass: they would occupy trial workers or reserve others.
func (p *pool) withoutHeld(waiting []*unit, pass *passState) []*unit {
	var rest []*unit
	for i, u := range waiting {
		held := u.job.workspace != "" && u.parking == nil && p.isHeldByCap(u, pass)
		if held && rest == nil {
			rest = append(make([]*unit, 0, len(waiting)), waiting[:i]...)
		}
		if !held && rest != nil {
			rest = append(rest, u)
		}
	}
	if rest == nil {
		return waiting
	}
	return rest
}

// isHeldByCap reports whether the cap of its workspace holds back all of the unit's tasks, and parks it then.
func (p *pool) isHeldByCap(u *unit, pass *passState) bool {
	tasks := 1
	if u.spec.GetGang() {
		if u.active > 0 {
			return false // it can't start before its runs have ended, whatever the cap permits
		}
		tasks = u.remaining
	}
	if p.d.ledger.room(p, p.capRequest(u, tasks), pass.now) > 0 {
		return false
	}
	p.holdUnit(u, tasks, true, pass)
	p.park(u, 0, pass)
	return true
}

// cutToCap returns those of the unit's tasks that the cap of its workspace permits to start.
func (p *pool) cutToCap(u *unit, tasks []*task, pass *passState) []*task {
	if u.job.workspace == "" {
		return tasks
	}
	permitted := p.d.ledger.room(p, p.capRequest(u, len(tasks)), pass.now)
	if permitted < len(tasks) {
		p.holdUnit(u, len(tasks)-permitted, permitted == 0, pass)
	}
	return tasks[:permitted]
}

// reserveStarts reserves the starts of the placements in the ledger, and returns those that the cap of
// the workspace permits: another pool may have started tasks meanwhile.
func (p *pool) reserveStarts(u *unit, placed []placement, pass *passState) []placement {
	if u.job.workspace == "" || len(placed) == 0 {
		return placed
	}
	permitted := p.d.ledger.reserve(p, p.capRequest(u, len(placed)), pass.now)
	if permitted < len(placed) {
		p.holdUnit(u, len(placed)-permitted, permitted == 0, pass)
	}
	return placed[:permitted]
}

// recordWaiting records what waits for each workspace in a pass that has looked at the units.
func (p *pool) recordWaiting(units []*unit, pass *passState) {
	waiting := make(map[string]waitingWork)
	for workspace, sums := range p.parkedSums {
		if workspace != "" {
			waiting[workspace] = waitingWork{units: sums.units, held: sums.heldUnits}
		}
	}
	for _, u := range units {
		if u.job.workspace == "" || u.parking != nil {
			continue
		}
		sum := waiting[u.job.workspace]
		sum.units++
		sum.held += count(u.heldAt.Equal(pass.now))
		waiting[u.job.workspace] = sum
	}
	if len(waiting) == 0 && !p.workspacesWaited {
		return
	}
	p.workspacesWaited = len(waiting) > 0
	p.d.counters.unitsHeldByCap.Update(int64(p.d.ledger.recordWaiting(p, waiting)))
}

// holdUnit handles that the cap of its workspace holds back so many of the unit's tasks. If these are all
// that could start, that is no lack of capacity: the unit makes no reservation and does not count as
// waiting for workers.
func (p *pool) holdUnit(u *unit, tasks int, all bool, pass *passState) {
	if all {
		u.waitingSince = time.Time{}
	}
	if all && u.reservation != nil {
		p.releaseReservation(u)
		pass.reserved = nil
	}
	u.heldAt = pass.now
	if pass.now.Sub(u.heldLoggedAt) < waitLogInterval {
		return
	}
	u.heldLoggedAt = pass.now
	used := p.d.ledger.usage(u.job.workspace)
	p.d.Logger.Info("unit held by cap", "step", u.name(), "reason", heldReason,
		"workspace", u.job.workspace, "tasks", tasks, "used_cpu_millis", used.cpu, "used_memory_mb", used.memory,
		"used_accelerators", used.accelerators)
}

// heldReason is the reason in the log of a unit that is held back.
const heldReason = "waits for the cap of its workspace"

// setMayBeRunning records whether the previous leader may have started the task on a worker that
// has not reported.
func (p *pool) setMayBeRunning(t *task, mayBeRunning bool) {
	if t.mayBeRunning == mayBeRunning {
		return
	}
	t.mayBeRunning = mayBeRunning
	t.unit.unpark()
	p.d.ledger.inherit(p, t.unit, mayBeRunning)
}

// setUnsettled tells the ledger the most that may run on workers which have not reported: the capacity
// of the largest inherited worker on each, as that of a silent one may have shrunk below what runs there.
func (p *pool) setUnsettled() {
	workers := int64(len(p.unreconciled))
	p.d.ledger.setUnsettled(p, resources{
		cpu: workers * p.largestInherited.cpu, memory: workers * p.largestInherited.memory,
		accelerators: workers * p.largestInherited.accelerators,
	})
}

// keepDeparted keeps a job that is removed while the previous leader may have started tasks of it,
// so that they count until their workers have reported.
func (p *pool) keepDeparted(j *job) {
	if j.workspace == "" || len(p.unreconciled) == 0 {
		return
	}
	for _, u := range j.units {
		for _, t := range u.tasks {
			if t.mayBeRunning {
				p.departed[j.id] = j
				return
			}
		}
	}
}
